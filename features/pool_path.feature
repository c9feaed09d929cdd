Feature: The pool dispatcher as processes, against stand-ins of the platform
  Two or three entries and three agents on loopback; callers send lost jobs again.

  Scenario: a calm load is served whole
    Given a platform world of 2 entries and 3 agents
    When 40 jobs of 4 tasks of 60 ms arrive within 2 s
    Then all jobs are complete
    And no promise is broken

  Scenario: the same id joins the job
    Given a platform world of 1 entries and 1 agents
    When one job of 2 tasks of 300 ms is sent twice at the same time
    Then both callers get 200 completed
    And each of its tasks started once

  Scenario Outline: input that can't be served
    Given a platform world of 1 entries and 1 agents
    When a job with <change> is sent to <path>
    Then the answer is <status> and names <text>
    And nothing has started

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
    Given a platform world of 1 entries and 2 agents
    When one failing job of 2 tasks of 50 ms is sent
    Then the answer is 200 failed
    And no promise is broken

  Scenario: steps start in their order
    Given a platform world of 1 entries and 1 agents
    When a job of a step of 2 tasks and a step after it is sent
    Then the answer is 200 completed
    And the second step started after the first had ended

  Scenario: a cancelled job is ended, also from another entry
    Given a platform world of 2 entries and 1 agents
    When one job of 2 tasks of 3000 ms is sent to entry 0 and cancelled at entry 1
    Then the answer is 410 cancelled
    And nothing runs within 0.5 s

  Scenario: a caller that leaves has its tasks stopped
    Given a platform world of 1 entries and 1 agents
    When one job of 2 tasks of 3000 ms is sent and its caller leaves
    Then nothing runs within 0.5 s

  Scenario: all processes are killed at once
    Given a platform world of 2 entries and 3 agents
    When all nodes are killed and started again
    Then jobs that arrive afterwards are served
    And no promise is broken

  Scenario: a changed configuration is in force at every entry, and never back
    Given a platform world of 2 entries and 1 agents
    When the configuration gets a route /late/
    Then every entry knows /late/ within 2 s
    When the store forgets its history and the configuration drops the route
    Then no entry knows /late/ after 2 s

  # The store is the usual way to nodes and configuration; peers are the other one.
  Scenario: an entry that starts while the store is down learns all from its peers
    Given a platform world of 2 entries and 2 agents
    When the store goes down and entry 1 is killed and started again
    Then entry 1 is ready within 5 s
