Feature: An agent's ledger of accepted and started tasks
  The ledger ensures that a task starts at most once; a fault in it may start a task twice.

  Background:
    Given an agent ledger with a retention time of 600 s and 100000 bytes for results
    And the agent ledger accepted tasks 0,1 at epoch 5

  Scenario Outline: a start is refused: <case>
    When the agent ledger gets a start of tasks 2,3 with <field> = <value>
    Then the agent ledger refuses tasks 2,3 because of <reason>, having seen epoch <seen>
    And the agent ledger reports started 0,1 and finished none at epoch <seen>

    Examples:
      | case                       | field       | value     | reason          | seen |
      | an earlier incarnation     | incarnation | "old"     | wrong_incarnation | 5  |
      | epoch of a former owner    | epoch       | 4         | stale_epoch     | 5    |
      | other content, same id     | digest      | b"other"  | digest_conflict | 5    |
      | other size, same id        | task_count  | 9         | digest_conflict | 5    |
      | no tasks at all            | task_count  | 0         | malformed       | 5    |
      | index beyond the job       | task_count  | 3         | malformed       | 5    |
      | the agent is draining      | closed      | "draining" | draining       | 5    |
      | the agent is not listed    | closed      | "not_listed" | not_listed   | 5    |

  Scenario Outline: a task that the agent already holds is not accepted again: <state>
    Given the agent ledger task 0 is <state>
    When the agent ledger gets a start of tasks 0,1,2 with epoch = 5
    Then the agent ledger accepts only tasks 2 and resends results of <repeated>

    Examples:
      | state    | repeated |
      | queued   | none     |
      | started  | none     |
      | finished | 0        |

  Scenario Outline: a refusal does not name a task that the agent already holds: <state>
    # The owner treats the tasks named in a refusal as not started and starts them elsewhere.
    Given the agent ledger task 0 is <state>
    When the agent ledger gets a start of tasks 0,2 with closed = "draining"
    Then the agent ledger refuses tasks 2 because of draining, having seen epoch 5

    Examples:
      | state    |
      | queued   |
      | started  |
      | finished |

  Scenario: a task that the runner provably did not start is accepted again
    Given the agent ledger task 0 is started
    And the agent ledger task 0 is withdrawn
    When the agent ledger gets a start of tasks 0,1 with epoch = 5
    Then the agent ledger accepts only tasks 0 and resends results of none

  Scenario: a fence with a higher epoch drops the tasks that have not started
    Given the agent ledger task 0 is started
    When the agent ledger is fenced at epoch 6
    Then the agent ledger reports started 0 and finished none at epoch 6
    And the agent ledger does not start task 1 of epoch 5
    When the agent ledger gets a start of tasks 0,1 with epoch = 6
    Then the agent ledger accepts only tasks 1 and resends results of none

  Scenario Outline: a fence at epoch <epoch> drops nothing
    Given the agent ledger task 0 is finished
    When the agent ledger is fenced at epoch <epoch>
    Then the agent ledger reports started 0,1 and finished 0 at epoch 5

    Examples:
      | epoch |
      | 5     |
      | 4     |

  Scenario: a start with a higher epoch acts as a fence
    When the agent ledger gets a start of tasks 1 with epoch = 6
    Then the agent ledger accepts only tasks 1 and resends results of none
    And the agent ledger reports started 1 and finished none at epoch 6

  Scenario: results go to the entry with the highest epoch
    When the agent ledger is fenced at epoch 6 by "new"
    And the agent ledger is fenced at epoch 5 by "old"
    Then the agent ledger sends results to "new"

  Scenario Outline: a task is kept for the retention time plus 60 s: <state> after <seconds> s
    Given the agent ledger task 0 is <state>
    And the agent ledger task 1 is withdrawn
    When <seconds> s pass for the agent ledger
    Then the agent ledger reports started <started> and finished <finished> at epoch 5

    Examples: a task without an outcome is kept longer
      | state    | seconds | started | finished |
      | finished | 659     | 0       | 0        |
      | finished | 661     | none    | none     |
      | started  | 661     | 0       | none     |
      | queued   | 661     | 0       | none     |

  Scenario: results beyond the byte limit are evicted, but their starts are remembered
    Given the agent ledger finished task 0 with 60000 bytes
    And the agent ledger finished a task of another job with 60000 bytes
    When the agent ledger gets a start of tasks 0 with epoch = 5
    Then the agent ledger accepts only tasks none and resends results of 0
    And the agent ledger resends outcome EVICTED

  Scenario: no sequence of operations starts a task twice
    Then no sequence of agent ledger operations starts a task twice
