Feature: Jobs of an entry when an agent comes back
  Another run of a task may only start when the former one must have ended.

  # A killed agent is back before the lease of what its former life started has passed.
  Scenario: tasks of an agent's former life wait for its lease
    Given an entry whose job has a task at agent a
    When the link to agent a breaks
    And agent a is back after 0.3 s as another incarnation without the task
    Then nothing is placed again after 0.5 s more
    And the task is placed again after 1.0 s more

  Scenario: tasks ordered at the new life are not taken for the former one's
    Given an entry whose job has a task at agent a
    When the link to agent a breaks
    And agent a is back after 0.3 s as another incarnation without the task
    And another job has a task at agent a
    Then only the first job's task is placed again after 1.5 s more

  Scenario: an order that never reached the same life is placed again at once
    Given an entry whose job has a task at agent a
    When the link to agent a breaks
    And agent a is back after 0.3 s as the same incarnation without the task
    Then the task is placed again after 0 s more

  Scenario: an agent that comes back with the task keeps it
    Given an entry whose job has a task at agent a
    When the link to agent a breaks
    And agent a is back after 0.3 s as the same incarnation with the task
    Then nothing is placed again after 3.0 s more

  # Callers use open connections until the process is gone; half-done work would be thrown away.
  Scenario: a stopping entry takes only what can end before it does
    Given an entry whose job has a task at agent a
    When the entry has 1.0 s left until it ends
    Then a job of 100 ms is taken
    And a job of 900 ms is refused as stopping, with a hint to come back
