Feature: Metrics and log lines
  The number of label values is bounded, and secrets are never logged.

  Scenario: retry reasons beyond the limit are counted as other
    When the metrics count 100 distinct retry reasons
    Then the metrics hold 33 retry reasons and a sum of 100
    And the metrics count a reason of 1000 characters as other

  Scenario: gauges show the last value, and states that are no longer reported become 0
    When the metrics show upstreams "ready: 3, not_ready: 1" and then "ready: 2"
    Then the metrics sample "daisyfall_upstreams" with state "ready" is 2
    And the metrics sample "daisyfall_upstreams" with state "not_ready" is 0

  Scenario: the lease margin is read at each scrape
    When the metrics take the lease margin from a function that returns 1.5 and then -0.5
    Then the metrics show a lease margin of 1.5 and then -0.5

  Scenario: docs/metrics.md lists every metric with its type and labels
    Then the metrics table in docs/metrics.md matches the code

  Scenario: docs/callers.md lists every error kind
    Then the error kinds table in docs/callers.md matches the code

  Scenario Outline: a <form> log line contains its fields and no secret
    Given a log of form "<form>" with the key "a-secret-key-of-an-entry"
    When the log gets a line about job "0190" with every kind of secret
    Then the log has one line with "0190" and "entry-7"
    And the log does not contain "a-secret-key-of-an-entry" or "hunter2"

    Examples:
      | form |
      | text |
      | json |

  Scenario: an unexpected error is logged in one line without the values of variables
    Given a log of form "json" with the key "a-secret-key-of-an-entry"
    When the log gets an error raised where a variable holds "hunter2"
    Then the log has one line with "ZeroDivisionError" and "trace"
    And the log does not contain "a-secret-key-of-an-entry" or "hunter2"
