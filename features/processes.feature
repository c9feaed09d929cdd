Feature: Process management of the test fleet
  A process that is not ended would interfere with later test runs.

  Scenario Outline: no process of a fleet is left after it ends
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

  # Features run in parallel. A daemon whose port is taken ends, but counts as ready as long as the
  # process that has the port answers.
  Scenario: two test runs that prefer the same port don't choose the same one
    When two processes choose a port in the same order of preference
    Then their ports differ

  # Without the log, a daemon that rejects its settings can't be told from one that starts slowly.
  Scenario: the error for a process that exits at start contains its log
    Then the fleet reports the log of a daemon with invalid settings

  Scenario: the generated settings of daemons are valid
    Then the fleet generates settings for an entry and an agent that daisyfalld accepts

  # A start that was lost when its runner was killed would hide a duplicate start.
  Scenario: the starts at a runner are still counted after it was killed and restarted
    Given the fleet runs a table and two runners
    When the fleet's first runner starts a task, is killed, restarted and starts the task again
    Then the fleet counts that task as started twice
