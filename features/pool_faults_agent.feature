Feature: Faults of an agent during a load
  Three entries and three agents run as processes; callers resend lost jobs.

  Scenario Outline: faults of an agent
    Given a platform deployment of 3 entries and 3 agents
    When 60 jobs of 3 tasks of 100 ms arrive within 4 s, and after 1 s <fault>
    Then at least <share>% of the jobs are completed
    And no invariant is violated
    And nearly all later jobs are completed

    Examples:
      | fault                            | share |
      | agent-0 is killed                | 90    |
      | agent-0 is paused for 2 s        | 90    |
      | agent-0 is terminated            | 95    |
      | agent-0 can't be heard for 2 s   | 90    |
      | agent-0 hears nothing for 2 s    | 90    |
      | agent-0 has its links reset      | 95    |
