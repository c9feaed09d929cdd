Feature: Leases of the runs at an agent's runner
  Like a renewal, a start order renews the lease of all runs at the runner.

  # Otherwise the task of a lost entry would run concurrently with the caller's second attempt.
  Scenario: no task is started while the lease is withheld
    Given an agent whose runner runs a task of entry e and confirms no stop
    When entry e is lost and the time-out of the stop passes
    And entry f orders a task
    Then the runner receives no start order for that task

  Scenario: an unresponsive runner counts as lost only after the lease of its last start order
    Given an agent whose runner runs a task of entry e and confirms no stop
    Then the agent assumes that the runs continue for the lease of the last start order

  # A runner may restart under its id. Its end numbers start anew, so an end that was acknowledged
  # with the number of an end before the restart would never be seen, and its task run again.
  Scenario: the ends before a restart of the runner are not acknowledged to the restarted one
    Given an agent whose runner runs a task of entry e and confirms no stop
    When the runner lists the task as end 7
    And the runner restarts under its id
    Then the agent acknowledges no end to the restarted runner
    And no task is started until the runner announces itself
