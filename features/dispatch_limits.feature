Feature: Dispatcher limits
  The limits of a plan apply to tasks that were sent and are not yet reported. A job that cannot
  run within them is rejected on admission, before any task starts.

  Background:
    Given the dispatcher has 3 agents with 4 slots
    And the dispatcher has learnt that kind "label" takes 100 ms

  Scenario Outline: tasks beyond a limit stay queued, and each report lets the next one start
    Given the dispatcher's plan for "ana" sets <limit> to <value>
    When the dispatcher admits a job "a1" of "ana" with 10 tasks that need <accelerators> accelerators
    Then the dispatcher has <sent> tasks in flight, at most 4 at each agent
    And the dispatcher explains that "a1" of "ana" waits for "<reason>"
    When the dispatcher receives reports of 1 completed tasks
    Then the dispatcher has <sent> tasks in flight, at most 4 at each agent

    Examples:
      | limit           | value | accelerators | sent | reason                |
      | tasks_in_flight | 5     | 0            | 5    | limit in_flight       |
      | slots           | 3     | 0            | 3    | limit slots           |
      | accelerators    | 4     | 2            | 2    | resource accelerators |

  Scenario: starts_per_second limits starts over time, and the next allowed start sets the wakeup
    Given the dispatcher's plan for "caro" sets starts_per_second to 10
    When the dispatcher admits a job "c1" of "caro" with 12 tasks
    Then the dispatcher has sent 10 tasks of "c1"
    And the dispatcher's next wakeup is in 100 ms
    When the dispatcher's clock advances by 100 ms
    Then the dispatcher has sent 11 tasks of "c1"

  Scenario: a new owner starts with an empty rate bucket, so that a change of owner adds no starts
    Given the dispatcher's plan for "caro" sets starts_per_second to 10
    And the dispatcher has already admitted 1 tasks of "caro"
    And the dispatcher has taken over the shard
    When the dispatcher admits a job "c1" of "caro" with 12 tasks
    Then the dispatcher has sent 0 tasks of "c1"
    When the dispatcher's clock advances by 300 ms
    Then the dispatcher has sent 3 tasks of "c1"

  Scenario: tasks adopted from an earlier owner count towards the limits
    Given the dispatcher's plan for "ana" sets tasks_in_flight to 5
    And the dispatcher adopts 4 tasks of "ana" at "agent1"
    When the dispatcher admits a job "a1" of "ana" with 10 tasks
    Then the dispatcher has sent 1 tasks of "a1"

  Scenario Outline: a job that cannot be accepted is rejected on admission with the reason
    Given the dispatcher's plan for "ana" sets <limit> to <value>
    And the dispatcher has already admitted <admitted> tasks of "ana"
    When the dispatcher is asked to admit <tasks> tasks of "ana" that need <memory> MB and <accelerators> accelerators within <deadline> ms
    Then the dispatcher answers "<kind>"
    And the dispatcher has sent 0 tasks of "asked"

    Examples:
      | limit               | value | admitted | tasks | memory | accelerators | deadline | kind                 |
      | largest_job_tasks   | 9     | 0        | 10    | 0      | 0            | 9000     | limit_job_size       |
      | longest_deadline_ms | 5000  | 0        | 10    | 0      | 0            | 9000     | limit_deadline       |
      | starts_per_second   | 0     | 0        | 1     | 0      | 0            | 9000     | limit_rate           |
      | starts_per_second   | 10    | 0        | 60    | 0      | 0            | 4000     | limit_rate           |
      | starts_per_second   | 10    | 0        | 40    | 0      | 0            | 4000     | accepted             |
      | tasks_in_flight     | 0     | 0        | 1     | 0      | 0            | 9000     | limit_in_flight      |
      | slots               | 2     | 0        | 100   | 0      | 0            | 4000     | limit_in_flight      |
      | slots               | 4     | 0        | 100   | 0      | 0            | 4000     | accepted             |
      | accelerators        | 1     | 0        | 1     | 0      | 2            | 9000     | impossible           |
      | priority            | 1     | 0        | 1     | 70000  | 0            | 9000     | impossible           |
      | priority            | 1     | 0        | 1     | 60000  | 2            | 9000     | accepted             |
      | priority            | 1     | 0        | 1     | 0      | 3            | 9000     | impossible           |
      | priority            | 1     | 0        | 1     | 0      | 0            | 90       | deadline_unreachable |
      | priority            | 1     | 300      | 200   | 0      | 0            | 4000     | deadline_unreachable |
      | priority            | 1     | 300      | 100   | 0      | 0            | 4000     | accepted             |
      | priority            | 1     | 1500     | 600   | 0      | 0            | 60000    | queue_full           |
      | priority            | 1     | 900      | 100   | 0      | 0            | 60000    | accepted             |

  Scenario Outline: under equal load, jobs with the lower priority are rejected first
    Given the dispatcher's plan for "ana" sets priority to <priority>
    And the dispatcher has already admitted 300 tasks of "ana"
    And the dispatcher has already admitted 300 tasks of "bela"
    When the dispatcher is asked to admit 20 tasks of "ana" that need 0 MB and 0 accelerators within 4000 ms
    Then the dispatcher answers "<kind>"

    Examples:
      | priority | kind                 |
      | 1        | deadline_unreachable |
      | 3        | accepted             |

  Scenario: without any upstream, a job is rejected with an error that allows a retry
    Given the dispatcher has 0 agents with 4 slots
    When the dispatcher is asked to admit 1 tasks of "ana" that need 0 MB and 0 accelerators within 900 ms
    Then the dispatcher answers "no_upstream"

  Scenario: a job is impossible only once every upstream that could run it has been gone for a while
    Given the dispatcher loses "agent0", "agent1" and "agent2"
    And the dispatcher has 1 agents without accelerators
    When the dispatcher is asked to admit 1 tasks of "ana" that need 0 MB and 2 accelerators within 900 ms
    Then the dispatcher answers "no_upstream"
    When the dispatcher's clock advances by 61000 ms
    And the dispatcher is asked to admit 1 tasks of "ana" that need 0 MB and 2 accelerators within 900 ms
    Then the dispatcher answers "impossible"

  Scenario: a job that waits for accelerators is overtaken by plain jobs, not by accelerator jobs
    Given the dispatcher's plan for "ana" sets accelerators to 3
    When the dispatcher admits a job "a1" of "ana" with 3 tasks that need 2 accelerators
    And the dispatcher admits a job "a2" of "ana" with 2 tasks that need 1 accelerators
    And the dispatcher admits a job "a3" of "ana" with 5 tasks
    Then the dispatcher has sent 1 tasks of "a1"
    And the dispatcher has sent 0 tasks of "a2"
    And the dispatcher has sent 5 tasks of "a3"

  Scenario: a job that expires is returned with its unsent and its sent tasks
    When the dispatcher admits a job "a1" of "ana" with 20 tasks and a deadline of 500 ms
    And the dispatcher's clock advances by 600 ms
    Then the dispatcher reports "a1" of "ana" as expired, with 8 tasks unsent and 12 sent

  Scenario: smaller tasks of another buyer do not starve a task that needs much memory
    Given the dispatcher has 1 agents with 4 slots
    When the dispatcher admits a job "b1" of "bela" with 60 tasks that need 20000 MB
    And the dispatcher admits a job "a1" of "ana" with 1 tasks that need 60000 MB
    And the dispatcher receives reports of 30 completed tasks, 50 ms apart
    Then the dispatcher has sent 1 tasks of "a1"
