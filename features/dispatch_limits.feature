Feature: Dispatcher limits
  A plan's limits hold by what was sent and not yet reported; what can't be met is refused
  before anything runs.

  Background:
    Given the dispatcher has 3 agents with 4 slots
    And the dispatcher has learnt that kind "label" takes 100 ms

  Scenario Outline: a limit holds work back, and a report lets the next task start
    Given the dispatcher gives "ana" the limit <limit> <value>
    When the dispatcher admits a job "a1" of "ana" with 10 tasks that need <accelerators> accelerators
    Then the dispatcher has <sent> tasks in flight, at most 4 at each agent
    And the dispatcher explains that "a1" of "ana" waits for "<reason>"
    When the dispatcher hears that 1 tasks are done
    Then the dispatcher has <sent> tasks in flight, at most 4 at each agent

    Examples:
      | limit           | value | accelerators | sent | reason                |
      | tasks_in_flight | 5     | 0            | 5    | limit in_flight       |
      | slots           | 3     | 0            | 3    | limit slots           |
      | accelerators    | 4     | 2            | 2    | resource accelerators |

  Scenario: the rate holds over time, and its next start wakes the caller
    Given the dispatcher gives "caro" the limit starts_per_second 10
    When the dispatcher admits a job "c1" of "caro" with 12 tasks
    Then the dispatcher has sent 10 tasks of "c1"
    And the dispatcher wants to be called again after 100 ms
    When 100 ms pass for the dispatcher
    Then the dispatcher has sent 11 tasks of "c1"

  Scenario: a new owner starts with an empty rate bucket, so that a handover adds no starts
    Given the dispatcher gives "caro" the limit starts_per_second 10
    And the dispatcher has taken over the shard
    When the dispatcher admits a job "c1" of "caro" with 12 tasks
    Then the dispatcher has sent 0 tasks of "c1"
    When 300 ms pass for the dispatcher
    Then the dispatcher has sent 3 tasks of "c1"

  Scenario: tasks of an earlier owner count towards the limits
    Given the dispatcher gives "ana" the limit tasks_in_flight 5
    And the dispatcher adopts 4 tasks of "ana" at "agent1"
    When the dispatcher admits a job "a1" of "ana" with 10 tasks
    Then the dispatcher has sent 1 tasks of "a1"

  Scenario Outline: work that can't be accepted is refused at once
    Given the dispatcher gives "ana" the limit <limit> <value>
    And the dispatcher has <ahead> tasks of "ana" ahead
    When the dispatcher is asked for <tasks> tasks of "ana" that need <memory> MB and <accelerators> accelerators in <deadline> ms
    Then the dispatcher answers "<kind>"
    And the dispatcher has sent 0 tasks of "asked"

    Examples:
      | limit               | value | ahead | tasks | memory | accelerators | deadline | kind                 |
      | largest_job_tasks   | 9     | 0     | 10    | 0      | 0            | 9000     | limit_job_size       |
      | longest_deadline_ms | 5000  | 0     | 10    | 0      | 0            | 9000     | limit_deadline       |
      | starts_per_second   | 0     | 0     | 1     | 0      | 0            | 9000     | limit_rate           |
      | starts_per_second   | 10    | 0     | 60    | 0      | 0            | 4000     | limit_rate           |
      | starts_per_second   | 10    | 0     | 40    | 0      | 0            | 4000     | accepted             |
      | tasks_in_flight     | 0     | 0     | 1     | 0      | 0            | 9000     | limit_in_flight      |
      | slots               | 2     | 0     | 100   | 0      | 0            | 4000     | limit_in_flight      |
      | slots               | 4     | 0     | 100   | 0      | 0            | 4000     | accepted             |
      | accelerators        | 1     | 0     | 1     | 0      | 2            | 9000     | impossible           |
      | priority            | 1     | 0     | 1     | 70000  | 0            | 9000     | impossible           |
      | priority            | 1     | 0     | 1     | 60000  | 2            | 9000     | accepted             |
      | priority            | 1     | 0     | 1     | 0      | 3            | 9000     | impossible           |
      | priority            | 1     | 0     | 1     | 0      | 0            | 90       | deadline_unreachable |
      | priority            | 1     | 300   | 200   | 0      | 0            | 4000     | deadline_unreachable |
      | priority            | 1     | 300   | 100   | 0      | 0            | 4000     | accepted             |
      | priority            | 1     | 1500  | 600   | 0      | 0            | 60000    | queue_full           |
      | priority            | 1     | 900   | 100   | 0      | 0            | 60000    | accepted             |

  Scenario Outline: for equal load the lower priority is refused first
    Given the dispatcher gives "ana" the limit priority <priority>
    And the dispatcher has 300 tasks of "ana" ahead
    And the dispatcher has 300 tasks of "bela" ahead
    When the dispatcher is asked for 20 tasks of "ana" that need 0 MB and 0 accelerators in 4000 ms
    Then the dispatcher answers "<kind>"

    Examples:
      | priority | kind                 |
      | 1        | deadline_unreachable |
      | 3        | accepted             |

  Scenario: without any upstream the refusal invites another attempt
    Given the dispatcher has 0 agents with 4 slots
    When the dispatcher is asked for 1 tasks of "ana" that need 0 MB and 0 accelerators in 900 ms
    Then the dispatcher answers "no_upstream"

  Scenario: an upstream that was just lost makes its work no less possible
    Given the dispatcher loses "agent0", "agent1" and "agent2"
    And the dispatcher has 1 agents without accelerators
    When the dispatcher is asked for 1 tasks of "ana" that need 0 MB and 2 accelerators in 900 ms
    Then the dispatcher answers "no_upstream"
    When 61000 ms pass for the dispatcher
    And the dispatcher is asked for 1 tasks of "ana" that need 0 MB and 2 accelerators in 900 ms
    Then the dispatcher answers "impossible"

  Scenario: a plain job passes one that waits for accelerators, and an accelerator job does not
    Given the dispatcher gives "ana" the limit accelerators 2
    When the dispatcher admits a job "a1" of "ana" with 3 tasks that need 2 accelerators
    And the dispatcher admits a job "a2" of "ana" with 2 tasks that need 1 accelerators
    And the dispatcher admits a job "a3" of "ana" with 5 tasks
    Then the dispatcher has sent 1 tasks of "a1"
    And the dispatcher has sent 0 tasks of "a2"
    And the dispatcher has sent 5 tasks of "a3"

  Scenario: a job whose deadline passes is given back whole
    When the dispatcher admits a job "a1" of "ana" with 20 tasks that have 500 ms
    And 600 ms pass for the dispatcher
    Then the dispatcher says that "a1" of "ana" expired, with 8 tasks unsent and 12 sent
