Feature: Dispatcher evidence on upstreams
  A bad runner is told from a bad job, draws little work meanwhile, and comes back by one
  task at a time.

  Background:
    Given the dispatcher has 6 agents with 4 slots
    And the dispatcher has learnt that kind "label" takes 100 ms

  Scenario Outline: a fault of one runner takes it out, and nothing else does
    When the dispatcher runs 60 jobs of 4 tasks while no runner is at fault
    And the dispatcher runs 60 jobs of 4 tasks while <fault>
    Then the dispatcher has taken out "<out>" as "<reason>"
    And the dispatcher recalls the queued work of "<recalled>"

    Examples:
      | fault                          | out    | reason  | recalled |
      | agent2 fails every task        | agent2 | failing |          |
      | agent2 starts no task          | agent2 | failing |          |
      | agent2 is 5 times slower       | agent2 | slow    | agent2   |
      | agent2 reports nothing         | agent2 | silent  | agent2   |
      | one kind fails at every runner |        |         |          |
      | every runner is 5 times slower |        |         |          |
      | no runner is at fault          |        |         |          |

  Scenario: a runner that fails at once gets few tasks before it is taken out
    When the dispatcher runs 60 jobs of 4 tasks while agent2 fails every task
    Then the dispatcher has sent at most 10 tasks to "agent2"

  Scenario: not more than the allowed share of the upstreams is taken out
    When the dispatcher runs 60 jobs of 4 tasks while agent0 and agent1 and agent2 fail every task
    Then the dispatcher has taken out 1 agents

  Scenario: a runner comes back by single tasks at growing intervals
    When the dispatcher runs 60 jobs of 4 tasks while agent2 fails every task
    And the dispatcher runs 400 jobs of 4 tasks while agent2 fails every task
    Then the dispatcher has sent at most 16 tasks to "agent2"
    When the dispatcher runs 400 jobs of 4 tasks while no runner is at fault
    Then the dispatcher has taken out 0 agents

  Scenario: an upstream that flaps waits longer each time, so that it does not swing the routing
    When the dispatcher sees "agent2" go and return 5 times
    Then the dispatcher has taken out "agent2" as "flapping"
    And the dispatcher sends no task to "agent2" within 4000 ms

  Scenario: an upstream that is listed after its first report is not taken for a returning one
    Given the dispatcher hears of a new agent "agent6" with 8 slots that is usable later
    When the dispatcher admits a job "a1" of "ana" with 32 tasks
    Then the dispatcher has sent 8 tasks to "agent6"

  Scenario: a task that did not start is sent again after a growing backoff, within the budget
    When the dispatcher admits a job "a1" of "ana" with 1 tasks
    Then the dispatcher sends a refused task again after 10 to 30, 20 to 60 and 40 to 120 ms
    And the dispatcher gives up refused tasks within its floor of 20 and 10 percent

  # Guards against a start with an empty payload: an adopted task is known by its index only.
  Scenario: an adopted task that did not start is sent again with its payload once its job is joined
    Given the dispatcher has 2 agents with 4 slots
    And the dispatcher adopts tasks 0, 1 of job "a1" of "ana" at "agent0"
    When the dispatcher joins job "a1" of "ana" with 3 tasks, of which 2 was not reported
    And the dispatcher hears that task 1 of job "a1" of "ana" did not start
    Then the dispatcher has sent exactly tasks 1, 2 of job "a1" with their payloads
    And the dispatcher keeps nothing of job "b1" of "bela" that is joined after its end
