Feature: Faults of the scheduling entry during a load
  Three entries and three agents run as processes; callers resend lost jobs.

  Scenario Outline: faults of the scheduling entry
    Given a platform deployment of 3 entries and 3 agents
    When 60 jobs of 3 tasks of 100 ms arrive within 4 s, and after 1 s <fault>
    Then at least <share>% of the jobs are completed
    And no invariant is violated
    And nearly all later jobs are completed

    Examples:
      | fault                            | share |
      | entry-0 is killed                | 95    |
      | entry-0 is paused for 2 s        | 90    |
      | entry-0 is terminated            | 95    |
      | entry-0 is cut off for 2 s       | 90    |
