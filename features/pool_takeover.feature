Feature: Takeover from a failed scheduling entry
  When the scheduling entry is killed, paused or cut off from the network, also in one direction
  only, another entry soon places the waiting tasks, whether or not the store is available.

  Scenario: time until another entry places tasks, for each fault
    When the takeover tool injects each fault into the scheduling entry 1 time
    Then every takeover took at most 1000 ms, and the median at most 500 ms
    And no task had two concurrent runs during the takeovers
