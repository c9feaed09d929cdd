Feature: Explaining a failed request afterwards

  Scenario: the story of one job is put together from the logs of all processes
    Given log files of an entry and an agent about jobs 00000000000000aa and 00000000000000bb
    When the operator asks for the story of 00000000000000aa
    Then the exit status is 0
    And the story says, in this order, "job taken", "task ordered .0.0", "start ordered .0.0", "job ended"
    And the story doesn't mention 00000000000000bb

  Scenario Outline: a wrong question gets one helpful line
    Given log files of an entry and an agent about jobs 00000000000000aa and 00000000000000bb
    When the operator asks for the story of <job> in <file>
    Then the exit status is 2
    And the operator reads one line with <text>

    Examples:
      | job              | file        | text                       |
      | 00000000000000cc | the logs    | no line about job          |
      | 00000000000000aa | missing.log | No such file               |

  # A reader of the output that stops must cost lines, not latency.
  Scenario: a full pipe drops lines and counts them
    Given a log whose reader has stopped
    When 20000 lines are logged as warnings
    Then logging never blocked, and took less than 5 s of processor time
    And each line was written, is waiting or was counted as dropped

  Scenario: lines over the budget are dropped, counted and reported, warnings are not
    Given a log to a file
    When 5000 lines are logged as information
    And 5 lines are logged as warnings
    Then between 700 and 1500 lines of information are in the file
    And 5 warnings are in the file
    And the drops are counted and the next line says how many

  Scenario: the page lists the metrics of the pool dispatcher
    Then docs/metrics.md lists exactly the metrics of the pool dispatcher
