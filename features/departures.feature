Feature: Runners that leave
  Runners that are taken away at short notice: their tasks end there, or elsewhere in time.

  Scenario Outline: a task that can't end before its runner leaves is placed elsewhere in time
    Given a task of <ms> ms that is at <percent> percent after 0.2 s on a runner
    When the runner tells that it leaves in <remaining> ms
    And the job could start again until <latest> ms after its order
    Then the task is ended as leaving: <moves>

    Examples:
      | ms   | percent | remaining | latest | moves |
      | 2000 | 10      | 1000      | 900    | yes   |
      | 2000 | 10      | 3000      | 900    | no    |
      | 2000 | 10      | 1000      | 200    | no    |
      | 2000 | 40      | 1000      | 900    | no    |
      | 2000 | 10      | 0         | 900    | no    |

  Scenario: a task is moved at most once
    Given a task of 2000 ms that may not be moved is at 10 percent after 0.2 s on a runner
    When the runner tells that it leaves in 1000 ms
    And the job could start again until 900 ms after its order
    Then the task is ended as leaving: no

  # Otherwise each heartbeat of a leaving runner would be sent on to all entries.
  Scenario: the moment of departure is the same while the remaining time counts down
    When a runner tells 2000 ms, 0.1 s later 1900 ms and 0.1 s later 1810 ms
    Then its departure has changed once
    When it tells 5000 ms
    Then its departure has changed twice

  Scenario: entries are told of a departure once
    Given a pool agent with one scheduling entry
    When the runner tells 2000 ms to its agent, 0.1 s later 1900 ms and 0.1 s later 1800 ms
    Then the entry is told once that the runner takes no tasks and leaves in 2000 ms

  Scenario: a leaving runner gets no new tasks, its next incarnation does
    Given the uneven runners x:a:r1:1.0:60 y:a:r2:1.0:10
    When x leaves in 2000 ms
    And a task of 100 ms arrives whose job may end 50 ms later, near none
    Then it is placed on y
    When another incarnation of x joins
    And a task of 100 ms arrives whose job may end 50 ms later, near none
    Then it is placed on x

  # The tasks of several leaving runners would overload the one that has most room at that moment.
  Scenario: the tasks of several leaving runners are spread over the others
    Given 10 runners of 60 cores
    When 3 of them leave and 24 of their tasks are placed again
    Then each of the other 7 gets at most 4 of them
