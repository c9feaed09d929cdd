Feature: Runs at one runner, as its agent knows them
  Lists and answers of the runner, lost, late and out of order.

  Background:
    Given the runs at a runner of 4000 and 1000 MB

  Scenario: a run ends once, and its room is free
    When entry e orders task j.0.0 of 4000
    And its start is confirmed
    And the runner lists end 1 of j.0.0 as done
    And the runner lists end 1 of j.0.0 as done
    Then the ends told are j.0.0:done
    And an order of 4000 starts

  Scenario: an order waits for room and is refused after its patience
    When entry e orders task j.0.0 of 4000
    And entry e orders task k.0.0 of 1000
    And 0.2 s pass at the agent
    Then the ends told are k.0.0:no_room

  Scenario: an order that can never fit is refused at once
    When entry e orders task j.0.0 of 5000
    Then the ends told are j.0.0:no_room

  # The platform executes some orders seconds after they were sent.
  Scenario: an order without an answer holds its room until its lease has passed
    When entry e orders task j.0.0 of 4000
    And its start is not answered
    And the runner lists nothing running, asked 0.1 s later
    Then no end is told
    And an order of 1000 doesn't start
    When the runner lists nothing running, asked 0.5 s later
    Then the ends told are j.0.0:unanswered

  Scenario: an order whose stop was confirmed is gone with the next list
    When entry e orders task j.0.0 of 4000
    And its start is not answered
    And the stop of j.0.0 is confirmed
    And the runner lists nothing running, asked 0.01 s later
    And the runner lists nothing running, asked 0.07 s later
    Then the ends told are j.0.0:unanswered

  # sal-stock, faulty-runners --seed 530601195494: run 5 began 27 ms before the end of run 4.
  Scenario: a run that is being stopped is in no list and has not ended
    When entry e orders task j.0.0 of 4000
    And its start is not answered
    And the stop of j.0.0 is confirmed
    And the runner lists nothing running, asked 0.005 s later
    And the runner lists nothing running, asked 0.02 s later
    Then no end is told
    When the runner lists end 1 of j.0.0 as stopped
    Then the ends told are j.0.0:unanswered

  Scenario: a start whose answer was lost goes on when the runner lists it
    When entry e orders task j.0.0 of 4000
    And the runner lists j.0.0 at 10 percent, asked 0.01 s later
    And its start is not answered
    Then no end is told
    And no stop is due

  # A lost renewal left all tasks of a runner unread for half a second; all were taken for stalled.
  Scenario: tasks don't stand still while the runner's lists are missing
    When entry e orders task j.0.0 of 4000
    And its start is confirmed
    And the runner lists j.0.0 at 10 percent, asked 0.1 s later
    And the runner lists j.0.0 at 70 percent, asked 0.9 s later
    Then no stop is due

  Scenario: a task whose progress stands still is stopped
    When entry e orders task j.0.0 of 4000
    And its start is confirmed
    And the runner lists j.0.0 at 10 percent, asked 0.1 s later
    And the runner lists j.0.0 at 10 percent, asked 0.5 s later
    Then a stop of j.0.0 is due
    When the runner lists end 1 of j.0.0 as stopped
    Then the ends told are j.0.0:stalled

  # Another entry may run the caller's second attempt soon.
  Scenario: the tasks of a lost entry are stopped, and the lease is withheld until they are
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

  Scenario: a resent job's task starts only after the former entry's run has ended
    When entry e orders task j.0.0 of 1000
    And its start is confirmed
    And entry f orders task j.0.0 of 1000
    Then a stop of j.0.0 is due
    And nothing starts
    When the runner lists end 1 of j.0.0 as stopped
    Then task j.0.0 of entry f starts

  Scenario: an entry that reconnects hears of the ends that it missed
    When entry e orders task j.0.0 of 1000
    And its start is confirmed
    And entry e orders task j.0.1 of 1000
    And the runner lists end 1 of j.0.0 as done
    Then entry e resumes with j.0.0 j.0.1 and finds j.0.1 here and j.0.0:done ended

  Scenario: an entry that reconnects without a task has it stopped
    When entry e orders task j.0.0 of 1000
    And its start is confirmed
    Then entry e resumes with k.0.0 and finds j.0.0 here and nothing ended
    And a stop of j.0.0 is due

  Scenario: a run that two lists in a row don't show has ended unseen
    When entry e orders task j.0.0 of 1000
    And its start is confirmed
    And the runner lists nothing running, asked 0.1 s later
    Then no end is told
    When the runner lists nothing running, asked 0.2 s later
    Then the ends told are j.0.0:lost

  Scenario: runs that nobody here ordered are found
    When the runner lists x.0.0 at 10 percent, asked 0.1 s later
    Then the unknown runs are x.0.0

  Scenario: a new incarnation of the runner holds nothing and counts from 1
    When entry e orders task j.0.0 of 1000
    And its start is confirmed
    And the runner lists end 7 of y.0.0 as done
    And the runner is replaced
    Then the ends told are j.0.0:lost
    When entry e orders task j.0.0 of 1000
    And its start is confirmed
    And the runner lists end 1 of j.0.0 as done
    Then the ends told are j.0.0:lost j.0.0:done

  # A runner that turned seven times slow kept its tasks until their jobs were worthless.
  Scenario: tasks of a slow runner are moved, each of them once
    When entry e orders tasks a.0.0 b.0.0 c.0.0 that may move, and d.0.0 that may not
    And all progress to 4 percent within 0.25 s
    Then stops of a.0.0 b.0.0 c.0.0 are due

  Scenario: one task with a wrong estimate doesn't make its runner slow
    When entry e orders tasks a.0.0 b.0.0 c.0.0 that may move, and d.0.0 that may not
    And a.0.0 progresses to 4 percent and the others to 50 percent within 0.25 s
    Then no stop is due
