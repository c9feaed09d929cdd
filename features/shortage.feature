Feature: Choice under shortage
  While the runners can't do all work in time: which jobs start, which are refused, and when their
  callers return. The scheduler runs on a simulated clock.

  # Bursts of the widest and longest kind beside bursts of the shortest one. In each replay the
  # bounds for what is held, late and in time are what the rule of commit 01495ff had for the same
  # arrivals; it put the rest of any started job before the most urgent jobs.
  Scenario Outline: a burst of long jobs beside one of short jobs
    Given 60 runners of <cores> cores
    And jobs as at the first customer for 10 s, from 3 s to 7 s 2.6 times the long and 1.8 times the short ones
    When they are replayed
    Then the most urgent kind is served at least as well as each other kind
    And no job is refused while enough CPU is free for all of it
    And no job waits past its latest start before it is refused
    And fewer than <held>% of the jobs are refused after a quarter of their objective
    And fewer than <late>% of the jobs are late
    And the value to callers, weighted by priority, is at least <value> of all

    Examples:
      | cores    | held | late | value  |
      | 32       | 3.92 | 1.25 | 0.9619 |
      | 32 32 48 | 1.03 | 0.49 | 0.9881 |

  Scenario: demand that swings by half, with bursts of two kinds
    Given 44 runners of 64 64 64 64 96 cores
    And jobs as at the second customer for 12 s, with a swing of 0.55 and bursts of two kinds
    When they are replayed
    Then the most urgent kind is served at least as well as each other kind
    And no job is refused while enough CPU is free for all of it
    And no job waits past its latest start before it is refused
    And fewer than 7.25% of the jobs are refused after a quarter of their objective
    And fewer than 2.92% of the jobs are late
    And the value to callers, weighted by priority, is at least 0.8727 of all

  Scenario: all runners are lost and return
    Given 60 runners of 32 cores
    And jobs as at the first customer for 8 s
    And all runners are lost from 3 s to 4 s
    When they are replayed
    Then no job is refused while enough CPU is free for all of it
    And no job waits past 45% of its time before it is refused
    And fewer than 8.22% of the jobs are refused after a quarter of their objective
    And at least 99% of the jobs that arrive 0.5 s after the return are in time
    And the value to callers, weighted by priority, is at least 0.8416 of all

  # Without shortage nothing may change: neither the runners nor their order.
  Scenario: with room for all, the decisions are the ones before
    Given 60 runners of 32 32 48 cores
    And jobs as at the first customer for 4 s
    When they are replayed
    Then all jobs are in time
    And the placements are the 6064 of the rule before, with checksum d3c76ee4

  # The work of its first tasks would be lost, and other jobs could have used their CPU.
  Scenario: a job doesn't start in part if its other tasks are expected to start too late
    Given a scheduler with runners r1:2000
    And job a of 1 tasks of 1000 arrives
    And job b of 1 tasks of 1000 arrives
    When job c of 2 tasks of 1000 arrives with its latest start in 0.15 s
    And 0.124 s pass
    And the task of job a ends
    Then job c is not placed
    And job c is not refused
    When 0.03 s pass
    Then job c is refused as overdue

  # A job of more tasks than the pool can run at once could otherwise never start beside others.
  Scenario: a job that is wider than its pool may wait while something runs
    Given a scheduler with runners r1:2000
    And job a of 1 tasks of 1000 arrives
    When job c of 5 tasks of 1000 arrives with its latest start in 0.5 s
    Then job c is not refused
    When 0.12 s pass
    And the task of job a ends
    Then job c is placed

  # It would wait to its latest start, and its caller would lose the time for another attempt.
  Scenario: a queued job that more urgent jobs push past its latest start is refused at once
    Given a scheduler with runners r1:1000
    And job a of 1 tasks of 1000 arrives
    When job b of priority 2 arrives with its latest start in 0.5 s
    And job c of priority 0 arrives with its latest start in 0.9 s
    Then job b is not refused
    When job d of 5 tasks of 1000 arrives with its latest start in 0.9 s
    And 0.02 s pass
    Then job b is refused as displaced
    And job d is not refused

  # Otherwise its tasks run although the job is late, and its caller hears it only at the deadline.
  Scenario: a refused job has never started, whatever arrives
    When 40 random loads are replayed
    Then no refused job had a started task

  Scenario: no job waits past its latest start, whatever arrives
    When 40 random loads are replayed
    Then no job waits past its latest start before it is refused

  Scenario: a less urgent job never delays a more urgent one, whatever arrives
    When 40 random loads are replayed
    Then no task starts while a more urgent job waits that could use its CPU

  # A job that needs more runners at once than others would be overtaken by them for ever.
  Scenario: no kind, size or data centre of callers starves in a shortage
    Given 20 runners of 32 cores
    And jobs of one kind at 160% of the capacity for 20 s, from data centres of which one asks for most
    When they are replayed
    Then each data centre, the largest tenth and the next fifth of the jobs are served within each 4 s
    And the largest tenth and the next fifth are served at least half as often as all
    And the data centres that ask for less are served better than the one that asks for most

  Scenario: callers that were refused in a burst return spread, the most urgent first
    Given 20 runners of 32 cores
    And jobs as at the first customer for 3 s
    When they are replayed and the refused callers return as told
    Then no tenth of a second gets more than a fifth of the returning callers
    And the most urgent refused callers return first
    And at least 90% of the returning jobs are in time

  # A new scheduling entry would favour those who were favoured by the one before.
  Scenario: a new scheduling entry learns from the first requests what groups were given
    Given a new scheduling entry that hears that route a was given 50 core seconds lately
    When routes a and b each ask for 3 jobs
    Then route b is favoured and route a isn't

  Scenario Outline: reports of agents with and without expected ends are understood
    Given a scheduling entry whose only runner is full, with a report <form>
    When another entry asks for a task that has to start within 200 ms
    Then it <is> refused

    Examples:
      | form              | is    |
      | with ends         | isn't |
      | of an older build | is    |

  Scenario: a shortage is logged once when it begins and when it ends
    Given a scheduler with runners r1:1000
    And job a of 1 tasks of 1000 arrives
    When job b of 1 tasks of 1000 arrives with its latest start in 0.01 s
    Then the pool is short of runners with 1 refused job
    When 1.2 s pass
    Then the pool isn't short of runners
