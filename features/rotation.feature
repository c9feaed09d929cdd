Feature: Readiness of a scheduling entry whose processor is saturated
  It places the tasks of all entries, so its own callers are left to the others for a while.

  # Load: bursts at a small host that schedules. Its callers delayed the callers of all entries.
  Scenario Outline: an entry leaves the rotation and returns to it by the mean lag of its event loop
    Given an entry that <role>
    When its event loop lags by <lags>
    Then it is in the rotation: <states>

    Examples:
      | role                            | lags                                  | states       |
      | schedules                       | 60 ms for 2 s                         | no           |
      | schedules                       | 200 ms for 0.04 s, 0 ms for 2 s       | yes yes      |
      | schedules                       | 60 ms for 2 s, 0 ms for 1 s           | no no        |
      | schedules                       | 60 ms for 2 s, 0 ms for 6 s           | no yes       |
      | schedules                       | 60 ms for 2 s, 20 ms for 6 s          | no no        |
      | schedules                       | 20 ms for 5 s                         | yes          |
      | follows another                 | 60 ms for 2 s                         | yes          |
      | is the only one available       | 60 ms for 2 s                         | yes          |
