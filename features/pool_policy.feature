Feature: Pool scheduling policies
  Timeouts, leader election and task placement, tested without sockets on a simulated clock.

  # Otherwise a caller's second attempt could run concurrently with the first one.
  Scenario Outline: the tasks of a lost entry have ended before its callers resend their jobs
    When the timeouts are derived from a lease of <lease> s, a stop time of <stop> s and a resend time of <resend> s
    Then the tasks have ended within the resend time: <fits>

    Examples:
      | lease | stop | resend | fits |
      | 1.0   | 0.05 | 1.3    | yes  |
      | 0.3   | 0.05 | 1.3    | yes  |
      | 5.0   | 0.05 | 4.0    | yes  |
      | 1.0   | 0.05 | 0.8    | yes  |
      | 1.0   | 0.5  | 1.0    | no   |

  # Each change of the scheduling entry delays the queued tasks, so a flapping link must not cause
  # changes. A candidate is id:cores:start time:seconds reachable:available.
  Scenario Outline: election of the scheduling entry
    Given the election candidates <candidates>
    Then with <current> as the current leader the election chooses <choice>

    Examples:
      | candidates                                       | current | choice |
      | a:1.0:10:60:yes b:1.0:20:60:yes                  | none    | a      |
      | a:1.0:10:60:no b:1.0:20:60:yes                   | a       | b      |
      | a:1.0:10:0.5:yes b:1.0:20:60:yes                 | b       | b      |
      | a:1.0:10:2.5:yes b:1.0:20:60:yes                 | b       | a      |
      | a:1.0:10:60:yes b:2.0:20:60:yes                  | a       | b      |
      | a:1.0:10:0.1:yes b:1.0:20:0.1:yes                | none    | a      |
      | a:1.0:10:60:no b:1.0:20:60:no                    | a       | none   |

  # After a power loss all entries start at once. Each one would act as the leader at first, and
  # agents would refuse what several of them place.
  Scenario: entries that start at the same time agree on a leader at the first heartbeat
    Given an entry b that starts together with an entry a of as many cores that started first
    Then entry b follows entry a within 0.2 s
    And entry b still follows entry a after 5 s

  # Each change has all waiting tasks requested again, in the second after a loss of all processes.
  Scenario Outline: entries that start at the same time elect a leader once
    Given an entry z that starts together with a b c, which rank in this order
    When their first heartbeats arrive in the order <order>, 0.02 s apart, before any runner
    And each of them announces its first runner, the last one first
    Then entry z has changed its leader once, to a

    Examples:
      | order |
      | a b c |
      | c b a |
      | b a c |

  Scenario: the first election doesn't wait for an entry that is not reachable
    Given an entry z that starts together with a b c, which rank in this order
    When their first heartbeats arrive in the order c b, 0.02 s apart, before any runner
    Then entry z follows no one, and asks no one to follow it
    When 0.15 s pass without another heartbeat
    Then entry z has changed its leader once, to b

  Scenario: a leader is kept until a higher-ranked entry has been reachable for 2 s
    Given an entry b that has been the only entry for 60 s
    When a first heartbeat arrives from a higher-ranked entry a
    Then entry b remains the leader for 1.9 s more
    And entry b follows entry a after 2.1 s more

  # An entry whose links were all reset would otherwise act as a second leader.
  Scenario: an entry that reconnects follows the current leader at once
    Given an entry b that has been the only entry for 60 s
    When a first heartbeat arrives from a higher-ranked entry a that is the leader
    Then entry b follows entry a within 0.2 s

  # With frequent heartbeats of all entries the messages would grow with the square of the entries.
  Scenario Outline: only the entries that rank first send frequent heartbeats to all others
    Given an entry that starts as number <number> of 6 equal entries
    Then it sends heartbeats to a peer that doesn't follow it every <interval> s
    And it sends heartbeats to a peer that follows it every 0.1 s
    And it sends heartbeats to a peer of an older build every 0.1 s

    Examples:
      | number | interval |
      | 1      | 0.1      |
      | 3      | 0.1      |
      | 4      | 1.0      |
      | 6      | 1.0      |

  Scenario: a peer is timed out by the heartbeat interval that it declares
    Given an entry that starts as number 2 of 6 equal entries
    When peer 4 declares an interval of 1.0 s
    Then the heartbeat timeout of peer 4 is 3.5 s
    And the heartbeat timeout of peer 1, the leader, is 0.35 s

  # A runner on which every task fails at once always has free capacity, so most queued tasks would
  # be placed on it and fail.
  Scenario: failed tasks of three jobs in a row eject a runner, a successful probe restores it
    Given a scheduler with runners r1:4000 r2:4000
    When tasks of jobs a, b, c fail at r1
    Then r1 accepts no task for 1.0 s
    And after 1.1 s r1 accepts a single task as a probe
    And after the probe has succeeded r1 accepts tasks again

  # A job may fail on every runner, so its failures don't indicate a faulty runner.
  Scenario: failed tasks of a single job don't eject a runner
    Given a scheduler with runners r1:4000
    When tasks of jobs a, a, a, a fail at r1
    Then r1 accepts tasks

  # Many jobs that can never succeed must not make all runners of a pool unavailable.
  Scenario: at most a third of the runners of a pool are ejected at the same time
    Given a scheduler with runners r1:4000 r2:4000 r3:4000
    When tasks of jobs a, b, c fail at r1
    And tasks of jobs d, e, f fail at r2
    Then 2 runners accept tasks

  Scenario: a task is placed on the runner with the largest fraction of free capacity
    Given a scheduler with runners r1:4000 r2:8000
    When job a of 3 tasks of 1000 arrives
    Then its tasks are placed on r1 r2 r2

  # A slow runner delays every task, however much capacity it has free.
  Scenario: other runners are preferred over a slow one
    Given a scheduler with runners r1:4000 r2:8000
    And r2 takes 4 times the expected run times
    When job a of 2 tasks of 1000 arrives
    Then its tasks are placed on r1 r1

  Scenario: a retry is not placed on the runner of the failed attempt
    Given a scheduler with runners r1:4000 r2:8000
    When a retry for job a arrives that avoids r2
    Then its tasks are placed on r1

  # Otherwise an entry that can't reach an agent would have its tasks placed there repeatedly.
  Scenario: a retry waits for capacity rather than use the runner of the failed attempt
    Given a scheduler with runners r1:1000 r2:8000
    And job z of 1 tasks of 1000 arrives
    When a retry for job a arrives that avoids r2
    Then job a is not placed

  Scenario: a retry is placed on the runner of the failed attempt if there is no other
    Given a scheduler with runners r2:8000
    When a retry for job a arrives that avoids r2
    Then its tasks are placed on r2

  Scenario: the tasks of a step on one runner don't exceed the anti-affinity limit
    Given a scheduler with runners r1:4000 r2:8000
    When job a of 3 tasks of 1000 with at most 1 per runner arrives
    Then its tasks are placed on r1 r2

  Scenario: a job is refused if no runner has the required label
    Given a scheduler with runners r1:4000 r2:8000
    When job a of 1 tasks of 1000 that require label gpu arrives
    Then job a is refused as impossible

  # Otherwise a placement whose entry was killed would hold its allocation forever.
  Scenario: the allocation of a placement that its agent doesn't confirm in time is released
    Given a scheduler with runners r1:1000
    When job a of 1 tasks of 1000 arrives
    And r1 reports no allocations after 0.5 s
    Then r1 has capacity for 1000

  # After a loss of all hosts the agents connect before their runners have announced themselves.
  Scenario: a runner takes tasks as soon as its agent, which has already reported, knows its pool
    Given a scheduler with runners r1:1000
    And agent r2 has reported no allocations and has no runner yet
    When the runner of r2 with a capacity of 2000 announces itself
    And job a of 1 tasks of 2000 arrives
    Then its tasks are placed on r2

  Scenario: an allocation report from before a placement doesn't release its allocation
    Given a scheduler with runners r1:1000
    When job a of 1 tasks of 1000 arrives
    And r1 reports no allocations after 0.1 s
    Then r1 has no capacity for 1000

  # In a full pool, jobs of the same priority are placed in the order of their latest starts.
  Scenario: the queued job with the earliest latest start is placed first
    Given a scheduler with runners r1:1000
    And job a of 1 tasks of 1000 arrives
    When job b of 1 tasks of 1000 arrives with its latest start in 0.9 s
    And job c of 1 tasks of 1000 arrives with its latest start in 0.5 s
    And the task of job a ends
    Then job c is placed

  # In a full pool of several routes, jobs don't queue behind jobs of lower priority.
  Scenario: a job of a route with higher priority is placed first
    Given a scheduler with runners r1:1000
    And job a of 1 tasks of 1000 arrives
    When job b of priority 1 arrives with its latest start in 0.5 s
    And job c of priority 0 arrives with its latest start in 0.9 s
    And the task of job a ends
    Then job c is placed
    And job b is not placed

  Scenario: admission control ignores queued jobs of lower priority
    Given a scheduler with runners r1:1000
    And job a of 1 tasks of 1000 arrives
    When job b of priority 2 arrives with its latest start in 0.19 s
    And job c of priority 2 arrives with its latest start in 0.19 s
    And job d of priority 0 arrives with its latest start in 0.19 s
    Then job c is refused as in_vain
    And job d is not refused

  # If the job missed its deadline, the work of its completed tasks would be wasted.
  Scenario: the remaining tasks of a started job go before other jobs of its priority
    Given a scheduler with runners r1:1000
    When job a of 2 tasks of 1000 arrives
    And job b of priority 1 arrives with its latest start in 0.9 s
    And the task of job a ends
    Then job b is not placed

  # The most urgent jobs have the least time, and would wait behind all jobs that started in part.
  Scenario: the remaining tasks of a started job go behind jobs of higher priority
    Given a scheduler with runners r1:1000
    When job a of 2 tasks of 1000 arrives
    And job b of priority 0 arrives with its latest start in 0.9 s
    And the task of job a ends
    Then job b is placed
    And job a is not refused

  Scenario: a job that would start too late behind the queued work is refused on arrival
    Given a scheduler with runners r1:1000
    And job a of 1 tasks of 1000 arrives
    When job b of 2 tasks of 1000 arrives with its latest start in 0.25 s
    And job c of 1 tasks of 1000 arrives with its latest start in 0.29 s
    Then job b is not refused
    And job c is refused as in_vain

  # Its first tasks would take the place of others, and it would be late nevertheless.
  Scenario: a job of which only the last task would start too late is refused on arrival
    Given a scheduler with runners r1:2000
    And job a of 2 tasks of 1000 arrives
    When job e of 1 tasks of 1000 arrives with its latest start in 0.14 s
    And job b of 2 tasks of 1000 arrives with its latest start in 0.15 s
    Then job e is not refused
    And job b is refused as in_vain

  Scenario: a job is refused when its latest start passes while it is queued
    Given a scheduler with runners r1:1000
    And job a of 1 tasks of 1000 arrives
    When job b of 1 tasks of 1000 arrives with its latest start in 0.5 s
    And 0.6 s pass
    Then job b is refused as overdue

  Scenario: the remaining tasks of a started job are not refused after its latest start
    Given a scheduler with runners r1:1000
    When job a of 2 tasks of 1000 arrives with its latest start in 0.1 s
    And 0.6 s pass
    Then job a is not refused

  # A queue that is still full after a burst would make the following jobs late.
  Scenario: jobs that arrive after a burst end in time
    Given a scheduler with 10 runners of 16000
    And the runners have been there for 2 s
    And tasks that take 120 ms
    When jobs of 8 tasks of 1600 arrive at 200% of the capacity for 4 s
    And at 60% of the capacity for 4 s after that
    Then at least 40% of the jobs of the burst end within their target latency
    And at least 97% of the jobs that arrive 2 s after the burst end within their target latency
    And no job waits longer than its target latency before it is refused

  Scenario: the other tasks of a late job don't wait for spare capacity once one has started
    Given a scheduler with runners r1:10000
    And job x of 1 tasks of 7000 arrives
    And job a of 1 tasks of 2000 arrives
    And job c of 1 tasks of 1000 arrives
    When job b of 2 tasks of 1500 arrives 0.2 s after its latest start
    And the task of job a ends
    And the task of job c ends
    Then its tasks are placed on r1 r1

  # All hosts have lost power: callers wait, and the runners return idle one after the other.
  Scenario: jobs that wait while all runners are gone are served late once the runners return
    Given a scheduler with 10 runners of 16000
    And the runners have been there for 2 s
    And tasks that take 120 ms
    And all runners are gone
    When jobs of 8 tasks of 1600 arrive at 60% of the capacity for 0.5 s
    And at 60% of the capacity for 2 s after that
    And the runners return one after the other from 0.4 s to 0.5 s
    Then at least 70% of the jobs of the burst are served
    And at least 95% of the jobs that arrive 0.1 s after the burst end within their target latency
    And no job waits longer than 45% of its time before it is refused

  Scenario: a new scheduling entry that learns of busy runners refuses as before
    Given a scheduler with 10 runners of 16000
    And the runners have been there for 2 s
    And tasks that take 120 ms
    And all runners are gone
    When jobs of 8 tasks of 1600 arrive at 200% of the capacity for 1 s
    And at 60% of the capacity for 1 s after that
    And the runners return busy from 0 s to 0.1 s
    Then no job waits longer than its target latency before it is refused

  Scenario: jobs are refused at their latest start in an overload, though a late answer has worth
    Given a scheduler with 10 runners of 16000
    And the runners have been there for 2 s
    And tasks that take 120 ms
    When jobs of 8 tasks of 1600 arrive at 200% of the capacity for 4 s
    And at 60% of the capacity for 1 s after that
    Then no job waits longer than its target latency before it is refused

  # The 12 entries of a region start 66,250 tasks/s, so placing a task may take an entry at most
  # 181 us.
  Scenario: processor time of placing a task while a large pool is full
    Given a scheduler with 63 runners of 16000
    And tasks that take 400 ms
    When jobs of 4 tasks of 1600 arrive at 130% of the capacity for 2 s
    And at 60% of the capacity for 0.5 s after that
    Then at least 40 jobs have waited for capacity at the same time
    And placing took at most 181 us of processor time per started task

  Scenario Outline: placing a task examines few runners whatever the size of the pool
    Given a scheduler with <count> runners of 16000
    And tasks that take 400 ms
    When jobs of 4 tasks of 1600 arrive at 130% of the capacity for 0.6 s
    And at 60% of the capacity for 0.2 s after that
    And the examined runners are counted
    Then placing examined at most 3 runners for each started task

    Examples:
      | count |
      | 20    |
      | 160   |
      | 800   |

  # A runner may shrink and grow while it runs, and its caller would be told that the job can't run.
  Scenario: a job that doesn't fit while the runners are small isn't impossible
    Given a scheduler with runners r1:8000 r2:8000
    When the capacity of all runners becomes 1000
    And job j of 1 tasks of 2000 arrives
    Then job j is not refused
    And job j is not placed
    When the capacity of all runners becomes 8000
    Then job j is placed

  Scenario: a job that never fitted is impossible
    Given a scheduler with runners r1:8000 r2:8000
    When job j of 1 tasks of 9000 arrives
    Then job j is refused as impossible

  Scenario: nothing is placed on a runner that shrank below what runs there
    Given a scheduler with runners r1:8000 r2:8000
    When job j of 16 tasks of 1000 arrives
    And the capacity of all runners becomes 4000
    And 5 tasks of job j end at r1
    Then r1 has capacity for 1000
    And r1 has no capacity for 2000
    And r2 has no capacity for 1000
    When job k of 2 tasks of 1000 arrives
    Then its tasks are placed on r1

  # Callers that all retried at the same time would cause another burst.
  Scenario: the retry hints of refused jobs are spread
    Given a scheduler with runners r1:1000
    And job a of 1 tasks of 1000 arrives
    When 50 jobs arrive that are refused
    Then their retry hints differ and are between 0.5 s and 10 s
