Feature: Tasks at an agent
  An agent starts each task at most once and reports every outcome to the owning entry.

  Background:
    Given an agent fixture with entry "a"

  Scenario Outline: the outcome of a task is <outcome> when the runner's mode is <mode>
    # NOT_STARTED for a task that may have run would lead to a second start. LOST for a task that
    # did not run would fail its job without need.
    Given an agent with an announced runner, listed by "a"
    When the agent runner is set to <mode>
    And agent entry "a" starts tasks 0 of job "j"
    Then agent entry "a" receives outcome <outcome> for tasks 0 of job "j" with value <value>
    And the agent runner was called <calls> times

    Examples:
      | mode     | outcome     | value              | calls |
      | done     | DONE        | {'index': 0}       | 1     |
      | fail     | FAILED      | no such shade      | 1     |
      | refuse   | NOT_STARTED | runner_refused     | 1     |
      | absent   | NOT_STARTED | runner_unreachable | 0     |
      | cut      | LOST        | cut off            | 1     |
      | cut_body | LOST        | cut off            | 1     |
      | crash    | LOST        | status 503         | 1     |
      | redirect | LOST        | status 307         | 1     |
      | garbage  | LOST        | status 200         | 1     |
      | large    | LOST        | larger than        | 1     |

  Scenario: a task that did not start is accepted again, one that ran is not
    Given an agent with an announced runner, listed by "a"
    When the agent runner is set to refuse
    And agent entry "a" starts tasks 0 of job "j"
    And agent entry "a" receives outcome NOT_STARTED for tasks 0 of job "j"
    And the agent runner is set to done
    And agent entry "a" starts tasks 0 of job "j"
    And agent entry "a" receives outcome DONE for tasks 0 of job "j"
    And agent entry "a" starts tasks 0,1 of job "j"
    Then agent entry "a" receives outcome DONE for tasks 0,1 of job "j"
    And the agent runner was called 3 times

  Scenario: a task that needs more memory than the worker has is not started
    Given an agent with an announced runner, listed by "a"
    When agent entry "a" sends a start with tasks = [[0, "mix", None, 50, 2000, 0]] for tasks none of job "j"
    Then agent entry "a" receives outcome NOT_STARTED for tasks 0 of job "j" with value too_large
    And the agent runner was called 0 times

  Scenario: tasks beyond the runner's slots are queued
    Given an agent with a runner of 2 slots that blocks its tasks, listed by "a"
    When agent entry "a" starts tasks 0,1,2,3,4 of job "j"
    And the agent runner has started 2 tasks
    And the agent runner unblocks its tasks
    Then agent entry "a" receives outcome DONE for tasks 0,1,2,3,4 of job "j"
    And the agent runner never ran more than 2 tasks at once

  Scenario: cancelling a job drops its queued tasks and reports them in one message
    Given an agent with a runner of 2 slots that blocks its tasks, listed by "a"
    When agent entry "a" starts tasks 0,1,2,3 of job "j"
    And the agent runner has started 2 tasks
    And agent entry "a" cancels job "j" and lets running tasks finish
    Then agent entry "a" is told that tasks 2,3 of job "j" were cancelled
    When the agent runner unblocks its tasks
    Then agent entry "a" receives outcome DONE for tasks 0,1 of job "j"

  Scenario: cancelling a job with its running tasks closes their requests and reports them as lost
    Given an agent with a runner of 2 slots that blocks its tasks, listed by "a"
    When agent entry "a" starts tasks 0,1,2,3 of job "j"
    And the agent runner has started 2 tasks
    And agent entry "a" cancels job "j" and stops running tasks
    Then agent entry "a" is told that tasks 2,3 of job "j" were cancelled
    And agent entry "a" receives outcome LOST for tasks 0,1 of job "j" with value cancelled
    And the agent runner sees the requests closed

  Scenario: an entry that does not own the job can't cancel it
    # A fenced owner could otherwise cancel tasks of the new owner, which would not be informed.
    Given an agent with a runner of 1 slots that blocks its tasks, listed by "a"
    And an agent link to another entry "b"
    When agent entry "a" starts tasks 0,1 of job "j"
    And the agent runner has started 1 tasks
    And agent entry "b" cancels job "j" and stops running tasks
    Then agent entry "b" is told that tasks none of job "j" were cancelled
    When the agent runner unblocks its tasks
    Then agent entry "a" receives outcome DONE for tasks 0,1 of job "j"

  Scenario: a recall hands back queued tasks
    Given an agent with a runner of 1 slots that blocks its tasks, listed by "a"
    When agent entry "a" starts tasks 0,1,2 of job "j"
    And the agent runner has started 1 tasks
    And agent entry "a" sends a recall
    Then agent entry "a" receives outcome NOT_STARTED for tasks 1,2 of job "j" with value bad health
    When the agent runner unblocks its tasks
    Then agent entry "a" receives outcome DONE for tasks 0 of job "j"

  Scenario: a runner that stops announcing itself gets no more tasks
    Given an agent with a runner of 1 slots that blocks its tasks, listed by "a"
    When agent entry "a" starts tasks 0,1,2 of job "j"
    And the agent runner has started 1 tasks
    And the agent runner stops announcing itself
    Then agent entry "a" receives outcome NOT_STARTED for tasks 1,2 of job "j" with value runner_lost
    And agent entry "a" receives a status with ready = False
    When agent entry "a" starts tasks 5 of job "j"
    Then agent entry "a" receives a refusal of tasks 5 because of no_runner
    When the agent runner unblocks its tasks
    Then agent entry "a" receives outcome DONE for tasks 0 of job "j"

  Scenario: a runner that accepts no connection gets no more tasks until it announces itself again
    Given an agent with an announced runner, listed by "a"
    When the agent runner is set to absent
    And agent entry "a" starts tasks 0 of job "j"
    Then agent entry "a" receives a status with ready = False
    When the agent runner announces itself with slots = 4
    Then agent entry "a" receives a status with ready = True

  Scenario: a runner is lost when its next announcement does not arrive in time
    Given an agent not listed by "a", with runner announce_limit_ms = 100
    Then agent entry "a" sees the slots of the runner go from 8 to 0

  Scenario Outline: an invalid announcement is refused: <field>
    Given an agent with an announced runner, listed by "a"
    When the agent runner announces itself with <field> = <value>
    Then the agent answers the announcement with status 400 and field "<field>"

    Examples:
      | field        | value                |
      | id           | ""                   |
      | id           | "runner-2"           |
      | url          | "ftp://127.0.0.1:1"  |
      | url          | "http://[oops"       |
      | slots        | 0                    |
      | slots        | True                 |
      | connections  | "64"                 |
      | memory_mb    | -1                   |
      | accelerators | 1.5                  |
      | labels       | [1]                  |
