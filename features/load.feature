Feature: Load generator
  Its results show whether the guarantees hold, so a wrong answer must not count as complete.

  # Otherwise two runs that are compared would differ in their jobs.
  Scenario: the same seed generates the same jobs
    Given the load of 500 jobs at 70% of 88 slots
    Then the load is equal for equal seeds and differs for another seed
    And the load's work is within 10% of 70% of the slots

  Scenario Outline: answers are classified after retries with the same id
    Given the load's entries answer "<answers>"
    When the load submits one job of 2 tasks
    Then the load records the outcome <outcome> after <attempts> submissions of one id
    And the load used the entries in turn

    Examples:
      | answers                      | outcome    | attempts |
      | complete                     | complete   | 1        |
      | cut complete                 | complete   | 2        |
      | queue_full complete          | complete   | 2        |
      | cut queue_full complete      | complete   | 3        |
      | queue_full start_unknown cut complete | complete | 4 |
      | id_expired                   | refused    | 1        |
      | task_failed                  | failed     | 1        |
      | short                        | wrong      | 1        |
      | swapped                      | wrong      | 1        |
      | other_job                    | wrong      | 1        |
      | no_state                     | wrong      | 1        |

  # Guards against giving up at the first broken connection, which would hide lost jobs.
  Scenario: a job that no entry answers is recorded as unanswered
    Given the load's entries answer "cut"
    When the load submits one job of 2 tasks with at most 3 attempts
    Then the load records the outcome unanswered after 3 submissions of one id

  Scenario Outline: the audit compares starts with the outcomes reported to callers
    When the load has a job recorded as <outcome> with <refused> of 2 attempts refused
    And the load's runners counted <starts> starts of its task
    Then the load's audit finds "<finding>"

    Examples:
      | outcome  | refused | starts | finding                |
      | complete | 0       | 1      |                        |
      | complete | 0       | 2      | started_twice          |
      | complete | 0       | 0      | complete_without_start |
      | failed   | 0       | 2      | started_twice          |
      | refused  | 2       | 0      |                        |
      | refused  | 2       | 1      | started_though_not_run |
      | refused  | 1       | 1      | started_before_refusal |
