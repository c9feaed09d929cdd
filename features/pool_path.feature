Feature: Pool dispatcher processes with platform stand-ins
  One or two entries and up to three agents on loopback; callers resend lost jobs.

  Scenario: all jobs of a light load are completed
    Given a platform deployment of 2 entries and 3 agents
    When 40 jobs of 4 tasks of 60 ms arrive within 2 s
    Then all jobs are completed
    And no invariant is violated

  Scenario: a request with the id of a running job joins that job
    Given a platform deployment of 1 entries and 1 agents
    When one job of 2 tasks of 300 ms is sent twice at the same time
    Then both callers get 200 completed
    And each of its tasks started once

  Scenario Outline: requests that are invalid or not supported
    Given a platform deployment of 1 entries and 1 agents
    When a job with <change> is sent to <path>
    Then the answer is <status> and contains <text>
    And no task was started

    Examples:
      | change                    | path                     | status | text                 |
      | nothing                   | /unknown/0123456789abcdef | 404    | no such queue        |
      | nothing                   | /orders/0123             | 400    | 16 hexadecimal       |
      | Steps=5                   | /orders/0123456789abcdef | 400    | expected a list      |
      | Steps=[]                  | /orders/0123456789abcdef | 400    | 0 tasks              |
      | Steps=[{"Count":"x"}]     | /orders/0123456789abcdef | 400    | Count                |
      | Steps=[{"Count":1,"Cpu":90000}] | /orders/0123456789abcdef | 422 | no runner can ever |
      | Steps=[{"Count":1,"After":[0]}] | /orders/0123456789abcdef | 400 | After              |
      | BestEffort=false          | /orders/0123456789abcdef | 503    | stored jobs          |
      | LongRunning=true          | /orders/0123456789abcdef | 503    | LongRunning          |
      | Steps=[{"Count":2,"Gang":true}] | /orders/0123456789abcdef | 503 | Gang               |

  Scenario: a job whose tasks fail is answered as failed
    Given a platform deployment of 1 entries and 2 agents
    When one failing job of 2 tasks of 50 ms is sent
    Then the answer is 200 failed
    And no invariant is violated

  # Without a limit, one such task would crash one runner after the other until its caller's deadline.
  Scenario Outline: a task that crashes its runners is given up, also if its entry is killed
    Given a platform deployment of 2 entries and 4 agents
    When entry 0 is sent a job whose task crashes its runner <when> in its run
    Then the answer is 200 failed
    And <count> runners have crashed
    When entry 0 is killed and the job is sent again to entry 1
    Then the answer is 200 failed
    And <count> runners have crashed

    Examples:
      | when  | count |
      | early | 2     |
      | late  | 3     |

  Scenario: a step starts after the step that it depends on
    Given a platform deployment of 1 entries and 1 agents
    When a job with a step of 2 tasks and a dependent step is sent
    Then the answer is 200 completed
    And the second step started after the first had ended

  Scenario: a job can be cancelled at another entry
    Given a platform deployment of 2 entries and 1 agents
    When one job of 2 tasks of 3000 ms is sent to entry 0 and cancelled at entry 1
    Then the answer is 410 cancelled
    And all tasks have ended after 0.5 s

  # The other entry passed a cancellation on over the links that were open, and nobody remembered it.
  Scenario: a job of a frozen entry that is cancelled at another entry doesn't go on
    Given a platform deployment of 2 entries and 1 agents
    When one job of 2 tasks of 6000 ms is sent to entry 0, which is then frozen for 2.5 s
    And the job is cancelled at entry 1 1.5 s after the start of that
    Then all tasks have ended 0.6 s after entry 0 goes on, and none starts in 1.5 s more
    And the job is answered as cancelled when it is sent again to entry 0 or 1

  Scenario: the tasks of a caller that disconnects are stopped
    Given a platform deployment of 1 entries and 1 agents
    When one job of 2 tasks of 3000 ms is sent and its caller disconnects
    Then all tasks have ended after 0.5 s

  Scenario: all nodes are killed at the same time
    Given a platform deployment of 2 entries and 3 agents
    When all nodes are killed and started again
    Then nearly all later jobs are completed
    And no invariant is violated

  Scenario: a new configuration takes effect at every entry and is never reverted
    Given a platform deployment of 2 entries and 1 agents
    When a route /late/ is added to the configuration
    Then every entry serves /late/ within 2 s
    When the route is removed and the store truncates the history of its feed
    Then no entry serves /late/ after 2 s

  # A configuration has to be in force 2 s after the store has confirmed it.
  Scenario: a configuration is in force in time although the answers to all feed calls are lost
    Given a platform deployment of 2 entries and 1 agents
    When the store loses the answers to all calls in progress
    And a route /late/ is added to the configuration
    Then every entry serves /late/ within 2 s

  # Entries read the nodes and the configuration from the store, or from their peers if it is down.
  Scenario: an entry that starts while the store is down gets nodes and configuration from its peers
    Given a platform deployment of 2 entries and 2 agents
    When the store goes down and entry 1 is killed and started again
    Then entry 1 is ready within 5 s
