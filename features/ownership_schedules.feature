Feature: Random schedules of faults
  The real decisions of ownership, with the agents' ledgers and the owner's reports, under
  random schedules of lost, late and repeated messages, pauses, restarts and cuts. No task is
  started twice, and what was answered as not run never started.

  Scenario: no schedule starts a task twice
    When the ownership schedules run with every rule in force
    Then the ownership schedules find no fault

  Scenario Outline: the schedules find a double start without the rule on <rule>
    When the ownership schedules run without the rule on <rule>
    Then the ownership schedules find a double start

    Examples:
      | rule                                        |
      | listing agents before their first use       |
      | clock skew in the id horizon                |
      | asking every peer of the owner              |
      | checking the lease and the epoch of a start |
      | a higher epoch after shards were given up   |
