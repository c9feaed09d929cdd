Feature: Links between an agent and the entries
  A lost link loses no result and starts no task twice.

  Background:
    Given an agent fixture with entry "a"

  Scenario: the report on a fence names the started and the finished tasks
    Given an agent with a runner of 1 slots that blocks its tasks, listed by "a"
    When agent entry "a" starts tasks 0,1 of job "j"
    And the agent runner has started 1 tasks
    And agent entry "a" fences the shard at epoch 1
    Then agent entry "a" receives a fence report at epoch 1 with started 0,1 and finished none of job "j"
    When the agent runner unblocks its tasks
    And agent entry "a" receives outcome DONE for tasks 0,1 of job "j"
    And agent entry "a" fences the shard at epoch 2
    Then agent entry "a" receives a fence report at epoch 2 with started 0,1 and finished 0,1 of job "j"

  Scenario: after a takeover queued tasks are dropped and results go to the new owner
    Given an agent with a runner of 1 slots that blocks its tasks, listed by "a"
    And an agent link to another entry "b"
    When agent entry "a" starts tasks 0,1 of job "j"
    And the agent runner has started 1 tasks
    And agent entry "b" fences the shard at epoch 2
    Then agent entry "b" receives a fence report at epoch 2 with started 0 and finished none of job "j"
    When the agent runner unblocks its tasks
    Then agent entry "b" receives outcome DONE for tasks 0 of job "j"
    And the agent runner was called 1 times
    When agent entry "a" sends a start with epoch = 1 for tasks 1 of job "j"
    Then agent entry "a" receives a refusal of tasks 1 because of stale_epoch
    When agent entry "a" fences the shard at epoch 1
    Then agent entry "a" receives a fence report at epoch 2 with started none and finished none of job "j"
    When agent entry "b" sends a start with epoch = 2 for tasks 1 of job "j"
    Then agent entry "b" receives outcome DONE for tasks 0,1 of job "j"

  Scenario: a start for an earlier incarnation of the agent is refused
    Given an agent with an announced runner, listed by "a"
    When agent entry "a" sends a start with incarnation = "earlier" for tasks 0 of job "j"
    Then agent entry "a" receives a refusal of tasks 0 because of wrong_incarnation
    And the agent runner was called 0 times

  Scenario: an agent that is not listed in the table accepts no tasks
    Given an agent not listed by "a", with runner slots = 8
    When agent entry "a" lists incarnation "earlier"
    And agent entry "a" starts tasks 0 of job "j"
    Then agent entry "a" receives a refusal of tasks 0 because of not_listed
    And agent entry "a" receives a status with ready = False

  Scenario: results are kept while the link is down and can be fetched after the reconnect
    Given an agent with a runner of 1 slots that blocks its tasks, listed by "a"
    When agent entry "a" starts tasks 0,1 of job "j"
    And the agent runner has started 1 tasks
    And the link of agent entry "a" is cut and reconnects are refused
    And the agent runner unblocks its tasks
    And the agent has finished its tasks
    And agent entry "a" accepts a reconnect
    And agent entry "a" fences the shard at epoch 1
    Then agent entry "a" receives a fence report at epoch 1 with started 0,1 and finished 0,1 of job "j"
    And agent entry "a" has received no result of job "j"
    When agent entry "a" fetches the results of job "j"
    Then agent entry "a" receives outcome DONE for tasks 0,1 of job "j"
    And the agent runner was called 2 times

  Scenario: tasks handed back while the link is down get no result item after the reconnect
    # The fence report already shows them as not started, and the owner may have sent them to this
    # agent again. A late NOT_STARTED item would make it start them elsewhere as well.
    Given an agent with a runner of 1 slots that blocks its tasks, listed by "a"
    When agent entry "a" starts tasks 0,1 of job "j"
    And the agent runner has started 1 tasks
    And the link of agent entry "a" is cut and reconnects are refused
    And the agent runner stops announcing itself
    And agent entry "a" accepts a reconnect
    And agent entry "a" fences the shard at epoch 1
    Then agent entry "a" receives a fence report at epoch 1 with started 0 and finished none of job "j"
    And agent entry "a" has received no result of job "j"

  Scenario: fetching the results of an unknown job gets an empty reply
    Given an agent with an announced runner, listed by "a"
    When agent entry "a" fetches the results of job "unknown"
    Then agent entry "a" receives an empty result message

  Scenario: the agent keeps one link to each entry of the roster
    Given an agent with an announced runner, listed by "a"
    When agent entry "b" joins the roster of "a"
    Then agent entry "b" receives a status with listed = True
    When the link of agent entry "a" is cut
    Then agent entry "a" has received 2 hellos
    And agent entry "b" has received 1 hellos
    And the agent has links to "a,b"

  Scenario: a link is closed when another entry than the expected one answers
    # A load balancer may route the connection to an entry that already has a link.
    Given an agent with an announced runner, listed by "a"
    When the roster of "a" names entry "ghost" at the address of "a"
    Then the agent counts 1 link failure at the protocol step
    And the agent has links to "a"

  Scenario: two connections that a load balancer routes to the same entry leave one link
    # Messages on two links are not ordered: a start on the older link could be handled after a
    # fence on the newer one.
    Given an agent with an announced runner, listed by "a"
    And an agent link to another entry "b"
    When the link of agent entry "b" is cut and reconnects are refused
    And agent entry "a" delays its handshakes until two connections are open
    And the link of agent entry "a" is cut
    Then agent entry "a" keeps one link
    And the agent counts 1 link failure at the protocol step

  Scenario: the agent reconnects when an entry sends no heartbeats
    Given an agent not listed by "a", with lease heartbeat_limit_ms = 100
    Then agent entry "a" has received 2 hellos

  Scenario: the agent sends heartbeats
    Given an agent not listed by "a", with lease heartbeat_ms = 20
    Then agent entry "a" has received 4 statuses

  Scenario Outline: an invalid message closes only the link it came on: <case>
    Given an agent with an announced runner, listed by "a"
    When agent entry "a" sends an invalid frame: <case>
    Then agent entry "a" has received 2 hellos
    And agent entry "a" receives a status with ready = True

    Examples:
      | case                           |
      | bytes that can't be decoded    |
      | a message type for entries     |
      | a start with an invalid field  |

  Scenario: results that are ready at the same time share messages
    Given an agent with the null runner, listed by "a"
    When agent entry "a" starts tasks 0,1,2,3,4,5,6,7,8,9,10,11,12,13,14,15 of job "j"
    Then agent entry "a" receives 16 results of job "j" in fewer than 9 messages

  Scenario: results too large for one message are sent in several
    # The entry closes the link at a frame above the size limit; the agent would send the same frame
    # again after each reconnect.
    Then an agent link sends 8 results of 3000000 bytes in frames below the limit

  Scenario: SIGTERM stops an idle agent
    Then an agent process exits on SIGTERM
