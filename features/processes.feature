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

  # A start that a killed runner forgot would hide a double start.
  Scenario: the starts of a killed and restarted runner are still counted
    Given the fleet runs a table and two runners
    When the fleet's first runner starts a task, is killed, restarted and starts the task again
    Then the fleet counts that task as started twice
