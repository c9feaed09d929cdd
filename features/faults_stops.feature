Feature: Planned stops
  A planned stop interrupts no request in flight (P7), and an upstream that is leaving gets
  no new work after 2 s (P6).

  Background:
    Given the cluster has 2 entries and 3 agents in service

  Scenario: a graceful stop of an entry under load cuts off nothing
    When the cluster runs a load of 120 jobs within 6 s
    And the cluster has started 40 tasks of the load
    And the cluster stops the owner gracefully
    Then the cluster completes every job of the load
    And the cluster sees it end with status 0
    And the cluster keeps its guarantees

  Scenario: a graceful stop of an agent under load loses nothing
    When the cluster runs a load of 120 jobs within 6 s
    And the cluster has started 40 tasks of the load
    And the cluster stops the agent-1 gracefully
    Then the cluster completes every job of the load without a broken connection
    And the cluster sees it end with status 0
    And the cluster keeps its guarantees

  Scenario: an upstream that an operator drains gets no start after 2 s
    When the cluster runs a load of 150 jobs within 6 s
    And the cluster has started 40 tasks of the load
    And the cluster operator sets agent-2 to draining
    Then the cluster starts nothing at runner-2 after 2 s
    And the cluster completes every job of the load without a broken connection
    And the cluster keeps its guarantees

  Scenario: an owner stops gracefully while a job that another entry forwarded runs
    When the cluster gets job "a" of 40 tasks of 500 ms through the other
    And the cluster has started 24 tasks of job "a"
    And the cluster stops the owner gracefully
    Then the cluster answers job "a" completely
    And the cluster sees it end with status 0
    And the cluster keeps its guarantees

  Scenario: an owner stops gracefully with a job of its own caller
    When the cluster gets job "a" of 40 tasks of 500 ms through the owner
    And the cluster has started 24 tasks of job "a"
    And the cluster stops the owner gracefully
    Then the cluster answers job "a" completely
    And the cluster sees it end with status 0
    And the cluster keeps its guarantees
