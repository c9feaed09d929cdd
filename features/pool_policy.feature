Feature: Decisions of the pool dispatcher
  Load, silence and faulty runners, replayed through the decision code without sockets.

  # A caller's second attempt would otherwise run beside the first one.
  Scenario Outline: a lost entry's tasks are gone before its callers send again
    When bounds are derived for a lease of <lease> s, a stop time of <stop> s and a resend time of <resend> s
    Then the tasks are gone within the resend time: <fits>

    Examples:
      | lease | stop | resend | fits |
      | 1.0   | 0.05 | 1.3    | yes  |
      | 0.3   | 0.05 | 1.3    | yes  |
      | 5.0   | 0.05 | 4.0    | yes  |
      | 1.0   | 0.05 | 0.8    | yes  |
      | 1.0   | 0.5  | 1.0    | no   |

  # A flapping link would move the scheduling to and fro, and each move delays what waits.
  Scenario Outline: who schedules
    Given the scheduling candidates <candidates>
    Then with <current> scheduling the choice is <choice>

    Examples:
      | candidates                                       | current | choice |
      | a:1.0:10:60:yes b:1.0:20:60:yes                  | none    | a      |
      | a:1.0:10:60:no b:1.0:20:60:yes                   | a       | b      |
      | a:1.0:10:0.5:yes b:1.0:20:60:yes                 | b       | b      |
      | a:1.0:10:2.5:yes b:1.0:20:60:yes                 | b       | a      |
      | a:1.0:10:60:yes b:2.0:20:60:yes                  | a       | b      |
      | a:1.0:10:0.1:yes b:1.0:20:0.1:yes                | none    | a      |
      | a:1.0:10:60:no b:1.0:20:60:no                    | a       | none   |

  # After a loss of power each entry scheduled for itself for 2 s, and agents refused 164 orders.
  Scenario: entries that start together agree as soon as they hear each other
    Given an entry b that starts beside an entry a of the same strength that started before it
    Then entry b lets a schedule within 0.2 s of its start
    And entry b lets a schedule still after 5 s

  Scenario: a running entry keeps scheduling while a stronger one is new to it
    Given an entry b that has run for 60 s
    When entry a that ranks before it is heard for the first time
    Then entry b schedules itself for 1.9 s more
    And entry b lets a schedule after 2.1 s more

  # An entry whose links were reset scheduled for itself for 2 s beside the one that all others use.
  Scenario: an entry whose links come back joins the one that schedules at once
    Given an entry b that has run for 60 s
    When entry a that ranks before it and schedules is heard for the first time
    Then entry b lets a schedule within 0.2 s of its start

  # A runner that fails everything would drain the queue into failures.
  Scenario: failures of three jobs in a row take a runner out, one real task brings it back
    Given a scheduler with runners r1:4000 r2:4000
    When tasks of jobs a, b, c fail at r1
    Then r1 takes no task before 1.0 s have passed
    And after 1.1 s r1 takes a single task
    And after that task is done r1 takes any task

  # A job that fails everywhere says nothing about the runners.
  Scenario: many failed tasks of one job keep a runner in
    Given a scheduler with runners r1:4000
    When tasks of jobs a, a, a, a fail at r1
    Then r1 takes any task

  # A wave of jobs that can never succeed must not close the whole pool.
  Scenario: at most a third of the runners of a pool are out
    Given a scheduler with runners r1:4000 r2:4000 r3:4000
    When tasks of jobs a, b, c fail at r1
    And tasks of jobs d, e, f fail at r2
    Then 2 runners take any task

  Scenario: a task goes to the runner with the largest part of its room left
    Given a scheduler with runners r1:4000 r2:8000
    When job a of 3 tasks of 1000 arrives
    Then its tasks go to r1 r2 r2

  # A slow runner makes each of its tasks late even when it is empty.
  Scenario: a slow runner comes after the others
    Given a scheduler with runners r1:4000 r2:8000
    And r2 is 4 times slow
    When job a of 2 tasks of 1000 arrives
    Then its tasks go to r1 r1

  Scenario: a retried task avoids the runner that let it down
    Given a scheduler with runners r1:4000 r2:8000
    When a task of job a that avoids r2 arrives
    Then its tasks go to r1

  # An entry that can't reach an agent would have its tasks placed there again and again.
  Scenario: a retried task waits rather than go back to the runner that let it down
    Given a scheduler with runners r1:1000 r2:8000
    And job z of 1 tasks of 1000 arrives
    When a task of job a that avoids r2 arrives
    Then job a is not placed

  Scenario: a retried task goes back if there is no other runner
    Given a scheduler with runners r2:8000
    When a task of job a that avoids r2 arrives
    Then its tasks go to r2

  Scenario: no more tasks of a step on one runner than its job allows
    Given a scheduler with runners r1:4000 r2:8000
    When job a of 3 tasks of 1000 with at most 1 per runner arrives
    Then its tasks go to r1 r2

  Scenario: a required label keeps other runners out
    Given a scheduler with runners r1:4000 r2:8000
    When job a of 1 tasks of 1000 that require label gpu arrives
    Then job a is refused as impossible

  # Without a limit a placement whose entry died would hold its room for ever.
  Scenario: a placement that its agent never confirms is taken back
    Given a scheduler with runners r1:1000
    When job a of 1 tasks of 1000 arrives
    And r1 reports nothing held after 0.5 s
    Then r1 has room for 1000

  Scenario: a report that is older than a placement doesn't free its room
    Given a scheduler with runners r1:1000
    When job a of 1 tasks of 1000 arrives
    And r1 reports nothing held after 0.1 s
    Then r1 has no room for 1000

  # Load pattern: a full pool. What waits goes in the order of its latest start.
  Scenario: the job that has to start first is placed first
    Given a scheduler with runners r1:1000
    And job a of 1 tasks of 1000 arrives
    When job b of 1 tasks of 1000 arrives that has to start within 0.9 s
    And job c of 1 tasks of 1000 arrives that has to start within 0.5 s
    And the task of job a ends
    Then job c is placed

  # Load pattern: a full pool of several routes. Urgent work doesn't queue behind other work.
  Scenario: a job of a more urgent route is placed first
    Given a scheduler with runners r1:1000
    And job a of 1 tasks of 1000 arrives
    When job b of priority 1 arrives that has to start within 0.5 s
    And job c of priority 0 arrives that has to start within 0.9 s
    And the task of job a ends
    Then job c is placed
    And job b is not placed

  Scenario: an urgent job is not in vain behind less urgent work
    Given a scheduler with runners r1:1000
    And job a of 1 tasks of 1000 arrives
    When job b of priority 2 arrives that has to start within 0.19 s
    And job c of priority 2 arrives that has to start within 0.19 s
    And job d of priority 0 arrives that has to start within 0.19 s
    Then job c is refused as in_vain
    And job d is not refused

  # The tasks that have run already would be lost.
  Scenario: the rest of a started job goes before urgent work
    Given a scheduler with runners r1:1000
    When job a of 2 tasks of 1000 arrives
    And job b of priority 0 arrives that has to start within 0.9 s
    And the task of job a ends
    Then job b is not placed

  Scenario: a job that is in vain behind the work before it is refused at once
    Given a scheduler with runners r1:1000
    And job a of 1 tasks of 1000 arrives
    When job b of 4 tasks of 1000 arrives that has to start within 0.3 s
    And job c of 1 tasks of 1000 arrives that has to start within 0.35 s
    Then job c is refused as in_vain

  Scenario: a job whose latest start passes in the queue is refused
    Given a scheduler with runners r1:1000
    And job a of 1 tasks of 1000 arrives
    When job b of 1 tasks of 1000 arrives that has to start within 0.5 s
    And 0.6 s pass
    Then job b is refused as overdue

  Scenario: the rest of a started job is not refused for being late
    Given a scheduler with runners r1:1000
    When job a of 2 tasks of 1000 arrives that has to start within 0.1 s
    And 0.6 s pass
    Then job a is not refused

  # Load pattern: 4 s at twice the capacity. The queue must not make what follows late.
  Scenario: a burst leaves no tail
    Given a scheduler with 10 runners of 16000
    And tasks that take 120 ms
    When jobs of 8 tasks of 1600 arrive at 200% of the capacity for 4 s
    And at 60% of the capacity for 4 s after that
    Then at least 40% of the jobs of the burst end within their objective
    And at least 97% of the jobs that arrive 2 s after the burst end within their objective
    And no job waits longer than its objective

  # Load pattern: a burst on a large pool. Placing must not take the time that it is to save.
  # A region's twelve entries order 66,250 starts/s, so a start may cost an entry 181 us.
  Scenario: placing stays cheap while a large pool is full
    Given a scheduler with 63 runners of 16000
    And tasks that take 400 ms
    When jobs of 4 tasks of 1600 arrive at 130% of the capacity for 2 s
    And at 60% of the capacity for 0.5 s after that
    Then at least 40 jobs have waited for room at the same time
    And placing took at most 181 us of processor time for each start

  # Callers that come back together would be the next burst.
  Scenario: the hints to come back are spread
    Given a scheduler with runners r1:1000
    And job a of 1 tasks of 1000 arrives
    When 50 jobs arrive that are refused
    Then their hints to come back differ and lie between 0.5 s and 10 s
