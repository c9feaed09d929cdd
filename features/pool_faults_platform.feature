Feature: Faults of the store and of a runner during a load
  Three entries and three agents run as processes; callers resend lost jobs.

  Scenario Outline: faults of the store and of a runner
    Given a platform deployment of 3 entries and 3 agents
    When 60 jobs of 3 tasks of 100 ms arrive within 4 s, and after 1 s <fault>
    Then at least <share>% of the jobs are completed
    And no invariant is violated
    And nearly all later jobs are completed

    Examples:
      | fault                            | share |
      | the store is down for 3 s        | 99    |
      | the store is silent for 3 s      | 99    |
      | the runner of agent-0 restarts   | 90    |
      | the runner of agent-0 is silent for 2 s  | 85 |
      | the runner of agent-0 is failing for 2 s | 85 |
      | the runner of agent-0 is stalled for 2 s | 85 |
