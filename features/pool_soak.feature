Feature: Fault soak
  The daemons run under a random series of faults with a fixed seed; `make soak` runs more seeds.

  Scenario Outline: no invariant is violated under random faults
    When the soak test runs seed <seed> for <seconds> s
    Then the soak test reports no violated invariant
    And the last line of the soak test contains all statistics

    Examples:
      | seed | seconds |
      | 1    | 8       |
      # Failed once: it terminates an entry that does not listen yet, which then ends by the signal.
      | 27   | 10      |

  Scenario Outline: an invalid argument is reported in one line
    When the soak test is started with <argument>
    Then it exits with status 2 and one line that contains "<text>"

    Examples:
      | argument     | text         |
      | --seed=x     | found 'x'    |
      | --seconds=-1 | and -1       |
