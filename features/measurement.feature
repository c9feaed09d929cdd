Feature: Measurement tool
  Its own arithmetic decides whether a target is met, so errors in it would hide faults.

  Scenario Outline: a line is fitted through measured points
    When the measurement fits a line through "<points>"
    Then the measurement's line has slope <slope>, intercept <intercept> and residual <residual>

    Examples:
      | points            | slope | intercept | residual |
      | 0,1 10,21 20,41   | 2     | 1         | 0        |
      | 0,0 1,3 2,0       | 0     | 1         | 2        |

  # Two points always lie on a line, so their residual would claim an exact fit.
  Scenario: a line through two points is refused
    Then the measurement refuses to fit a line through "0,0 1,1"

  # A restarted process counts from 0 again; a negative growth would hide wasted messages.
  Scenario Outline: counters are compared across a restart
    When the measurement reads a counter as <before> and then as <after>
    Then the measurement counts a growth of <growth>

    Examples:
      | before | after | growth |
      | 5      | 12    | 7      |
      | 5      | 2     | 2      |
      | 5      | 5     | 0      |

  Scenario: gaps and resubmissions
    Then the measurement's longest gap between answers at "1 4 2 9" seconds is 5 seconds
    And the measurement's slowest resubmission of jobs broken at 3 and ended at "4 8" seconds is 5 seconds

  # Failed jobs end early, so counting them would improve the figures.
  Scenario: ratios are taken over complete jobs only
    When the measurement sums up complete jobs of 100 ms that took "100 110 300" ms
    And the measurement sums up a failed job that took 1 ms
    Then the measurement's response over ideal is 1.1 at p50 and 3 at most

  # The model tells what a load allows at best, so its queue must not lose or add work.
  Scenario Outline: one queue without overhead
    Then the measurement's model of jobs "<jobs>" on <slots> slots has <most> over ideal at most

    Examples:
      | jobs          | slots | most |
      | 0:100         | 1     | 1    |
      | 0:100 0:100   | 1     | 2    |
      | 0:100 0:100   | 2     | 1    |
      | 0:100 100:100 | 1     | 1    |
      | 0:50,50,100   | 2     | 1    |

  Scenario: the load that jobs offer
    Then the measurement's jobs "0:500,500 1000:1000" offer a load of 0.5 to 2 slots in 2 seconds

  Scenario Outline: guarantees are audited from records and starts
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

  # Names reach the page from a file, and the page must open without a network.
  Scenario: the page compares the runs of a file
    Given the measurement's file of runs "steady <b>", "burst" and "idle"
    When the measurement writes its page
    Then the measurement's page names all runs, has 2 charts and loads nothing

  # Bytes that overtake each other would break the connections that the relay delays.
  Scenario: the relay keeps bytes in order and closes both sides
    Given the measurement's relay in front of an echoing server
    When the measurement sends 200 chunks through the relay and closes
    Then the measurement reads all bytes in order and then the end

  Scenario: the relay resets callers of a server that is gone
    Given the measurement's relay in front of a port without a server
    Then the measurement's caller gets no bytes and the end of the connection

  Scenario Outline: callers follow the owner that answers name
    Given the measurement's callers know owner "<owner>" after an answer
    When the measurement's next attempt ends as <end>
    Then the measurement's callers send the buyer's next job to <next>

    Examples:
      | owner       | end      | next          |
      | 127.0.0.1:9 | complete | the owner     |
      | 127.0.0.1:9 | cut      | the next turn |
      | 127.0.0.1:9 | retry    | the next turn |
