Feature: Limits of an entry
  A caller is answered as soon as it is known that waiting on can't help it; on a simulated clock.

  # Load: a burst at one entry that is more than its processor or its link can handle.
  Scenario Outline: the jobs that may wait follow the rate, the slack and the lag of the event loop
    Given an entry at which <waiting> jobs wait, with <slack> s until they are of no use
    When <rate> of them a second are started for <time> s while its loop lags by <lag> s
    Then at most <limit> jobs may wait

    # The first runners that return after a loss of all start few jobs (the last row), which is not
    # what the entry can do.
    Examples:
      | waiting | slack | rate | time | lag | limit |
      | 60      | 0.5   | 100  | 1    | 0   | 50    |
      | 400     | 1.0   | 300  | 1    | 0   | 300   |
      | 400     | 1.0   | 300  | 1    | 0.4 | 180   |
      | 400     | 0.5   | 300  | 1    | 0.6 | 32    |
      | 20      | 0.5   | 25   | 1    | 0   | inf   |
      | 200     | 0.5   | 0    | 1    | 0   | inf   |
      | 200     | 0.8   | 25   | 0.4  | 0   | inf   |

  Scenario: beyond the limit the least urgent job is refused on arrival, and the hints are spread
    Given an entry that may let 50 jobs wait
    When 70 jobs of two routes arrive at the same time
    Then the 20 least urgent of the less urgent route are refused as entry_full at once
    And the hints are at least 0.5 s, differ, and are earlier for the more urgent route
    And the log says once that the entry refuses, and once that it accepts again

  # Load: the way to the scheduling entry is dead or choked, so that no reply comes.
  Scenario: a job without a reply is withdrawn and refused before half of its caller's time is over
    Given an entry whose job with 2.0 s of its caller's time left waits for a placement
    Then the job is still waiting after 0.92 s
    And the job is refused as no_reply after 0.94 s, and its request withdrawn

  Scenario: a placement that arrives after the refusal starts nothing
    Given an entry whose job with 2.0 s of its caller's time left waits for a placement
    Then the job is refused as no_reply after 0.94 s, and its request withdrawn
    When the placement arrives
    Then no task is ordered

  Scenario: a job with a started task goes on without a reply for its other tasks
    Given an entry whose job with 2.0 s of its caller's time left has one of two tasks started
    Then the job is still waiting after 1.5 s
    And the job is given_up as out_of_time after 1.9 s, and its request withdrawn

  Scenario Outline: the reply may take as long as replies took lately
    When replies took <times> s lately
    Then <allowance> s are allowed for a reply

    Examples:
      | times            | allowance |
      | nothing          | 0.1       |
      | 0.01, 0.02, 0.01 | 0.1       |
      | 0.3, 0.25, 0.02  | 0.25      |

  # Load: callers send again with little time left, or a step of a job runs longer than expected.
  Scenario: a job that can't end before its caller's deadline is refused on arrival
    Given an entry whose job with 0.09 s of its caller's time left waits for a placement
    Then the job is refused as out_of_time after 0 s, and nothing was requested

  Scenario: a job whose next step no longer fits is given up before its deadline
    Given an entry whose job with 2.0 s of its caller's time left has a running step and one of 800 ms to come
    Then the job is still waiting after 1.1 s
    And the job is given_up as out_of_time after 1.2 s, and its task stopped

  Scenario: a job whose last task takes longer than expected may run until its deadline
    Given an entry whose job with 2.0 s of its caller's time left has its only task started
    Then the job is still waiting after 1.9 s
    And the job is given_up as deadline after 1.98 s, and its task stopped

  # Load: power returns, all callers come back at once, and nobody schedules for 0.4 s. Callers
  # waited to their deadline there, although nobody would serve them in time.
  Scenario: 200 callers return at once while nobody schedules
    Given 200 callers of jobs of 100 ms to 800 ms that come at once to an entry that has just started
    When nobody schedules for 0.4 s, and then runners of 64 cores come back
    Then at least 60 jobs are completed
    And every other job is refused by its latest start or half of its time, with nothing run

  # Work that is handled in one iteration of the event loop delays heartbeats and answers.
  Scenario: a burst of requests leaves the event loop to timers in between
    When 50 pieces of work of 2 ms each are ready at the same time
    Then each iteration of the event loop takes at most 12 ms of 2 ms pieces
    And the work was done in the order of its arrival

  Scenario Outline: the scheduling entry is lost while more jobs come than the pool can run
    Given a platform deployment of 3 entries and 2 agents
    When 80 jobs of 4 tasks of 400 ms of callers with 4 s arrive within 3 s, and after 1 s <fault>
    Then every refusal comes within half of its caller's time
    And no caller was held to its deadline
    And no invariant is violated

    Examples:
      | fault                      |
      | entry-0 is paused for 2 s  |
      | entry-0 is cut off for 2 s |
