Feature: Leases at the runner beside an agent
  A start order carries a lease that covers all that runs there, like a renewal.

  # The task of a lost entry would run on beside its caller's second attempt.
  Scenario: nothing is started while the lease is withheld
    Given an agent whose runner runs a task of entry e and confirms no stop
    When entry e is lost for longer than a stop may take
    And entry f orders a task
    Then the runner gets no start order for it

  Scenario: a runner that falls silent is lost only after the lease of the last start order
    Given an agent whose runner runs a task of entry e and confirms no stop
    Then its runs may go on for the lease of its last start order
