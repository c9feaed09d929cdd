Feature: Error kinds
  Every error kind has a response that says whether the job may have run.

  Scenario: every error kind has a response
    Then every error kind has a response with a status between 400 and 599

  Scenario: the response for a job that may have run never says not run
    Then the error kinds of jobs with a started task say may have run
