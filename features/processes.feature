Feature: Processes of a run
  A process that outlives its run would disturb the next one.

  Scenario Outline: every process is ended
    Given the fleet runs a table and two runners
    When the fleet's first runner is <state>
    And the fleet ends
    Then no process of the fleet is left

    Examples:
      | state      |
      | running    |
      | paused     |
      | killed     |
      | terminated |

  # Without its log, a daemon that refuses its settings looks like one that is slow.
  Scenario: a process that ends early is reported with its log
    Then the fleet reports the log of a daemon with wrong settings

  Scenario: the settings of daemons are valid
    Then the fleet writes settings for an entry and an agent that daisyfalld accepts
