Feature: Error kinds
  The table from kind to answer is complete, so that no refusal lacks its answer.

  Scenario: every kind has an answer
    Then every error kind has an answer with a status between 400 and 599

  Scenario: a refusal that may have run is never answered as not run
    Then the kinds of accepted jobs that had a start say may have run
