Feature: Tasks at an agent
  An agent starts each task at most once and reports every outcome to the owning entry.

  Background:
    Given an agent world with entry "a"

  Scenario Outline: the runner <mode>: the outcome is <outcome>
    # An outcome that is too certain starts a task twice; one that is too careful fails its job.
    Given an agent with an announced runner, listed by "a"
    When the agent runner is set to <mode>
    And agent entry "a" starts tasks 0 of job "j"
    Then agent entry "a" receives outcome <outcome> for tasks 0 of job "j" with value <value>
    And the agent runner was asked <asked> times

    Examples:
      | mode     | outcome     | value              | asked |
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
    And the agent runner was asked 3 times

  Scenario: a worker too small for a task never gets it
    Given an agent with an announced runner, listed by "a"
    When agent entry "a" starts with tasks = [[0, "mix", None, 50, 2000, 0]] the tasks none of job "j"
    Then agent entry "a" receives outcome NOT_STARTED for tasks 0 of job "j" with value too_large
    And the agent runner was asked 0 times

  Scenario: tasks beyond the slots wait
    Given an agent with a runner of 2 slots that holds its tasks, listed by "a"
    When agent entry "a" starts tasks 0,1,2,3,4 of job "j"
    And the agent runner has started 2 tasks
    And the agent runner lets its tasks end
    Then agent entry "a" receives outcome DONE for tasks 0,1,2,3,4 of job "j"
    And the agent runner never ran more than 2 tasks at once

  Scenario: cancelling drops what has not started, in one message
    Given an agent with a runner of 2 slots that holds its tasks, listed by "a"
    When agent entry "a" starts tasks 0,1,2,3 of job "j"
    And the agent runner has started 2 tasks
    And agent entry "a" cancels job "j" and lets running tasks end
    Then agent entry "a" learns that tasks 2,3 of job "j" were cancelled
    When the agent runner lets its tasks end
    Then agent entry "a" receives outcome DONE for tasks 0,1 of job "j"

  Scenario: cancelling with running tasks closes their requests and counts them as lost
    Given an agent with a runner of 2 slots that holds its tasks, listed by "a"
    When agent entry "a" starts tasks 0,1,2,3 of job "j"
    And the agent runner has started 2 tasks
    And agent entry "a" cancels job "j" and stops running tasks
    Then agent entry "a" learns that tasks 2,3 of job "j" were cancelled
    And agent entry "a" receives outcome LOST for tasks 0,1 of job "j" with value cancelled
    And the agent runner sees the requests closed

  Scenario: an entry that does not own the job can't cancel it
    # A fenced owner that cancels would take tasks from the new owner, which is not told.
    Given an agent with a runner of 1 slots that holds its tasks, listed by "a"
    And an agent link to another entry "b"
    When agent entry "a" starts tasks 0,1 of job "j"
    And the agent runner has started 1 tasks
    And agent entry "b" cancels job "j" and stops running tasks
    Then agent entry "b" learns that tasks none of job "j" were cancelled
    When the agent runner lets its tasks end
    Then agent entry "a" receives outcome DONE for tasks 0,1 of job "j"

  Scenario: a recall hands back what has not started
    Given an agent with a runner of 1 slots that holds its tasks, listed by "a"
    When agent entry "a" starts tasks 0,1,2 of job "j"
    And the agent runner has started 1 tasks
    And agent entry "a" recalls
    Then agent entry "a" receives outcome NOT_STARTED for tasks 1,2 of job "j" with value bad health
    When the agent runner lets its tasks end
    Then agent entry "a" receives outcome DONE for tasks 0 of job "j"

  Scenario: a runner that stays away gets no work
    Given an agent with a runner of 1 slots that holds its tasks, listed by "a"
    When agent entry "a" starts tasks 0,1,2 of job "j"
    And the agent runner has started 1 tasks
    And the agent runner stops to announce itself
    Then agent entry "a" receives outcome NOT_STARTED for tasks 1,2 of job "j" with value runner_lost
    And agent entry "a" receives a status with ready = False
    When agent entry "a" starts tasks 5 of job "j"
    Then agent entry "a" receives a refusal of tasks 5 because of no_runner
    When the agent runner lets its tasks end
    Then agent entry "a" receives outcome DONE for tasks 0 of job "j"

  Scenario: a runner that accepts no connection gets no work until it announces itself
    Given an agent with an announced runner, listed by "a"
    When the agent runner is set to absent
    And agent entry "a" starts tasks 0 of job "j"
    Then agent entry "a" receives a status with ready = False
    When the agent runner announces itself with slots = 4
    Then agent entry "a" receives a status with ready = True

  Scenario: a runner counts as lost when it does not announce itself in time
    Given an agent that "a" does not list, with runner announce_limit_ms = 100
    Then agent entry "a" sees the slots of the runner go from 8 to 0

  Scenario Outline: an announcement that can't be used is refused: <field>
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
