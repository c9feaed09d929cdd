Feature: Faults of the table, the object store and the runners
  The platform fails temporarily. Each job is completed or reported as failed, and no task is
  started twice.
  `the owner` is the entry that owns the buyer's jobs at the start of a scenario, `the other` is
  another entry.

  Background:
    Given the cluster has 2 entries and 3 agents in service

  Scenario: the table is down during a load
    When the cluster's table is down
    And the cluster runs for 2 lease times
    And the cluster receives a load of 80 jobs within 5 s
    Then the cluster completes every job of the load
    And the cluster keeps its guarantees

  Scenario: the table is slow during a load
    When the cluster's table is slow
    And the cluster receives a load of 80 jobs within 6 s
    Then the cluster completes every job of the load
    And the cluster keeps its guarantees

  Scenario: half of the table's replies are lost during a load although its writes are applied
    When the cluster's table is losing half of the replies
    And the cluster receives a load of 80 jobs within 6 s
    Then the cluster completes every job of the load
    And the cluster keeps its guarantees

  Scenario: all replies to table writes are lost during a load
    When the cluster's table is losing replies
    And the cluster receives a load of 80 jobs within 6 s
    Then the cluster settles every job of the load
    And the cluster keeps its guarantees

  Scenario: the table is unreachable for a single entry
    When a cluster caller submits job "a" of 40 tasks of 600 ms to the owner
    And the cluster has started 24 tasks of job "a"
    And the cluster's table is unreachable for the owner
    And the cluster runs for 2 lease times
    And a cluster caller resubmits job "a" to the other
    Then the cluster completes every attempt of job "a"
    And the cluster keeps its guarantees

  Scenario: an entry that starts while the table is down is not ready until the table is up
    When in the cluster the owner is killed
    And the cluster's table is down
    And in the cluster the owner is restarted
    And the cluster runs for 2 lease times
    Then in the cluster the owner is not ready
    And the cluster's table is up
    And in the cluster the owner is ready
    And the cluster keeps its guarantees

  Scenario: the owner is killed while the table is down
    When a cluster caller submits job "a" of 4 tasks of 1500 ms to the owner
    And the cluster has started 4 tasks of job "a"
    And the cluster's table is down
    And in the cluster the owner is killed
    And the cluster runs for 2 lease times
    And a cluster caller resubmits job "a" to the other
    And the cluster's table is up
    And a cluster caller resubmits job "a" to the other until it is settled
    Then the cluster completes job "a"
    And the cluster keeps its guarantees

  Scenario: an owner without a peer relinquishes its shards until the table is up again
    When a cluster caller submits job "a" of 40 tasks of 600 ms to the owner
    And the cluster has started 24 tasks of job "a"
    And the cluster's table is down
    And in the cluster the other is killed
    And in the cluster the owner is not ready
    And the cluster's table is up
    And in the cluster the owner is ready
    And a cluster caller resubmits job "a" to the owner until it is settled
    Then the cluster completes job "a"
    And the cluster keeps its guarantees

  Scenario Outline: a runner temporarily <fault> every request
    When the cluster's runner-1 <fault> every request
    And the cluster receives a load of 60 jobs within 4 s
    And the cluster has started 40 tasks of the load
    And the cluster runs for 1 lease times
    And the cluster's runner-1 serves every request
    Then the cluster settles every job of the load
    And the cluster keeps its guarantees

    Examples:
      | fault    |
      | refuses  |
      | resets   |
      | hangs on |
      | fails    |

  Scenario: of two concurrent edits of the lists only one is accepted
    When the cluster operators edit the lists at both entries at the same time
    Then the cluster accepts exactly one of the edits and applies it at every entry

  Scenario: the lists version never decreases, even when an entry restarts
    When the cluster records the lists version at every entry
    And the cluster operator applies lists at the owner
    And the cluster operator applies lists at the other
    And in the cluster the owner is killed
    And the cluster operator applies lists at the other
    And in the cluster the owner is restarted
    And in the cluster the owner is ready
    And the cluster operator applies lists at the owner
    Then the cluster applies these lists at every entry
    And the cluster's lists version never decreased

  Scenario: lists are applied while the object store is down
    When the cluster's object store is down
    And the cluster operator applies lists at the owner
    Then the cluster applies these lists at every entry
