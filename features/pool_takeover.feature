Feature: Silence of the scheduling entry
  Jobs that wait for an entry that is gone, stands still or is cut off, also one way, are soon
  placed by another one, with and without the store.

  Scenario: the scheduling entry has each fault once
    When the takeover tool plays each fault of the scheduling entry 1 time
    Then every takeover took at most 1000 ms, and the median at most 500 ms
    And no task ran twice at the same time during the takeovers
