Feature: Draining and stopping an agent
  A planned stop interrupts no task and takes no new ones.

  Background:
    Given an agent world with entry "a"
    And an agent with a runner of 1 slots that holds its tasks, listed by "a"
    When agent entry "a" starts tasks 0,1,2 of job "j"
    And the agent runner has started 1 tasks

  Scenario Outline: the operators' wish <wish> drains the agent, started takes work again
    When agent entry "a" wishes <wish>
    Then agent entry "a" receives a status with draining = True
    And agent entry "a" receives outcome NOT_STARTED for tasks 1,2 of job "j" with value draining
    When agent entry "a" starts tasks 5 of job "j"
    Then agent entry "a" receives a refusal of tasks 5 because of draining
    When the agent runner lets its tasks end
    Then agent entry "a" receives outcome DONE for tasks 0 of job "j"
    When agent entry "a" wishes started
    Then agent entry "a" receives a status with draining = False
    When agent entry "a" starts tasks 5 of job "j"
    Then agent entry "a" receives outcome DONE for tasks 0,5 of job "j"

    Examples:
      | wish     |
      | draining |
      | stopped  |

  Scenario: entries that disagree about the wish for a while don't make the agent change its state
    Given an agent link to another entry "b"
    When agent entry "a" wishes draining
    Then agent entry "a" receives a status with draining = True
    When agent entry "b" wishes started
    Then the agent is draining
    When the link of agent entry "a" is lost and refused
    Then agent entry "b" receives a status with draining = False

  Scenario: SIGTERM hands back what has not started and delivers what runs
    When the agent is told to stop
    Then agent entry "a" receives a status with draining = True
    And agent entry "a" receives outcome NOT_STARTED for tasks 1,2 of job "j" with value draining
    And the agent has not stopped
    When the agent runner lets its tasks end
    Then agent entry "a" receives outcome DONE for tasks 0 of job "j"
    And the agent stops

  Scenario: a stop waits for the owner of a result whose link is lost
    When the link of agent entry "a" is lost and refused
    And the agent is told to stop
    And the agent runner lets its tasks end
    And the agent has finished its tasks
    Then the agent has not stopped
    When agent entry "a" is back
    Then the agent has not stopped
    When agent entry "a" fences the shard at epoch 1
    And agent entry "a" fetches the results of job "j"
    Then agent entry "a" receives outcome DONE for tasks 0 of job "j"
    And the agent stops

  Scenario: a runner that hangs holds up a stop for the drain limit only
    Given the agent has a drain limit of 100 ms
    When the agent is told to stop
    Then agent entry "a" receives outcome LOST for tasks 0 of job "j" with value the agent stopped
    And the agent stops
