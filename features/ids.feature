Feature: Hashes that all entries must agree on
  Entries that compute another shard or another winner would both start a buyer's tasks.

  Scenario Outline: the shard of a buyer
    Then the shard of buyer "<buyer>" among 16 is <shard>

    Examples:
      | buyer         | shard |
      | andina-brands | 9     |
      | salão         | 7     |

  Scenario: the winner of a rendezvous
    Then the rendezvous for key "3" of "entry-1 entry-2 entry-3" is won by "entry-2"
    And the rendezvous for key "3" of "entry-3 entry-1 entry-2" is won by "entry-2"
