Feature: Dispatcher queue
  Work is queued fairly between buyers and sent only where a slot is free.

  Background:
    Given the dispatcher has 2 agents with 4 slots
    And the dispatcher has learnt that kind "label" takes 100 ms

  Scenario: long tasks are bound to a slot late, so that one does not wait at a busy agent
    When the dispatcher admits a job "a1" of "ana" with 20 tasks
    Then the dispatcher has 8 tasks in flight, at most 4 at each agent
    When the dispatcher hears that 3 tasks are done
    Then the dispatcher has 8 tasks in flight, at most 4 at each agent

  Scenario: a burst of one buyer delays another's job by no more than a freed slot's turn
    When the dispatcher admits a job "a1" of "ana" with 200 tasks
    And the dispatcher admits a job "b1" of "bela" with 4 tasks
    And the dispatcher hears that 8 tasks are done
    Then the dispatcher has sent 4 tasks of "b1"

  # By slack a buyer may be ahead of its share by BURST_MS, here 20 tasks of 100 ms.
  Scenario Outline: priorities share the slots by their weights, in the order <order>
    Given the dispatcher orders jobs by "<order>"
    And the dispatcher has 2 agents with 4 slots
    And the dispatcher has learnt that kind "label" takes 100 ms
    And the dispatcher gives "bela" the limit priority 3
    When the dispatcher admits a job "a1" of "ana" with 600 tasks
    And the dispatcher admits a job "b1" of "bela" with 600 tasks
    And the dispatcher hears that <done> tasks are done
    Then the dispatcher has sent <sent> tasks of "b1", give or take <off>

    Examples:
      | order | done | sent | off |
      | fifo  | 80   | 60   | 2   |
      | fifo  | 640  | 480  | 2   |
      | slack | 320  | 240  | 22  |
      | slack | 640  | 480  | 22  |

  Scenario: jobs of one buyer start in the order of their admission
    When the dispatcher admits a job "a1" of "ana" with 10 tasks
    And the dispatcher admits a job "a2" of "ana" with 10 tasks
    Then the dispatcher has sent 8 tasks of "a1"
    And the dispatcher has sent 0 tasks of "a2"

  Scenario: the longest tasks of a job start first, so that none ends the job late
    Given the dispatcher has 1 agents with 8 slots
    When the dispatcher admits a job "a1" of "ana" with tasks of 10, 900, 30, 700, 50, 60, 70, 80, 20, 40 ms
    Then the dispatcher has sent the tasks of 900, 700, 80, 70, 60, 50, 40, 30 ms in this order
