Feature: Faults of the table, the object store and the runners
  The platform fails for a while; what is answered stays complete or marked failed, and nothing
  is started twice.

  Background:
    Given the cluster has 2 entries and 3 agents in service

  Scenario: the table is down for the whole load
    When the cluster's table is down
    And the cluster passes 2 lease times
    And the cluster runs a load of 80 jobs within 5 s
    Then the cluster completes every job of the load
    And the cluster keeps its guarantees

  Scenario: the table is slow for the whole load
    When the cluster's table is slow
    And the cluster runs a load of 80 jobs within 6 s
    Then the cluster completes every job of the load
    And the cluster keeps its guarantees

  Scenario: table writes are applied and their replies lost during the load
    When the cluster's table is losing half of the replies
    And the cluster runs a load of 80 jobs within 6 s
    Then the cluster completes every job of the load
    And the cluster keeps its guarantees

  Scenario: the reply to every table write is lost
    When the cluster's table is losing replies
    And the cluster runs a load of 80 jobs within 6 s
    Then the cluster settles every job of the load
    And the cluster keeps its guarantees

  Scenario: one entry alone is cut off from the table
    When the cluster gets job "a" of 40 tasks of 600 ms through the owner
    And the cluster has started 24 tasks of job "a"
    And the cluster's table is unreachable for the owner
    And the cluster passes 2 lease times
    And the cluster gets job "a" again through the other
    Then the cluster answers every attempt at job "a" completely
    And the cluster keeps its guarantees

  Scenario: an entry that starts during an outage is not ready until the table is back
    When the cluster loses the owner
    And the cluster's table is down
    And the cluster gets the owner back
    And the cluster passes 2 lease times
    Then the cluster has no ready owner
    And the cluster's table is up
    And the cluster has a ready owner
    And the cluster keeps its guarantees

  Scenario: the owner dies while the table is down
    When the cluster gets job "a" of 4 tasks of 1500 ms through the owner
    And the cluster has started 4 tasks of job "a"
    And the cluster's table is down
    And the cluster loses the owner
    And the cluster passes 2 lease times
    And the cluster gets job "a" again through the other
    And the cluster's table is up
    And the cluster gets job "a" again through the other until it is settled
    Then the cluster answers job "a" completely
    And the cluster keeps its guarantees

  Scenario: an owner without a peer gives its shards up in an outage and takes them again
    When the cluster gets job "a" of 40 tasks of 600 ms through the owner
    And the cluster has started 24 tasks of job "a"
    And the cluster's table is down
    And the cluster loses the other
    And the cluster has no ready owner
    And the cluster's table is up
    And the cluster has a ready owner
    And the cluster gets job "a" again through the owner until it is settled
    Then the cluster answers job "a" completely
    And the cluster keeps its guarantees

  Scenario Outline: a runner <fault> everything for a while
    When the cluster's runner-1 <fault> everything
    And the cluster runs a load of 60 jobs within 4 s
    And the cluster has started 40 tasks of the load
    And the cluster passes 1 lease times
    And the cluster's runner-1 serves everything
    Then the cluster settles every job of the load
    And the cluster keeps its guarantees

    Examples:
      | fault    |
      | refuses  |
      | resets   |
      | hangs on |
      | fails    |

  Scenario: two operators apply lists at the same time
    When the cluster operators apply lists at both entries at the same time
    Then the cluster accepts exactly one of them everywhere

  Scenario: a lists version never goes back, after an entry's restart either
    When the cluster watches the lists version at every entry
    And the cluster operator applies lists at the owner
    And the cluster operator applies lists at the other
    And the cluster loses the owner
    And the cluster operator applies lists at the other
    And the cluster gets the owner back
    And the cluster has a ready owner
    And the cluster operator applies lists at the owner
    Then the cluster has these lists in force at every entry
    And the cluster's lists version never went back

  Scenario: the object store is down while lists are applied
    When the cluster's object store is down
    And the cluster operator applies lists at the owner
    Then the cluster has these lists in force at every entry
