Feature: Planned stops
  A graceful stop interrupts no request in flight (guarantee P7), and no task is started at a
  draining upstream after 2 s (guarantee P6).
  `the owner` is the entry that owns the buyer's jobs at the start of a scenario, `the other` is
  another entry.

  Background:
    Given the cluster has 2 entries and 3 agents in service

  Scenario: a graceful stop of an entry under load interrupts no job
    When the cluster receives a load of 120 jobs within 6 s
    And the cluster has started 40 tasks of the load
    And in the cluster the owner is stopped gracefully
    Then the cluster completes every job of the load
    And the stopped cluster process exits with status 0
    And the cluster keeps its guarantees

  Scenario: a graceful stop of an agent under load loses no job
    When the cluster receives a load of 120 jobs within 6 s
    And the cluster has started 40 tasks of the load
    And in the cluster agent-1 is stopped gracefully
    Then the cluster completes every job of the load without a broken connection
    And the stopped cluster process exits with status 0
    And the cluster keeps its guarantees

  Scenario: no task is started at a draining upstream after 2 s
    When the cluster receives a load of 150 jobs within 6 s
    And the cluster has started 40 tasks of the load
    And the cluster operator sets agent-2 to draining
    Then the cluster starts no task at runner-2 after 2 s
    And the cluster completes every job of the load without a broken connection
    And the cluster keeps its guarantees

  Scenario: an owner is stopped gracefully while a job runs that another entry forwarded
    When a cluster caller submits job "a" of 40 tasks of 500 ms to the other
    And the cluster has started 24 tasks of job "a"
    And in the cluster the owner is stopped gracefully
    Then the cluster completes job "a"
    And the stopped cluster process exits with status 0
    And the cluster keeps its guarantees

  Scenario: an owner is stopped gracefully while a job of a directly connected caller runs
    When a cluster caller submits job "a" of 40 tasks of 500 ms to the owner
    And the cluster has started 24 tasks of job "a"
    And in the cluster the owner is stopped gracefully
    Then the cluster completes job "a"
    And the stopped cluster process exits with status 0
    And the cluster keeps its guarantees
