Feature: Faults of processes
  Entries and agents are killed or paused while jobs run. No task is started twice, and each job
  is completed or reported as failed.
  `the owner` is the entry that owns the buyer's jobs at the start of a scenario, `the other` is
  another entry.

  Background:
    Given the cluster has 2 entries and 3 agents in service

  Scenario: the owner is killed while a job runs, and the caller resubmits to another entry
    When a cluster caller submits job "a" of 4 tasks of 1500 ms to the owner
    And the cluster has started 4 tasks of job "a"
    And in the cluster the owner is killed
    And a cluster caller resubmits job "a" to the other until it is settled
    Then the cluster completes job "a"
    And the cluster keeps its guarantees

  Scenario: the owner is killed while a job runs that another entry forwarded
    When a cluster caller submits job "a" of 30 tasks of 700 ms to the other
    And the cluster has started 10 tasks of job "a"
    And in the cluster the owner is killed
    Then the cluster completes job "a"
    And the cluster keeps its guarantees

  Scenario: both entries are killed and restarted while a job runs
    When a cluster caller submits job "a" of 4 tasks of 1500 ms to the owner
    And the cluster has started 4 tasks of job "a"
    And every entry of the cluster is killed
    And every entry of the cluster is restarted
    And a cluster caller resubmits job "a" to the other until it is settled
    Then the cluster completes job "a"
    And the cluster keeps its guarantees

  Scenario: an agent is killed while it runs tasks
    When a cluster caller submits job "a" of 24 tasks of 2000 ms to the owner
    And the cluster has started 24 tasks of job "a"
    And in the cluster agent-1 is killed
    Then the cluster reports job "a" as may have run
    And the cluster keeps its guarantees

  Scenario: an agent is killed while it runs tasks, and then the owner of their job
    When a cluster caller submits job "a" of 24 tasks of 2000 ms to the owner
    And the cluster has started 24 tasks of job "a"
    And in the cluster agent-2 is killed
    And in the cluster the owner is killed
    And a cluster caller resubmits job "a" to the other
    Then the cluster reports job "a" as may have run
    And the cluster keeps its guarantees

  Scenario: an owner that was paused past its lease starts nothing when it resumes
    When a cluster caller submits job "a" of 60 tasks of 600 ms to the owner
    And the cluster has started 24 tasks of job "a"
    And in the cluster the owner is paused
    And the cluster has moved the buyer's shard to the other
    And a cluster caller resubmits job "a" to the other
    And in the cluster the owner is resumed
    Then the cluster completes every attempt of job "a"
    And the cluster keeps its guarantees

  Scenario: a paused owner resumes during the takeover
    When a cluster caller submits job "a" of 60 tasks of 600 ms to the owner
    And the cluster has started 24 tasks of job "a"
    And in the cluster the owner is paused
    And the cluster runs for 1 lease times
    And a cluster caller resubmits job "a" to the other
    And in the cluster the owner is resumed
    Then the cluster completes every attempt of job "a"
    And the cluster keeps its guarantees

  Scenario: a caller disconnects and resubmits to another entry while the job runs
    When a cluster caller submits job "a" to the owner and disconnects once 4 tasks have started
    And a cluster caller resubmits job "a" to the other
    Then the cluster completes job "a"
    And the cluster keeps its guarantees

  Scenario: a job with the id of another job is rejected as a conflict
    When a cluster caller submits job "a" of 2 tasks of 500 ms to the owner
    And the cluster has started 2 tasks of job "a"
    And a cluster caller submits job "a" with other content to the other
    Then the cluster rejects that submission with id_conflict
    And the cluster completes job "a"
    And a cluster caller submits job "a" with other content to the owner
    And the cluster rejects that submission with id_conflict
    And the cluster keeps its guarantees

  Scenario: a cancelled job stays cancelled and leaves no tasks behind
    When a cluster caller submits job "a" of 60 tasks of 500 ms to the owner
    And the cluster has started 24 tasks of job "a"
    And a cluster caller cancels job "a" at the other
    And a cluster caller resubmits job "a" to the owner
    Then the cluster reports job "a" failed with cancelled_running
    And the cluster keeps its guarantees
