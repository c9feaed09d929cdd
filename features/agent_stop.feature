Feature: Draining and stopping an agent
  A planned stop interrupts no running task, and the agent accepts no new ones.

  Background:
    Given an agent fixture with entry "a"
    And an agent with a runner of 1 slots that blocks its tasks, listed by "a"
    When agent entry "a" starts tasks 0,1,2 of job "j"
    And the agent runner has started 1 tasks

  Scenario Outline: desired state <desired_state> drains the agent, started ends the drain
    When agent entry "a" announces desired state <desired_state>
    Then agent entry "a" receives a status with draining = True
    And agent entry "a" receives outcome NOT_STARTED for tasks 1,2 of job "j" with value draining
    When agent entry "a" starts tasks 5 of job "j"
    Then agent entry "a" receives a refusal of tasks 5 because of draining
    When the agent runner unblocks its tasks
    Then agent entry "a" receives outcome DONE for tasks 0 of job "j"
    When agent entry "a" announces desired state started
    Then agent entry "a" receives a status with draining = False
    When agent entry "a" starts tasks 5 of job "j"
    Then agent entry "a" receives outcome DONE for tasks 0,5 of job "j"

    Examples:
      | desired_state |
      | draining      |
      | stopped       |

  Scenario: an agent drains as long as one linked entry announces that it should
    # Entries may announce different desired states for a while; the agent must not change its state
    # with each message.
    Given an agent link to another entry "b"
    When agent entry "a" announces desired state draining
    Then agent entry "a" receives a status with draining = True
    When agent entry "b" announces desired state started
    Then the agent is draining
    When the link of agent entry "a" is cut and reconnects are refused
    Then agent entry "b" receives a status with draining = False

  Scenario: a stop hands back queued tasks and delivers the results of running ones
    When the agent is told to stop
    Then agent entry "a" receives a status with draining = True
    And agent entry "a" receives outcome NOT_STARTED for tasks 1,2 of job "j" with value draining
    And the agent has not stopped
    When the agent runner unblocks its tasks
    Then agent entry "a" receives outcome DONE for tasks 0 of job "j"
    And the agent stops

  Scenario: a stop waits until the owner of a result has reconnected and fetched it
    When the link of agent entry "a" is cut and reconnects are refused
    And the agent is told to stop
    And the agent runner unblocks its tasks
    And the agent has finished its tasks
    Then the agent has not stopped
    When agent entry "a" accepts a reconnect
    Then the agent has not stopped
    When agent entry "a" fences the shard at epoch 1
    And agent entry "a" fetches the results of job "j"
    Then agent entry "a" receives outcome DONE for tasks 0 of job "j"
    And the agent stops

  Scenario: a stop waits for a hanging runner no longer than the drain limit
    Given the agent has a drain limit of 100 ms
    When the agent is told to stop
    Then agent entry "a" receives outcome LOST for tasks 0 of job "j" with value the agent stopped
    And the agent stops
