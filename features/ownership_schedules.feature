Feature: Ownership under random schedules of faults
  Runs the production code for ownership, task starts and the agents' ledgers in a simulation,
  under random schedules of lost, late and repeated messages, process pauses, restarts and
  network cuts. No task may start twice, and no job that was answered "not run" may have started.

  Scenario: no schedule violates a guarantee while all rules are enabled
    When the ownership schedules run with all rules enabled
    Then the ownership schedules find no violated guarantee

  # Shows that the schedules can detect the fault that each rule prevents.
  Scenario Outline: a double start is found with this rule disabled: <rule>
    When the ownership schedules run with the rule disabled: <rule>
    Then the ownership schedules find a double start

    Examples:
      | rule                                                |
      | listing an agent's incarnation before its first use |
      | adding the clock skew to the job id horizon         |
      | querying every peer of the owner for its promise    |
      | checking the lease and the epoch before a start     |
      | raising the epoch after shards were relinquished    |
