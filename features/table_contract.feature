Feature: Contract of the transactional table
  What the dispatcher relies on for ownership, checked through its client against the stand-in.

  Background:
    Given the table with a client "entry-1"

  # A version that restarts would let a paused owner renew a row that was deleted and made anew.
  Scenario: versions never restart after a delete
    When the table row "a" is written, deleted and written again
    Then the table gave it version 0 for the delete and a higher version afterwards

  # A transaction that is applied in part would leave a shard without its fence.
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

  # A lost update would give two entries the same shard.
  Scenario: one of several concurrent writers wins each version
    When 8 table clients each add 1 to the row "n" 5 times with compare-and-set
    Then the table row "n" holds 40
    And the table counts 40 writes and as many conflicts as the clients saw

  # A torn snapshot would show a shard with an owner from one moment and a lease from another.
  Scenario: a read is one snapshot
    When a table client reads "x/" while another writes "x/1" and "x/2" together
    Then the table showed equal values of "x/1" and "x/2" in each read

  Scenario: a read returns the named rows and the rows below the prefixes
    Given the table holds the rows "a" and "b/1" and "b/2" and "c"
    Then the table client reads keys "a missing" and prefix "b/" as "a b/1 b/2"

  # A wrong effect would turn a renewal that may have happened into one that did not, or back.
  Scenario Outline: what the client reports under a fault
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

  Scenario: a fault can hit a share of the requests
    Given the table fault down for half of the requests
    Then the table refuses some of 50 reads and serves the others

  # The platform's table delays bursts; a stand-in that refused them would hide slow takeovers.
  Scenario Outline: requests above the rate wait
    When 30 table clients make a <call> at once
    Then the table served all of them, no faster than its rate

    Examples:
      | call  |
      | read  |
      | write |
