Feature: Logs and metrics of the pool dispatcher

  Scenario: the log lines of one job are collected from the logs of all processes
    Given log files of an entry and an agent about jobs 00000000000000aa and 00000000000000bb
    When the operator explains job 00000000000000aa
    Then the exit status is 0
    And the output contains, in this order, "job taken", "tasks ordered", "start not confirmed .0.0", "job ended"
    And the output doesn't contain 00000000000000bb

  Scenario Outline: a job or log file that is not found is reported in one line
    Given log files of an entry and an agent about jobs 00000000000000aa and 00000000000000bb
    When the operator explains job <job> from <file>
    Then the exit status is 2
    And the error is one line that contains <text>

    Examples:
      | job              | file        | text                       |
      | 00000000000000cc | the logs    | no line about job          |
      | 00000000000000aa | missing.log | No such file               |

  # When the reader of the output stops, logging must drop lines rather than block the process.
  Scenario: lines are dropped and counted while the output pipe is full
    Given a log to a pipe that is not read
    When 20000 lines are logged as warnings
    Then logging never blocked, and took less than 5 s of processor time
    And each line was written, is pending or was counted as dropped

  Scenario: lines over the rate limit are dropped, counted and reported, except for warnings
    Given a log to a file
    When 5000 lines are logged as information
    And 5 lines are logged as warnings
    Then between 700 and 1500 information lines are in the file
    And 5 warnings are in the file
    And the dropped lines are counted and the next line states their number

  Scenario: the metrics of the pool dispatcher are documented
    Then docs/metrics.md lists exactly the metrics of the pool dispatcher
