Feature: Explanation of placements
  Operators see where the tasks of a job would go now and why; nothing is sent, reserved or queued.

  Scenario Outline: the explanation agrees with the decision that follows, and changes nothing
    Given a pool of 3 explained runners of 4 cores, of which <state>
    And <queued> jobs of 4 cores are queued there before
    When a job of <tasks> tasks of <cpu> cores with label "<label>" is explained
    Then the explanation says <outcome> with reason "<reason>"
    And it counts <obstacles> for a task that doesn't start
    And the scheduler is unchanged and decides the same

    Examples:
      | state               | queued | tasks | cpu | label | outcome | reason     | obstacles                     |
      | all are idle        | 0      | 2     | 1   |       | placed  |            | nothing                       |
      | all are idle        | 0      | 5     | 3   |       | waits   |            | full=3                        |
      | all are idle        | 0      | 1     | 9   |       | refused | impossible | full=3                        |
      | all are idle        | 0      | 1     | 1   | gpu   | refused | impossible | no_label=3                    |
      | all are busy        | 0      | 1     | 1   |       | waits   |            | full=3                        |
      | all are busy        | 40     | 1     | 1   |       | refused | in_vain    | full=3                        |
      | one failed jobs     | 0      | 3     | 4   |       | waits   |            | ejected=1, full=2             |
      | one is closed       | 0      | 3     | 4   |       | waits   |            | closed=1, full=2              |
      | one has no report   | 0      | 3     | 4   |       | waits   |            | full=2, not_reported=1        |

  Scenario: an operator asks entries about jobs
    Given a platform deployment of 2 entries and 2 agents
    When an operator explains "--count=20 --ms=200" at both entries
    Then one entry explains it, and the other names it with its address
    And 16 tasks would start and 4 would wait as "2 full"
    When an operator explains a job of 150 ms for host and path at the scheduling entry
    Then the text says that 1 tasks are blocked, and that it is refused as out_of_time
    And no task was started
