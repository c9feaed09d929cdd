Feature: Links of an agent to the entries
  A broken link loses no result and starts nothing twice.

  Background:
    Given an agent world with entry "a"

  Scenario: a fence reports what was started and finished
    Given an agent with a runner of 1 slots that holds its tasks, listed by "a"
    When agent entry "a" starts tasks 0,1 of job "j"
    And the agent runner has started 1 tasks
    And agent entry "a" fences the shard at epoch 1
    Then agent entry "a" receives a report at epoch 1 with started 0,1 and finished none of job "j"
    When the agent runner lets its tasks end
    And agent entry "a" receives outcome DONE for tasks 0,1 of job "j"
    And agent entry "a" fences the shard at epoch 2
    Then agent entry "a" receives a report at epoch 2 with started 0,1 and finished 0,1 of job "j"

  Scenario: a new owner takes over: queued tasks are dropped, results of running ones go to it
    Given an agent with a runner of 1 slots that holds its tasks, listed by "a"
    And an agent link to another entry "b"
    When agent entry "a" starts tasks 0,1 of job "j"
    And the agent runner has started 1 tasks
    And agent entry "b" fences the shard at epoch 2
    Then agent entry "b" receives a report at epoch 2 with started 0 and finished none of job "j"
    When the agent runner lets its tasks end
    Then agent entry "b" receives outcome DONE for tasks 0 of job "j"
    And the agent runner was asked 1 times
    When agent entry "a" starts with epoch = 1 the tasks 1 of job "j"
    Then agent entry "a" receives a refusal of tasks 1 because of stale_epoch
    When agent entry "a" fences the shard at epoch 1
    Then agent entry "a" receives a report at epoch 2 with started none and finished none of job "j"
    When agent entry "b" starts with epoch = 2 the tasks 1 of job "j"
    Then agent entry "b" receives outcome DONE for tasks 0,1 of job "j"

  Scenario: a start for an earlier life of the agent is refused
    Given an agent with an announced runner, listed by "a"
    When agent entry "a" starts with incarnation = "earlier" the tasks 0 of job "j"
    Then agent entry "a" receives a refusal of tasks 0 because of wrong_incarnation
    And the agent runner was asked 0 times

  Scenario: an agent that the table does not list takes no work
    Given an agent that "a" does not list, with runner slots = 8
    When agent entry "a" lists incarnation "earlier"
    And agent entry "a" starts tasks 0 of job "j"
    Then agent entry "a" receives a refusal of tasks 0 because of not_listed
    And agent entry "a" receives a status with ready = False

  Scenario: results are kept while the link is lost and fetched when it is back
    Given an agent with a runner of 1 slots that holds its tasks, listed by "a"
    When agent entry "a" starts tasks 0,1 of job "j"
    And the agent runner has started 1 tasks
    And the link of agent entry "a" is lost and refused
    And the agent runner lets its tasks end
    And the agent has finished its tasks
    And agent entry "a" is back
    And agent entry "a" fences the shard at epoch 1
    Then agent entry "a" receives a report at epoch 1 with started 0,1 and finished 0,1 of job "j"
    And agent entry "a" has received no result of job "j"
    When agent entry "a" fetches the results of job "j"
    Then agent entry "a" receives outcome DONE for tasks 0,1 of job "j"
    And the agent runner was asked 2 times

  Scenario: tasks handed back while the link is lost are only reported
    # A late item would make the owner start a task elsewhere that it has ordered here again.
    Given an agent with a runner of 1 slots that holds its tasks, listed by "a"
    When agent entry "a" starts tasks 0,1 of job "j"
    And the agent runner has started 1 tasks
    And the link of agent entry "a" is lost and refused
    And the agent runner stops to announce itself
    And agent entry "a" is back
    And agent entry "a" fences the shard at epoch 1
    Then agent entry "a" receives a report at epoch 1 with started 0 and finished none of job "j"
    And agent entry "a" has received no result of job "j"

  Scenario: fetching the results of an unknown job is answered
    Given an agent with an announced runner, listed by "a"
    When agent entry "a" fetches the results of job "unknown"
    Then agent entry "a" receives an empty answer

  Scenario: the agent links to each entry of the roster once
    Given an agent with an announced runner, listed by "a"
    When agent entry "b" joins the roster of "a"
    Then agent entry "b" receives a status with listed = True
    When the link of agent entry "a" is lost
    Then agent entry "a" has received 2 hellos
    And agent entry "b" has received 1 hellos
    And the agent has links to "a,b"

  Scenario: an entry that another one answers for is not used
    # The balancer may lead to an entry that has a link already.
    Given an agent with an announced runner, listed by "a"
    When the roster of "a" names entry "ghost" at the address of "a"
    Then the agent gives up 1 link because of its protocol
    And the agent has links to "a"

  Scenario: a balancer that leads to an entry with a link opens no second one
    # Two links would let a start on the older one overtake a fence on the newer one.
    Given an agent with an announced runner, listed by "a"
    And an agent link to another entry "b"
    When the link of agent entry "b" is lost and refused
    And agent entry "a" waits with its answer until two links are dialled
    And the link of agent entry "a" is lost
    Then agent entry "a" keeps one link
    And the agent gives up 1 link because of its protocol

  Scenario: a link without heartbeats is replaced
    Given an agent that "a" does not list, with lease heartbeat_limit_ms = 100
    Then agent entry "a" has received 2 hellos

  Scenario: heartbeats are sent
    Given an agent that "a" does not list, with lease heartbeat_ms = 20
    Then agent entry "a" has received 4 statuses

  Scenario Outline: a message that can't be handled ends its link only: <case>
    Given an agent with an announced runner, listed by "a"
    When agent entry "a" sends <case>
    Then agent entry "a" has received 2 hellos
    And agent entry "a" receives a status with ready = True

    Examples:
      | case                        |
      | bytes that are no message   |
      | a message for an entry      |
      | a start with a wrong field  |

  Scenario: results that pile up share a message
    Given an agent with the null runner, listed by "a"
    When agent entry "a" starts tasks 0,1,2,3,4,5,6,7,8,9,10,11,12,13,14,15 of job "j"
    Then agent entry "a" receives 16 results of job "j" in fewer than 9 messages

  Scenario: results too large for one message are split
    # A frame above the size limit would end the link, again and again.
    Then an agent link sends 8 results of 3000000 bytes in frames below the limit

  Scenario: SIGTERM ends an agent without work
    Then an agent process that gets SIGTERM ends
