Feature: Decisions on ownership
  Leases, silence, promises and the rule on unreported tasks, as pure functions of a clock
  reading. The lease is 2 s and the margin 0.2 s.

  Scenario Outline: a lease counts from the moment its renewal was sent
    Given the ownership lease was renewed at <sent> s
    Then the ownership lease is <state> at <now> s

    Examples:
      | sent | now   | state   |
      | 0    | 0     | valid   |
      | 0    | 1.79  | valid   |
      | 0    | 1.8   | expired |
      | 0    | 2.5   | expired |
      | 3    | 4.79  | valid   |

  Scenario: the reply to an older renewal does not shorten a lease
    Given the ownership lease was renewed at 3 s
    And the ownership lease was renewed at 1 s
    Then the ownership lease is valid at 4.7 s

  Scenario: a dropped lease is over at once
    Given the ownership lease was renewed at 3 s
    When the ownership lease is dropped
    Then the ownership lease is expired at 3 s

  Scenario Outline: an owner counts as silent after lease and margin without a change of its row
    Given the ownership rows name owner "b" with sequence 1 at 0 s
    And the ownership rows name owner "b" with sequence <sequence> at 1 s
    And the ownership rows name owner "b" with sequence <sequence> at 2 s
    And the ownership rows name owner "b" with sequence <sequence> at <now> s
    Then the ownership plan of "a" at <now> s takes <plan>

    Examples: a missing row of the owner (sequence none) counts from its disappearance
      | sequence | now  | plan              |
      | 1        | 2.19 | nothing           |
      | 1        | 2.2  | epoch 5 by force  |
      | 2        | 3.19 | nothing           |
      | 2        | 3.2  | epoch 5 by force  |
      | none     | 3.19 | nothing           |
      | none     | 3.2  | epoch 5 by force  |

  Scenario: after a gap in observation nobody counts as silent
    Given the ownership rows name owner "b" with sequence 1 at 0 s
    And the ownership rows name owner "b" with sequence 1 at 5 s
    Then the ownership plan of "a" at 5 s takes nothing
    And the ownership plan of "a" at 7.1 s takes nothing
    And the ownership plan of "a" at 7.2 s takes epoch 5 by force

  Scenario Outline: a shard without an owner is taken without force
    Given the ownership shard row is <row> at 0 s
    Then the ownership plan of "a" at 0 s takes <plan>

    Examples:
      | row                 | plan                  |
      | absent              | epoch 1 without force |
      | released at epoch 4 | epoch 5 without force |

  Scenario Outline: an entry that is not active takes nothing
    Given the ownership shard row is released at epoch 4 at 0 s
    And the ownership entry "a" is <state>
    Then the ownership plan of "a" at 0 s takes nothing

    Examples:
      | state    |
      | stopping |
      | fenced   |

  Scenario: the shards of the former incarnation of the same id wait for its silence
    Given the ownership rows name owner "a" of incarnation "old" at 0 s
    Then the ownership plan of "a" at 2.1 s takes nothing
    And the ownership plan of "a" at 2.2 s takes epoch 5 by force

  Scenario Outline: a promise covers the holder for its duration and the margin
    Given the ownership promise to "b" of <duration> s is asked at 1 s
    Then the ownership query about "b" at <now> s returns <left> s

    Examples: no promise lasts longer than one lease
      | duration | now | left |
      | 2        | 1   | 2.2  |
      | 2        | 3   | 0.2  |
      | 2        | 3.2 | 0    |
      | 1        | 2.2 | 0    |
      | 9        | 3.2 | 0    |

  Scenario Outline: after a query that found none, promises are denied for lease and margin
    Given the ownership query about "b" was answered at 1 s
    When the ownership promise to "<holder>" of 2 s is asked at <now> s
    Then the ownership promise is <answer>

    Examples:
      | holder | now  | answer  |
      | b      | 1    | denied  |
      | b      | 3.19 | denied  |
      | b      | 3.2  | granted |
      | c      | 1    | granted |

  Scenario: a query that finds a promise does not deny the next one
    Given the ownership promise to "b" of 2 s is asked at 1 s
    And the ownership query about "b" was answered at 2 s
    When the ownership promise to "b" of 2 s is asked at 2 s
    Then the ownership promise is granted

  Scenario Outline: a lease is extended only by all peers and only while it is valid
    Given the ownership lease was renewed at 0 s
    When the ownership lease is extended at <sent> s with answers <answers> at <now> s
    Then the ownership lease is <state> at 3 s

    Examples: the peers are p and q; without peers nothing has to be asked
      | sent | now | answers   | state   |
      | 1.5  | 1.6 | p yes,q yes | valid   |
      | 1.5  | 1.6 | p yes,q no  | expired |
      | 1.5  | 1.6 | p yes       | expired |
      | 1.5  | 1.6 | p no,q no   | expired |
      | 1.5  | 1.8 | p yes,q yes | expired |
      | 1.5  | 2.1 | p yes,q yes | expired |

  Scenario Outline: an unreported task starts only if nobody can have started it before
    Given the ownership horizon is 10000 ms and the missing agents are <missing>
    Then the ownership rule lets an unreported task with id time <id_time> ms <start>

    Examples:
      | missing | id_time | start |
      | none    | 9000    | start |
      | none    | 10001   | start |
      | x       | 9000    | wait  |
      | x       | 10000   | wait  |
      | x       | 10001   | start |

  Scenario Outline: incarnations of an agent are listed until superseded for the retention
    Given the ownership agent row was superseded at 1000 ms
    Then the ownership listed incarnations at <now> ms with retention 600 ms are <listed>

    Examples:
      | now  | listed  |
      | 1000 | old,new |
      | 1599 | old,new |
      | 1600 | new     |

  Scenario Outline: a shard moves only to an entry that has been on the roster for 5 s
    Given the ownership rows name owner "a" and the entry "b" from 0 s to <now> s
    Then the ownership handovers of "a" at <now> s are <handovers>

    Examples:
      | now | handovers |
      | 4.9 | none      |
      | 5   | some to b |

  Scenario Outline: rows of entries that own nothing are removed after 10 s of silence
    Given the ownership rows name a silent entry "b" that owns <owned> from 0 s to <now> s
    Then the ownership removals of "a" at <now> s are <removed>

    Examples: a row that a shard names stays, since a takeover needs its peers
      | owned   | now | removed |
      | nothing | 9   | none    |
      | nothing | 10  | b       |
      | a shard | 10  | none    |

  Scenario: a restarted entry keeps the peers of its former incarnation
    Given the ownership row of "b" had peers "p" under incarnation "one"
    When the ownership row of "b" passes to incarnation "two" with peers "q"
    Then the ownership peers of "b" under "one" are "p"
    And the ownership peers of "b" under "two" are "q"
    And the ownership peers of "b" under "three" are ""

  # Guards against jobs that fail as may have run for as long as a restarted agent stays listed,
  # and against a start by an agent that an owner could still reach.
  Scenario Outline: an agent that ended <ended> ms holds no later job
    Given the ownership agent a is missing, ended at <ended> ms with ids up to <latest> ms
    Then the ownership rule lets an unreported task with id time <id_time> ms <start>
    And the ownership fence path <path> for the agent

    Examples: takeover at 100000 ms, 3000 ms of heartbeat limit and 6000 ms of clock skew
      | ended | latest | id_time | start     | path    |
      | 0     | 0      | 106000  | not start | waits   |
      | 0     | 0      | 106001  | start     | waits   |
      | 50000 | 0      | 59000   | not start | goes on |
      | 50000 | 0      | 59001   | start     | goes on |
      | 99000 | 0      | 106000  | not start | waits   |
      | 99000 | 0      | 106001  | start     | waits   |
      | 99000 | 98500  | 98500   | not start | waits   |
      | 99000 | 98500  | 98501   | start     | waits   |

  # Guards against a takeover that needs every listed agent after a stop that could not release.
  Scenario Outline: the row of an entry that stops with <rows> of its shards is <action>
    Given the ownership entry stops with <rows> of its shards
    Then the ownership row of the entry that stops is <action>

    Examples:
      | rows        | action  |
      | no release  | kept    |
      | the release | deleted |
