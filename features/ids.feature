Feature: Hashes that all entries compute alike
  If entries computed different shards or winners, two of them would start a buyer's tasks.

  Scenario Outline: a buyer maps to a fixed shard
    Then the shard of buyer "<buyer>" among 16 is <shard>

    Examples:
      | buyer         | shard |
      | andina-brands | 9     |
      | salão         | 7     |

  Scenario: the rendezvous winner does not depend on the order of the entries
    Then the rendezvous for key "3" of "entry-1 entry-2 entry-3" is won by "entry-2"
    And the rendezvous for key "3" of "entry-3 entry-1 entry-2" is won by "entry-2"
