Feature: Which runner an agent uses
  Heartbeats may come from other writers, or from a runner that has crashed since.

  Background:
    Given an agent that uses runner i-1 and runs a task there

  # An agent that took such a heartbeat for a new incarnation reported its runner as crashed, and the
  # tasks ran a second time elsewhere while the runner went on with them.
  Scenario Outline: a heartbeat that names no runner ends nothing
    When a heartbeat announces <runner> with <change>
    Then no run has ended and runner i-1 of pool pool is in use

    Examples:
      | runner | change                                |
      | i-2    | address 127.0.0.1:8999                |
      | i-2    | nothing else                          |
      | i-1    | address 127.0.0.1:8999                |
      | i-1    | pool not-named                        |
      | i-1    | a birth before that of the runner     |
      | i-1    | a birth after that of the runner      |
      | i-1    | no birth                              |

  Scenario: the runner's own heartbeats count after one of another writer
    When a heartbeat announces i-1 with pool not-named
    And the runner is draining according to its own heartbeat
    Then the runner takes no tasks

  # A rejected fencing token doesn't tell which incarnation has answered.
  Scenario: a heartbeat with another birth ends nothing while the runner rejects the agent's token
    When the runner has seen a higher fencing token
    And a heartbeat announces i-1 with a birth after that of the runner
    Then no run has ended and runner i-1 of pool pool is in use

  Scenario: a runner that has seen a higher fencing token is used
    When the agent is restarted with a lower fencing token
    And the runner announces itself
    Then runner i-1 of pool pool is in use

  Scenario: a number that is too high keeps the runner out only until its heartbeats are missed
    When another writer sends the runner's heartbeat with the highest number
    And the runner announces itself for the time of the missed heartbeats
    Then runner i-1 of pool pool is in use

  Scenario: a heartbeat of another writer that comes first doesn't keep the runner out
    When the agent is restarted and first hears of i-9 at 127.0.0.1:8999
    And the runner announces itself
    Then runner i-1 of pool pool is in use

  Scenario: an unnamed pool that comes first is in use only until the runner's heartbeats count
    When the agent is restarted and first hears of i-1 in pool not-named
    And the runner announces itself for the time of the missed heartbeats
    Then runner i-1 of pool pool is in use

  Scenario: a runner that answers at the address of another one has replaced it
    When runner i-2 answers at the address and announces itself
    Then the task has ended as crashed and runner i-2 of pool pool is in use

  Scenario: a runner at another address is used once the lease at the former one has expired
    When runner i-2 answers at 127.0.0.1:2 and announces itself
    Then no run has ended and runner i-1 of pool pool is in use
    When runner i-1 falls silent until its lease has expired
    Then runner i-2 of pool pool is in use
