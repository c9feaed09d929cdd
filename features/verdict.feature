Feature: Verdict of a test run

  # Guards against a known failure that passes unnoticed and a flaky one that hides other failures.
  Scenario Outline: known and flaky failures in the verdict
    Given the scenarios ended as "a:passed b:failed"
    When the verdict has "<red>" as known failures and "<flaky>" as flaky
    Then the verdict's problems are "<problems>"

    Examples:
      | red | flaky | problems                               |
      |     |       | failed: b                              |
      | b   |       |                                        |
      |     | b     |                                        |
      |     | a b   |                                        |
      | a b |       | listed in KNOWN-RED.txt but passes: a  |
      | b c |       | listed in KNOWN-RED.txt but not run: c |
      | b   | c     | listed in KNOWN-RED.txt but not run: c |
