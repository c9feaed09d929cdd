Feature: Measurement tool
  Its arithmetic decides whether a target is met, so an error in it would hide faults.

  Scenario Outline: a line is fitted to measured points
    When the measurement fits a line to "<points>"
    Then the measurement's line has slope <slope>, intercept <intercept> and residual <residual>

    Examples:
      | points            | slope | intercept | residual |
      | 0,1 10,21 20,41   | 2     | 1         | 0        |
      | 0,0 1,3 2,0       | 0     | 1         | 2        |

  # Two points always lie on a line, so their residual would claim an exact fit.
  Scenario: fitting a line to two points is rejected
    Then the measurement refuses to fit a line to "0,0 1,1"

  # A restarted process counts from 0 again; a negative increase would hide wasted messages.
  Scenario Outline: the increase of a counter is correct across a restart
    When the measurement reads a counter as <before> and then as <after>
    Then the measurement counts an increase of <increase>

    Examples:
      | before | after | increase |
      | 5      | 12    | 7        |
      | 5      | 2     | 2        |
      | 5      | 5     | 0        |

  Scenario: the longest gap between answers and the slowest resubmission
    Then the measurement's longest gap between answers at "1 4 2 9" seconds is 5 seconds
    And the measurement's slowest resubmission of jobs broken at 3 and ended at "4 8" seconds is 5 seconds

  # Failed jobs end early, so counting them would improve the figures.
  Scenario: ratios are taken over complete jobs only
    When the measurement summarizes complete jobs of 100 ms that took "100 110 300" ms
    And the measurement summarizes a failed job that took 1 ms
    Then the measurement's response over ideal is 1.1 at p50 and 3 at most

  # The model gives the best ratios that a load allows, so its queue must not lose or add work.
  Scenario Outline: the model simulates a single queue without overhead
    Then the measurement's model of jobs "<jobs>" on <slots> slots has <most> over ideal at most

    Examples:
      | jobs          | slots | most |
      | 0:100         | 1     | 1    |
      | 0:100 0:100   | 1     | 2    |
      | 0:100 0:100   | 2     | 1    |
      | 0:100 100:100 | 1     | 1    |
      | 0:50,50,100   | 2     | 1    |

  Scenario: the offered load of a list of jobs
    Then the measurement's jobs "0:500,500 1000:1000" offer a load of 0.5 to 2 slots in 2 seconds

  Scenario Outline: the audit finds violated guarantees from job records and starts
    When the measurement has a job recorded as <outcome> whose task started <starts> times
    Then the measurement's audit counts <found>

    Examples:
      | outcome  | starts | found           |
      | complete | 1      | nothing         |
      | complete | 2      | started_twice   |
      | complete | 0      | partial_answers |
      | wrong    | 1      | partial_answers |
      | refused  | 0      | nothing         |
      | refused  | 1      | not_run_but_ran |

  # Names come from a file and must be escaped, and the page must open without a network.
  Scenario: the report page compares the runs of a file
    Given the measurement's file of runs "steady <b>", "burst" and "idle"
    When the measurement writes its page
    Then the measurement's page names all runs, has 2 charts and loads nothing

  # Reordered bytes would corrupt the connections that the relay delays.
  Scenario: the relay keeps bytes in order and closes both sides
    Given the measurement's relay in front of an echoing server
    When the measurement sends 200 chunks through the relay and closes
    Then the measurement reads all bytes in order and then the end

  Scenario: the relay ends connections to a port without a server
    Given the measurement's relay in front of a port without a server
    Then the measurement's caller gets no bytes and the end of the connection

  Scenario Outline: callers send jobs to the last known owner until an attempt fails
    Given the measurement's callers know owner "<owner>" after an answer
    When the measurement's next attempt ends as <end>
    Then the measurement's callers send the buyer's next job to <next>

    Examples:
      | owner       | end      | next          |
      | 127.0.0.1:9 | complete | the owner     |
      | 127.0.0.1:9 | cut      | the next turn |
      | 127.0.0.1:9 | retry    | the next turn |
