Feature: Tasks at an agent
  An agent starts each task at most once and reports every outcome to the owning entry.

  Background:
    Given an agent world with entry "a"

  Scenario: a started task returns its result
    Given an agent with an announced runner, listed by "a"
    When agent entry "a" starts tasks 0,1,2 of job "j"
    Then agent entry "a" receives outcome DONE for tasks 0,1,2 of job "j"
    And the agent runner started 3 tasks

  Scenario: a fence reports what was started and finished
    Given an agent with an announced runner, listed by "a"
    When agent entry "a" starts tasks 0,1,2 of job "j"
    And agent entry "a" receives outcome DONE for tasks 0,1,2 of job "j"
    And agent entry "a" fences the shard at epoch 2
    Then agent entry "a" receives a report at epoch 2 with tasks 0,1,2 of job "j" started
