Feature: Ownership decisions
  Leases, failure detection, promises not to take over, and the rule that decides whether an
  unreported task may start. All are pure functions of the time that is passed in. The lease is
  2 s and the margin 0.2 s.

  Scenario Outline: a lease runs from the time at which its renewal was sent
    Given the ownership lease was renewed by a request sent at <sent> s
    Then the ownership lease is <state> at <now> s

    Examples:
      | sent | now   | state   |
      | 0    | 0     | valid   |
      | 0    | 1.79  | valid   |
      | 0    | 1.8   | expired |
      | 0    | 2.5   | expired |
      | 3    | 4.79  | valid   |

  Scenario: a late reply to an earlier renewal does not shorten the lease
    Given the ownership lease was renewed by a request sent at 3 s
    And the ownership lease was renewed by a request sent at 1 s
    Then the ownership lease is valid at 4.7 s

  Scenario: a dropped lease expires immediately
    Given the ownership lease was renewed by a request sent at 3 s
    When the ownership lease is dropped
    Then the ownership lease is expired at 3 s

  Scenario Outline: an owner is suspected if its row is unchanged for the lease plus the margin
    Given the ownership rows read at 0 s name owner "b" with sequence 1
    And the ownership rows read at 1 s name owner "b" with sequence <sequence>
    And the ownership rows read at 2 s name owner "b" with sequence <sequence>
    And the ownership rows read at <now> s name owner "b" with sequence <sequence>
    Then the ownership plan of "a" at <now> s acquires <plan>

    Examples: sequence none means a deleted row, and the time runs from when it was found deleted
      | sequence | now  | plan             |
      | 1        | 2.19 | nothing          |
      | 1        | 2.2  | epoch 5 (forced) |
      | 2        | 3.19 | nothing          |
      | 2        | 3.2  | epoch 5 (forced) |
      | none     | 3.19 | nothing          |
      | none     | 3.2  | epoch 5 (forced) |

  Scenario: after a gap between snapshots, failure detection starts anew
    Given the ownership rows read at 0 s name owner "b" with sequence 1
    And the ownership rows read at 5 s name owner "b" with sequence 1
    Then the ownership plan of "a" at 5 s acquires nothing
    And the ownership plan of "a" at 7.1 s acquires nothing
    And the ownership plan of "a" at 7.2 s acquires epoch 5 (forced)

  Scenario Outline: a shard without an owner is acquired without forcing a takeover
    Given the ownership shard row read at 0 s is <row>
    Then the ownership plan of "a" at 0 s acquires <plan>

    Examples:
      | row                 | plan                 |
      | absent              | epoch 1 (not forced) |
      | released at epoch 4 | epoch 5 (not forced) |

  Scenario Outline: an entry that is not active acquires no shard
    Given the ownership shard row read at 0 s is released at epoch 4
    And the ownership entry "a" is <state>
    Then the ownership plan of "a" at 0 s acquires nothing

    Examples:
      | state    |
      | stopping |
      | fenced   |

  Scenario: a restarted entry takes over its earlier incarnation's shards only once it is suspected
    Given the ownership rows read at 0 s name owner "a" of incarnation "old"
    Then the ownership plan of "a" at 2.1 s acquires nothing
    And the ownership plan of "a" at 2.2 s acquires epoch 5 (forced)

  Scenario Outline: a promise lasts for the requested duration plus the margin
    Given the ownership promise to "b" for <duration> s is requested at 1 s
    Then the ownership promise to "b" queried at <now> s has <left> s left

    Examples: the duration of a promise is limited to one lease
      | duration | now | left |
      | 2        | 1   | 2.2  |
      | 2        | 3   | 0.2  |
      | 2        | 3.2 | 0    |
      | 1        | 2.2 | 0    |
      | 9        | 3.2 | 0    |

  Scenario Outline: a query that finds no promise denies new ones for the lease plus the margin
    Given the ownership promise to "b" was queried at 1 s
    When the ownership promise to "<owner>" for 2 s is requested at <now> s
    Then the ownership promise is <answer>

    Examples:
      | owner | now  | answer  |
      | b     | 1    | denied  |
      | b     | 3.19 | denied  |
      | b     | 3.2  | granted |
      | c     | 1    | granted |

  Scenario: a query that finds a promise does not deny later ones
    Given the ownership promise to "b" for 2 s is requested at 1 s
    And the ownership promise to "b" was queried at 2 s
    When the ownership promise to "b" for 2 s is requested at 2 s
    Then the ownership promise is granted

  Scenario Outline: a lease is extended only while it is valid and if every peer promises
    Given the ownership lease was renewed by a request sent at 0 s
    When the ownership lease extension sent at <sent> s gets the replies <replies> at <now> s
    Then the ownership lease is <state> at 3 s

    Examples: the peers are p and q; an entry without peers needs no promise
      | sent | now | replies     | state   |
      | 1.5  | 1.6 | p yes,q yes | valid   |
      | 1.5  | 1.6 | p yes,q no  | expired |
      | 1.5  | 1.6 | p yes       | expired |
      | 1.5  | 1.6 | p no,q no   | expired |
      | 1.5  | 1.8 | p yes,q yes | expired |
      | 1.5  | 2.1 | p yes,q yes | expired |

  Scenario Outline: an unreported task starts only if no unreachable agent may have started it
    Given the ownership horizon is 10000 ms and the unreachable agents are <unreachable>
    Then the ownership rule says to <action> an unreported task with id time <id_time> ms

    Examples:
      | unreachable | id_time | action |
      | none        | 9000    | start  |
      | none        | 10001   | start  |
      | x           | 9000    | refuse |
      | x           | 10000   | refuse |
      | x           | 10001   | start  |

  Scenario Outline: a superseded incarnation of an agent stays listed for the retention time
    Given the ownership agent row was superseded by incarnation "new" at 1000 ms
    Then the ownership agent rows at <now> ms with retention 600 ms list incarnations <listed>

    Examples:
      | now  | listed  |
      | 1000 | old,new |
      | 1599 | old,new |
      | 1600 | new     |

  Scenario Outline: a shard is handed over only to an entry that has been registered for 5 s
    Given the ownership rows name owner "a" and entry "b" in each poll from 0 s to <now> s
    Then the ownership handovers of "a" at <now> s are <handovers>

    Examples:
      | now | handovers |
      | 4.9 | none      |
      | 5   | one to b  |

  Scenario Outline: the row of an entry that owns no shard is removed after 10 s without a renewal
    Given the ownership row of entry "b" that owns <owned> is not renewed from 0 s to <now> s
    Then the ownership removals of "a" at <now> s are <removed>

    Examples: a row named by a shard row is kept, since a takeover has to query its peers
      | owned   | now | removed |
      | nothing | 9   | none    |
      | nothing | 10  | b       |
      | a shard | 10  | none    |

  Scenario: a restarted entry's row keeps the peers of its earlier incarnation
    Given the ownership row of "b" had peers "p" under incarnation "one"
    When the ownership row of "b" is replaced by incarnation "two" with peers "q"
    Then the ownership peers of "b" under incarnation "one" are "p"
    And the ownership peers of "b" under incarnation "two" are "q"
    And the ownership peers of "b" under incarnation "three" are ""

  # Guards against two faults. If jobs submitted after an agent ended counted as possibly started
  # there, they would fail as "may have run" while its incarnation stays listed. If an agent that
  # an earlier owner can still reach counted as fenced, it could start a task a second time.
  Scenario Outline: an agent that ended at <ended> ms can't have started jobs submitted later
    Given the ownership agent a is unreachable, ended at <ended> ms with job ids up to <latest> ms
    Then the ownership rule says to <action> an unreported task with id time <id_time> ms
    And the ownership takeover by fencing every agent <takeover>

    Examples: takeover at 100000 ms, heartbeat timeout 3000 ms, clock skew 6000 ms
      | ended | latest | id_time | action | takeover |
      | 0     | 0      | 106000  | refuse | waits    |
      | 0     | 0      | 106001  | start  | waits    |
      | 50000 | 0      | 59000   | refuse | proceeds |
      | 50000 | 0      | 59001   | start  | proceeds |
      | 99000 | 0      | 106000  | refuse | waits    |
      | 99000 | 0      | 106001  | start  | waits    |
      | 99000 | 98500  | 98500   | refuse | waits    |
      | 99000 | 98500  | 98501   | start  | waits    |

  # An entry that takes over finds in this row the peers to query for promises. Without the row it
  # has to fence every listed agent.
  Scenario Outline: the row of an entry that stops with its shards <shards> is <action>
    Given the ownership entry stops with its shards <shards>
    Then the ownership row of the stopped entry is <action>

    Examples:
      | shards       | action  |
      | not released | kept    |
      | all released | deleted |
