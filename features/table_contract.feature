Feature: Contract of the transactional table
  The behaviour that shard ownership relies on, tested with the table client against the stand-in.

  Background:
    Given the table with a client "entry-1"

  # If versions restarted, a paused owner could renew a row that was deleted and created again.
  Scenario: the version of a row does not restart after a delete
    When the table row "a" is written, deleted and written again
    Then the table returned version 0 for the delete and a higher version afterwards

  # A partly applied transaction would leave a shard without its fence.
  Scenario Outline: a transaction applies all its writes or none
    Given the table holds the rows "a" and "b"
    When the table client writes "a" and "b" after checking <a> "a" and <b> "b"
    Then the table reports conflicts on "<conflicts>"
    And the table shows <values> values

    Examples:
      | a       | b       | conflicts | values |
      | current | current |           | new    |
      | current | stale   | b         | old    |
      | stale   | current | a         | old    |
      | absent  | current | a         | old    |
      | absent  | stale   | a b       | old    |

  # A lost update would make two entries owners of the same shard.
  Scenario: only one of several concurrent compare-and-set writes succeeds per version
    When 8 table clients each add 1 to the row "n" 5 times with compare-and-set
    Then the table row "n" holds 40
    And the table counts 40 writes and as many conflicts as the clients saw

  # An inconsistent read would combine a shard's owner with a lease from another time.
  Scenario: a read returns a consistent snapshot
    When a table client reads "x/" while another writes "x/1" and "x/2" together
    Then the table showed equal values of "x/1" and "x/2" in each read

  Scenario: a read returns the named rows and the rows below the prefixes
    Given the table holds the rows "a" and "b/1" and "b/2" and "c"
    Then the table client reads keys "a missing" and prefix "b/" as "a b/1 b/2"

  # With a wrong effect, a lease renewal that may have been applied would count as not applied, or
  # one that was not applied as possibly applied.
  Scenario Outline: the client reports <effect> for a <call> under the fault <mode>
    Given the table fault <mode>
    When the table client makes a <call>
    Then the table client reports <effect>
    And the table shows the write as <applied>

    Examples:
      | mode       | call  | effect      | applied |
      | none       | read  | success     | absent  |
      | none       | write | success     | applied |
      | down       | read  | unavailable | absent  |
      | down       | write | unavailable | absent  |
      | drop       | read  | unavailable | absent  |
      | drop       | write | unknown     | absent  |
      | slow       | read  | unavailable | absent  |
      | slow       | write | unknown     | absent  |
      | lost_reply | read  | success     | absent  |
      | lost_reply | write | unknown     | applied |
      | stopped    | read  | unavailable | absent  |
      | stopped    | write | unavailable | absent  |

  Scenario: a fault can be limited to one client
    Given the table fault down for the client "entry-1"
    Then the table refuses "entry-1" and serves "entry-2"

  Scenario: a fault can be limited to a share of the requests
    Given the table fault down for half of the requests
    Then the table refuses some of 50 reads and serves the others

  # The platform's table delays requests above its rate limit. A stand-in that refused them instead
  # would hide slow takeovers.
  Scenario Outline: a <call> above the rate limit is delayed
    When 30 table clients make a <call> at once
    Then the table served all of them, no faster than its rate limit

    Examples:
      | call  |
      | read  |
      | write |
