Feature: Faults of processes
  Entries, agents and runners end or stop at any step; nothing is started twice, and each job
  is complete or marked failed.

  Background:
    Given the cluster has 2 entries and 3 agents in service

  Scenario: the owner dies while a job runs, and the caller resubmits through the other entry
    When the cluster gets job "a" of 4 tasks of 1500 ms through the owner
    And the cluster has started 4 tasks of job "a"
    And the cluster loses the owner
    And the cluster gets job "a" again through the other until it is settled
    Then the cluster answers job "a" completely
    And the cluster keeps its guarantees

  Scenario: the owner dies while an entry waits for it on behalf of a caller
    When the cluster gets job "a" of 30 tasks of 700 ms through the other
    And the cluster has started 10 tasks of job "a"
    And the cluster loses the owner
    Then the cluster answers job "a" completely
    And the cluster keeps its guarantees

  Scenario: both entries die and are replaced while a job runs
    When the cluster gets job "a" of 4 tasks of 1500 ms through the owner
    And the cluster has started 4 tasks of job "a"
    And the cluster loses every entry
    And the cluster gets every entry back
    And the cluster gets job "a" again through the other until it is settled
    Then the cluster answers job "a" completely
    And the cluster keeps its guarantees

  Scenario: an agent dies with tasks running
    When the cluster gets job "a" of 24 tasks of 2000 ms through the owner
    And the cluster has started 24 tasks of job "a"
    And the cluster loses agent-1
    Then the cluster fails job "a" as may have run
    And the cluster keeps its guarantees

  Scenario: an agent dies and then the owner of its tasks
    When the cluster gets job "a" of 24 tasks of 2000 ms through the owner
    And the cluster has started 24 tasks of job "a"
    And the cluster loses agent-2
    And the cluster loses the owner
    And the cluster gets job "a" again through the other
    Then the cluster fails job "a" as may have run
    And the cluster keeps its guarantees

  Scenario: an owner that was paused past its lease starts nothing when it resumes
    When the cluster gets job "a" of 60 tasks of 600 ms through the owner
    And the cluster has started 24 tasks of job "a"
    And the cluster pauses the owner
    And the cluster has moved the buyer to the other
    And the cluster gets job "a" again through the other
    And the cluster resumes the owner
    Then the cluster answers every attempt at job "a" completely
    And the cluster keeps its guarantees

  Scenario: a paused owner resumes during the takeover
    When the cluster gets job "a" of 60 tasks of 600 ms through the owner
    And the cluster has started 24 tasks of job "a"
    And the cluster pauses the owner
    And the cluster passes 1 lease times
    And the cluster gets job "a" again through the other
    And the cluster resumes the owner
    Then the cluster answers every attempt at job "a" completely
    And the cluster keeps its guarantees

  Scenario: a caller disconnects and resubmits through the other entry while the job runs
    When the cluster caller of job "a" leaves the owner once 4 tasks run
    And the cluster gets job "a" again through the other
    Then the cluster answers job "a" completely
    And the cluster keeps its guarantees

  Scenario: the same id with other content is a conflict
    When the cluster gets job "a" of 2 tasks of 500 ms through the owner
    And the cluster has started 2 tasks of job "a"
    And the cluster gets job "a" with other content through the other
    Then the cluster refuses that with id_conflict
    And the cluster answers job "a" completely
    And the cluster gets job "a" with other content through the owner
    And the cluster refuses that with id_conflict
    And the cluster keeps its guarantees

  Scenario: a cancelled job stays cancelled and leaves nothing behind
    When the cluster gets job "a" of 60 tasks of 500 ms through the owner
    And the cluster has started 24 tasks of job "a"
    And the cluster caller cancels job "a" through the other
    And the cluster gets job "a" again through the owner
    Then the cluster fails job "a" with cancelled_running
    And the cluster keeps its guarantees
