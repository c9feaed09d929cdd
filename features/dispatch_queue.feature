Feature: Dispatcher queue
  Tasks are queued fairly between buyers and sent only to agents with a free slot.

  Background:
    Given the dispatcher has 2 agents with 4 slots
    And the dispatcher has learnt that kind "label" takes 100 ms

  Scenario: tasks stay in the queue until a slot is free, so that none waits at a busy agent
    When the dispatcher admits a job "a1" of "ana" with 20 tasks
    Then the dispatcher has 8 tasks in flight, at most 4 at each agent
    When the dispatcher receives reports of 3 completed tasks
    Then the dispatcher has 8 tasks in flight, at most 4 at each agent

  Scenario: after a burst of one buyer, another buyer's job gets its share of the next free slots
    When the dispatcher admits a job "a1" of "ana" with 200 tasks
    And the dispatcher admits a job "b1" of "bela" with 4 tasks
    And the dispatcher receives reports of 8 completed tasks
    Then the dispatcher has sent 4 tasks of "b1"

  # In slack order a buyer may exceed its share by the burst allowance, here 20 tasks of 100 ms.
  Scenario Outline: buyers share the slots in proportion to their priorities in <order> order
    Given the dispatcher orders jobs by "<order>"
    And the dispatcher has 2 agents with 4 slots
    And the dispatcher has learnt that kind "label" takes 100 ms
    And the dispatcher's plan for "bela" sets priority to 3
    When the dispatcher admits a job "a1" of "ana" with 600 tasks
    And the dispatcher admits a job "b1" of "bela" with 600 tasks
    And the dispatcher receives reports of <done> completed tasks
    Then the dispatcher has sent <sent> tasks of "b1", plus or minus <tolerance>

    Examples:
      | order | done | sent | tolerance |
      | fifo  | 80   | 60   | 2         |
      | fifo  | 640  | 480  | 2         |
      | slack | 320  | 240  | 22        |
      | slack | 640  | 480  | 22        |

  Scenario: jobs of one buyer start in the order of their admission
    When the dispatcher admits a job "a1" of "ana" with 10 tasks
    And the dispatcher admits a job "a2" of "ana" with 10 tasks
    Then the dispatcher has sent 8 tasks of "a1"
    And the dispatcher has sent 0 tasks of "a2"

  Scenario: the longest tasks of a job start first, so that a late long task does not delay its end
    Given the dispatcher has 1 agents with 8 slots
    When the dispatcher admits a job "a1" of "ana" with tasks of 10, 900, 30, 700, 50, 60, 70, 80, 20, 40 ms
    Then the dispatcher has sent the tasks of 900, 700, 80, 70, 60, 50, 40, 30 ms in this order
