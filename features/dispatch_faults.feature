Feature: Dispatcher outlier detection
  A faulty runner is ejected, gets few tasks until then, and is readmitted through single probe
  tasks. Failures caused by a job do not eject a runner.

  Background:
    Given the dispatcher has 6 agents with 4 slots
    And the dispatcher has learnt that kind "label" takes 100 ms

  Scenario Outline: only a fault of a single runner ejects that runner
    When the dispatcher runs 60 jobs of 4 tasks while no runner is at fault
    And the dispatcher runs 60 jobs of 4 tasks while <fault>
    Then the dispatcher has ejected "<ejected>" as "<reason>"
    And the dispatcher recalls the queued work of "<recalled>"

    Examples:
      | fault                          | ejected | reason  | recalled |
      | agent2 fails every task        | agent2  | failing |          |
      | agent2 starts no task          | agent2  | failing |          |
      | agent2 is 5 times slower       | agent2  | slow    | agent2   |
      | agent2 reports nothing         | agent2  | silent  | agent2   |
      | one kind fails at every runner |         |         |          |
      | every runner is 5 times slower |         |         |          |
      | no runner is at fault          |         |         |          |

  Scenario: a runner that fails tasks immediately gets few of them before it is ejected
    When the dispatcher runs 60 jobs of 4 tasks while agent2 fails every task
    Then the dispatcher has sent at most 10 tasks to "agent2"

  Scenario: no more than the configured share of the upstreams is ejected
    When the dispatcher runs 60 jobs of 4 tasks while agent0 and agent1 and agent2 fail every task
    Then the dispatcher has ejected 1 agents

  Scenario: an ejected runner is probed with single tasks at growing intervals
    When the dispatcher runs 60 jobs of 4 tasks while agent2 fails every task
    And the dispatcher runs 400 jobs of 4 tasks while agent2 fails every task
    Then the dispatcher has sent at most 16 tasks to "agent2"
    When the dispatcher runs 400 jobs of 4 tasks while no runner is at fault
    Then the dispatcher has ejected 0 agents

  Scenario: a flapping upstream is ejected for longer each time, so that routing stays stable
    When the dispatcher loses and regains "agent2" 5 times
    Then the dispatcher has ejected "agent2" as "flapping"
    And the dispatcher sends no task to "agent2" within 4000 ms

  Scenario: an upstream that becomes usable only after its first report is not treated as a returning one
    Given the dispatcher adds an agent "agent6" with 8 slots that becomes usable later
    When the dispatcher admits a job "a1" of "ana" with 32 tasks
    Then the dispatcher has sent 8 tasks to "agent6"

  Scenario: a task that did not start is resent after a growing backoff, within the retry budget
    When the dispatcher admits a job "a1" of "ana" with 1 tasks
    Then the dispatcher resends a refused task after 10 to 30, 20 to 60 and 40 to 120 ms
    And the dispatcher limits retries to a budget of 20 plus 10 percent of the starts

  # Guards against starting a task without its payload: adoption only knows the task's index.
  Scenario: an adopted task that did not start is resent with its payload after the job is joined
    Given the dispatcher has 2 agents with 4 slots
    And the dispatcher adopts tasks 0, 1 of job "a1" of "ana" at "agent0"
    When the dispatcher joins job "a1" of "ana" with 3 tasks, of which no agent reported task 2
    And the dispatcher is told that task 1 of job "a1" of "ana" did not start
    Then the dispatcher has sent exactly tasks 1, 2 of job "a1" with their payloads
    And the dispatcher keeps no state of job "b1" of "bela" that is joined after it ended
