Feature: Runners of uneven speed
  Runners of several kinds and speeds, runners that turn slow or fail, and tasks whose data is on one rack.

  # A runner is id:kind:rack:speed:free cores. A task needs 4 cores; far from its rack it takes twice
  # as long. A task that waited for a fast runner, or ran on a slow one without need, would be late.
  Scenario Outline: a task is placed where it ends early enough for its job
    Given the uneven runners <runners>
    When a task of <ms> ms arrives whose job may end <slack> ms later, near <rack>
    Then it is placed on <choice>

    Examples:
      | runners                         | ms   | slack | rack | choice |
      | x:a:r1:1.0:60 y:b:r2:1.3:30     | 1500 | 900   | none | y      |
      | x:a:r1:1.0:60 y:b:r2:1.3:30     | 100  | 100   | none | x      |
      | x:a:r1:0.7:60 y:b:r2:1.7:30     | 1500 | 900   | none | y      |
      | x:a:r1:1.0:60 y:b:r2:1.3:0      | 1500 | 100   | none | x      |
      | x:a:r1:1.0:30 y:a:r2:1.0:60     | 300  | 100   | r1   | x      |
      | x:a:r1:1.0:0 y:a:r2:1.0:60      | 300  | 100   | r1   | y      |
      | x:a:r1:0.7:30 y:b:r2:1.7:60     | 300  | 0     | r1   | y      |
      | x:a:r1:0.7:30 y:b:r2:1.7:60     | 300  | 300   | r1   | x      |
      | x:a:r1:1.0:0 y:a:r2:0.7:60 z:b:r3:1.7:30 | 300 | 200 | r1 | z    |
      | x:a:r1:0.2:60 y:a:r2:1.0:0      | 300  | 100   | none | none   |

  # One that ends sooner than the others of its job gains nothing, and takes the room of longer tasks.
  Scenario: the tasks of a job go to runners on which they end together
    Given the uneven runners y:b:r2:1.7:5 x:a:r1:1.0:60 z:b:r3:1.7:5
    When a job of 3 tasks of 1500 ms arrives that may end 100 ms later
    Then each of its tasks is on a runner of its own: y z x
    When a job of 2 tasks of 1500 ms arrives, of which one runs on a runner of speed 1.0 already
    Then the other one may run on x

  Scenario: a placement ends no later than on any other runner, unless it is early enough
    Then no other choice would end earlier, whatever the runners are

  # Otherwise tasks that prefer no rack fill it, and those that prefer it run far from their data.
  Scenario: a rack that many tasks prefer is kept for these while others have room
    Given the uneven runners x:a:r1:1.0:60 y:a:r2:1.0:40
    When many tasks that prefer r1 have arrived
    And a task of 100 ms arrives whose job may end 50 ms later, near none
    Then it is placed on y
    When a task of 100 ms arrives whose job may end 50 ms later, near r1
    Then it is placed on x
    Given y has no room
    When a task of 100 ms arrives whose job may end 50 ms later, near none
    Then it is placed on x

  Scenario Outline: an agent measures the speed of its runner by tasks that ended
    When <count> tasks take <slowdown> times the expected run time
    Then the measured speed is <speed>

    Examples:
      | count | slowdown | speed |
      | 0     | 1.0      | 1.0   |
      | 10    | 0.5      | 2.0   |
      | 10    | 100      | 0.4   |

  # Without a prior, each new runner of a slow kind would get long tasks until it has shown its speed.
  Scenario: a new runner, or a new incarnation, counts as fast as the others of its kind
    Given 4 runners of kind b with a speed of 1.3, measured in 32 tasks
    When a runner of kind b joins
    Then its speed is between 1.2 and 1.3
    When it reports a speed of 0.5, measured in 32 tasks
    Then its speed is between 0.5 and 0.8
    When another incarnation takes its place
    Then its speed is between 1.0 and 1.3

  Scenario: a new scheduling entry knows the speeds after one report of each runner
    Given the uneven runners x:a:r1:1.0:60 y:b:r2:1.3:60
    Then the pool counts as 187 cores

  # What ended before the runner turned slow would otherwise hide it for seconds.
  Scenario Outline: a runner that turns slow is found by the tasks that run
    Given <running> tasks of 1000 ms run after 16 tasks ended in time
    When each gets on by <percent> percent in 0.1 s
    Then the runner counts as slow: <slow>

    Examples:
      | running | percent | slow |
      | 4       | 1       | yes  |
      | 2       | 1       | yes  |
      | 4       | 10      | no   |
      | 4       | 6       | no   |

  # A single task may be slow because its estimate is wrong, so it takes longer to be sure.
  Scenario: a task that runs alone on a slow runner is moved after three reports
    Given 1 tasks of 1000 ms run after 0 tasks ended in time
    When each gets on by 1 percent in 0.1 s
    Then 0 tasks are moved
    When each gets on by 1 percent in 0.1 s
    Then 1 tasks are moved

  Scenario: late answers don't make a runner count as slow
    Given 4 tasks of 1000 ms run after 16 tasks ended in time
    When each gets on by 10 percent in 0.1 s
    And each gets on by 10 percent in 0.1 s, and the answer is 0.5 s late
    Then the runner counts as slow: no

  Scenario: a run far from its data doesn't make its runner count as slow
    Given 4 far tasks of 1000 ms run after 0 tasks ended in time
    When each gets on by 3 percent in 0.1 s
    Then the runner counts as slow: no

  # Given all its work at once, a runner that is still slow or faulty would fail as many tasks again.
  Scenario: a runner that was slow gets work back step by step
    Given the uneven runners x:a:r1:1.0:64 y:a:r2:1.0:64
    When x turns slow
    Then x gets 0 tasks
    When 1.1 s pass for the runners
    Then x gets 1 task
    And x gets 2 tasks once these are done
    And x gets 4 tasks once these are done
    And x gets 8 tasks once these are done
    And x gets 12 tasks once these are done

  Scenario: a returning runner stays in use while too many others are ejected
    Given the uneven runners x:a:r1:1.0:64 y:a:r2:1.0:64
    When x turns slow
    And 1.1 s pass for the runners
    Then x gets 1 task
    And x gets 2 tasks once these are done
    When y turns slow
    And the orders of these are unanswered
    Then x gets 2 tasks

  Scenario: a probe that takes far too long doesn't restore a runner
    Given the uneven runners x:a:r1:1.0:64 y:a:r2:1.0:64
    When x turns slow
    And 1.1 s pass for the runners
    Then x gets 1 task
    When it ends after 5 times the expected run time
    Then x gets 0 tasks

  # Tasks that began before the fault would otherwise hide that all new ones fail.
  Scenario: tasks that were placed before a runner became faulty don't clear its failures
    Given the uneven runners x:a:r1:1.0:60
    And 3 tasks run on x
    When 0.5 s pass for the runners
    And tasks fail on x, and each time one of the 3 tasks ends well
    Then x gets 0 tasks

  # One short disturbance of the link or the host leaves several orders unanswered.
  Scenario: orders that were sent before one went unanswered count with it as one fault
    Given the uneven runners x:a:r1:1.0:60
    And 3 tasks run on x
    When 0.5 s pass for the runners
    And the orders of the 3 tasks are unanswered
    Then x gets 12 tasks
    When a later order is unanswered
    Then x gets 0 tasks

  # 15% of 60 runners turn 8 times slower for 5 s. A few tasks show it at each runner, then a few
  # probes until it recovers; what ran there has begun before.
  Scenario: runners that turn slow cost a few late jobs each
    Given a replay of 60 runners of speeds 1.0, 1.0 and 1.3 at 60% load
    When 9 of its runners turn 8 times slower for 5 s
    Then no job was late before that
    And of the jobs that arrived since, at most 3 for each slow runner were late

  # The rack has room for the tasks that prefer it, as long as others leave it to them; a run
  # elsewhere takes twice as long and takes the room of other racks.
  Scenario: a rack that suddenly gets much of the traffic makes hardly any job late
    Given a replay of 60 runners of speeds 1.0, 1.0 and 1.3 at 60% load
    When 60% of the jobs of a route prefer the same rack for 4 s
    Then no job that prefers another rack is late
    And at most 1% of the jobs that prefer the rack are late
