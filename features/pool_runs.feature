Feature: An agent's state of the runs at its runner
  Answers and lists of runs that are lost, late or out of order.

  Background:
    Given an agent whose runner has a capacity of 4000 and 1000 MB

  Scenario: the end of a run is reported once and frees its capacity
    When entry e orders task j.0.0 of 4000
    And its start is confirmed
    And the runner lists end 1 of j.0.0 as done
    And the runner lists end 1 of j.0.0 as done
    Then the reported ends are j.0.0:done
    And a new task of 4000 is started

  Scenario: an order that waits for capacity is refused after its queue timeout
    When entry e orders task j.0.0 of 4000
    And entry e orders task k.0.0 of 1000
    And 0.2 s pass at the agent
    Then the reported ends are k.0.0:no_room

  # A scheduling entry that was frozen doesn't know of what another one has placed meanwhile.
  Scenario: an order beyond the limit of tasks of its step on one runner is refused
    When entry e orders tasks j.0.0 and j.0.1 and k.0.0 of 1000, of which 1 of a step may run here
    Then the reported ends are j.0.1:step_limit
    When the runner lists end 1 of j.0.0 as done
    And entry e orders tasks j.0.1 and j.1.0 of 1000, of which 1 of a step may run here
    Then the reported ends are j.0.1:step_limit j.0.0:done

  Scenario: an order that exceeds the runner's total capacity is refused on arrival
    When entry e orders task j.0.0 of 5000
    Then the reported ends are j.0.0:no_room

  # The platform may execute a start order seconds after it was sent.
  Scenario: an unanswered start order uses capacity until its lease has expired
    When entry e orders task j.0.0 of 4000
    And its start is not answered
    And the runner lists nothing running, asked 0.1 s later
    Then no end is reported
    And a new task of 1000 is not started
    When the runner lists nothing running, asked 0.5 s later
    Then no end is reported
    When the runner lists nothing running, asked 0.07 s later
    Then the reported ends are j.0.0:unanswered

  Scenario: an unanswered run has ended when its stop is confirmed and the next lists lack it
    When entry e orders task j.0.0 of 4000
    And its start is not answered
    And the stop of j.0.0 is confirmed
    And the runner lists nothing running, asked 0.01 s later
    And the runner lists nothing running, asked 0.07 s later
    Then the reported ends are j.0.0:unanswered

  # A run that is being stopped is in neither list until it has ended. If it counted as ended, the
  # next run of its task could start before that (sal-stock, faulty-runners --seed 530601195494).
  Scenario: a stopping run that is missing from both lists is not reported as ended
    When entry e orders task j.0.0 of 4000
    And its start is not answered
    And the stop of j.0.0 is confirmed
    And the runner lists nothing running, asked 0.005 s later
    And the runner lists nothing running, asked 0.02 s later
    Then no end is reported
    When the runner lists end 1 of j.0.0 as stopped
    Then the reported ends are j.0.0:unanswered

  # The answer to a long poll may be older than the stop. A run that counted as ended too early was at
  # work twice: its task was placed again up to the longest duration of a stop before its end.
  Scenario: the lists of a long poll from before a stop don't end the stopped run
    When entry e orders task j.0.0 of 4000
    And its start is confirmed
    And 0.2 s pass at the agent
    Then a stop of j.0.0 is due after it was moved
    When the runner lists nothing running, asked 0.1 s ago
    And 0.03 s pass at the agent
    And the runner lists nothing running, asked 0.02 s ago
    Then no end is reported
    When the runner lists end 1 of j.0.0 as stopped
    Then the reported ends are j.0.0:straggling

  Scenario: lists from before the end of an unanswered order's lease don't end its run
    When entry e orders task j.0.0 of 4000
    And its start is not answered
    And the runner lists nothing running, asked 0.01 s later
    And the runner lists nothing running, asked 0.3 s later
    And the stop of j.0.0 is confirmed
    And the runner lists nothing running, asked 0.01 s later
    Then no end is reported
    When the runner lists end 1 of j.0.0 as stopped
    Then the reported ends are j.0.0:unanswered

  Scenario: a run continues if the answer to its start was lost but the runner lists it
    When entry e orders task j.0.0 of 4000
    And the runner lists j.0.0 at 10 percent, asked 0.01 s later
    And its start is not answered
    Then no end is reported
    And no stop is due

  # A lost lease renewal leaves a gap in the lists, which says nothing about the tasks.
  Scenario: a task is not stalled while the runner's lists are missing
    When entry e orders task j.0.0 of 4000
    And its start is confirmed
    And the runner lists j.0.0 at 10 percent, asked 0.1 s later
    And the runner lists j.0.0 at 70 percent, asked 0.9 s later
    Then no stop is due

  Scenario: a task without progress is stopped as stalled
    When entry e orders task j.0.0 of 4000
    And its start is confirmed
    And the runner lists j.0.0 at 10 percent, asked 0.1 s later
    And the runner lists j.0.0 at 10 percent, asked 0.5 s later
    Then a stop of j.0.0 is due
    When the runner lists end 1 of j.0.0 as stopped
    Then the reported ends are j.0.0:stalled

  # Another entry may soon run the caller's second attempt, so the runs must end even if the stops
  # are not confirmed: without a renewal the lease expires and the runner ends them.
  Scenario: the lease is withheld while tasks of a lost entry are not stopped in time
    When entry e orders task j.0.0 of 1000
    And its start is confirmed
    And entry f orders task k.0.0 of 1000
    And entry e is lost
    Then a stop of j.0.0 is due
    And the lease may be renewed
    When 0.2 s pass at the agent
    Then the lease may not be renewed
    When the runner lists end 1 of j.0.0 as stopped
    Then the lease may be renewed

  Scenario: a task of a resent job starts only after its run for the former entry has ended
    When entry e orders task j.0.0 of 1000
    And its start is confirmed
    And entry f orders task j.0.0 of 1000
    Then a stop of j.0.0 is due
    And no task is started
    When the runner lists end 1 of j.0.0 as stopped
    Then task j.0.0 of entry f is started

  Scenario: an entry that reconnects is sent the ends of runs that it missed
    When entry e orders task j.0.0 of 1000
    And its start is confirmed
    And entry e orders task j.0.1 of 1000
    And the runner lists end 1 of j.0.0 as done
    Then entry e reconnects with tasks j.0.0 j.0.1 and is sent j.0.1 as present and j.0.0:done as ended

  Scenario: a run is stopped if its entry reconnects without listing the task
    When entry e orders task j.0.0 of 1000
    And its start is confirmed
    Then entry e reconnects with tasks k.0.0 and is sent j.0.0 as present and nothing as ended
    And a stop of j.0.0 is due

  Scenario: a run that is missing from two successive lists is reported as lost
    When entry e orders task j.0.0 of 1000
    And its start is confirmed
    And the runner lists nothing running, asked 0.1 s later
    Then no end is reported
    When the runner lists nothing running, asked 0.2 s later
    Then the reported ends are j.0.0:lost

  Scenario: listed runs that the agent did not order are detected
    When the runner lists x.0.0 at 10 percent, asked 0.1 s later
    Then the unexpected runs are x.0.0

  Scenario: a new incarnation of the runner has no runs and numbers its ends from 1
    When entry e orders task j.0.0 of 1000
    And its start is confirmed
    And the runner lists end 7 of y.0.0 as done
    And the runner is replaced
    Then the reported ends are j.0.0:lost
    When entry e orders task j.0.0 of 1000
    And its start is confirmed
    And the runner lists end 1 of j.0.0 as done
    Then the reported ends are j.0.0:lost j.0.0:done

  # On a runner that becomes much slower, the tasks would last until their jobs miss their deadlines.
  Scenario: the tasks of a slow runner are stopped so that they are rescheduled, each once
    When entry e orders tasks a.0.0 b.0.0 c.0.0 that may be rescheduled, and d.0.0 that may not
    And all progress to 4 percent within 0.25 s
    Then stops of a.0.0 b.0.0 c.0.0 are due

  Scenario: one task with a wrong estimate doesn't mark its runner as slow
    When entry e orders tasks a.0.0 b.0.0 c.0.0 that may be rescheduled, and d.0.0 that may not
    And a.0.0 progresses to 4 percent and the others to 50 percent within 0.25 s
    Then no stop is due
