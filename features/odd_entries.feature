Feature: Odd entries of other writers
  Other writers can reach the table of nodes, the ports and the lists of a runner. What names no node
  or runner changes nothing; the true ones stay in use.

  # The watch failed at such a row each time, and an entry never learned of another node.
  Scenario Outline: a row of the table of nodes that names no node is left out
    Given an entry's table of nodes with entry e at 127.0.0.1:1
    When another writer adds <row> under x, and agent a is added at 127.0.0.1:2
    Then the entry knows entry e at 127.0.0.1:1, agent a at 127.0.0.1:2
    And 1 unreadable row is counted

    Examples:
      | row                                                |
      | a role nested 1000 deep                            |
      | an address nested 1000 deep                        |
      | an object nested 100000 deep                       |
      | {"role":"agent","address":"127.0.0.1:65536"}       |
      | {"role":"agent","address":"127.0.0.1:-1"}          |
      | {"role":"agent","address":"127.0.0.1:99999999999999999999999"} |
      | {"role":"agent","address":"127.0.0.1:8_0"}         |
      | {"role":"agent","address":"127.0.0.1"}             |
      | {"role":"agent","address":"host.example:80"}       |
      | {"role":"agent","address":123456789012345678901234567890} |
      | {"role":"agent","address":1e400}                   |
      | {"role":"runner","address":"127.0.0.1:2"}          |
      | {"role":["agent"],"address":"127.0.0.1:2"}         |
      | ["agent"]                                          |
      | not JSON                                           |

  Scenario: a row of a node that is overwritten by another writer leaves the node in use
    Given an entry's table of nodes with entry e at 127.0.0.1:1
    When another writer adds not JSON under e, and agent a is added at 127.0.0.1:2
    Then the entry knows entry e at 127.0.0.1:1, agent a at 127.0.0.1:2
    When all rows are read again
    Then the entry knows entry e at 127.0.0.1:1, agent a at 127.0.0.1:2
    And 1 unreadable row is counted
    When the row of e is removed
    Then the entry knows agent a at 127.0.0.1:2

  # Such a heartbeat was answered with an error, or became the address of the runner.
  Scenario Outline: a heartbeat that names no runner is acknowledged and left out
    When another writer sends a heartbeat with <change> to an agent
    Then it is acknowledged, left out and counted as invalid

    Examples:
      | change                                          |
      | Service nested 1000 deep                        |
      | Address nested 1000 deep                        |
      | Capacity nested 1000 deep                       |
      | Labels nested 1000 deep                         |
      | State nested 1000 deep                          |
      | Address "127.0.0.1:65536"                       |
      | Address "127.0.0.1:-1"                          |
      | Address "127.0.0.1:0"                           |
      | Address "127.0.0.1:1e3"                         |
      | Address "127.0.0.1"                             |
      | Address "[::1"                                  |
      | Address "runner.example:80"                     |
      | Address "10.0.0.1/x:80"                         |
      | Sequence 18446744073709551615                   |
      | Sequence 123456789012345678901234567890         |
      | born 9007199254740993                           |
      | born -1                                         |
      | RemainingMs 18446744073709551615                |
      | Capacity {"Cpu":18446744073709551615,"MemMb":1} |
      | Capacity {"Cpu":-1,"MemMb":1}                   |
      | Service ""                                      |
      | Service "a\nb"                                  |

  Scenario Outline: an id that can't be sent in a header names no runner
    When another writer sends a heartbeat of the runner <runner_id> to an agent
    Then it is acknowledged, left out and counted as invalid

    Examples:
      | runner_id     |
      | i%0Ax         |
      | i%C3%A9       |
      | 300 characters |

  Scenario: the heartbeat of a runner is passed on
    When a runner sends a heartbeat to its agent
    Then it is acknowledged and passed on

  # Error texts were built with `repr`, which fails for such a list.
  Scenario Outline: a job that is nested deeply is rejected as malformed
    When the adapter decodes a job whose <field> is nested <depth> deep
    Then the job is rejected as malformed

    Examples:
      | field | depth  |
      | Steps | 1000   |
      | Count | 1000   |
      | After | 1000   |
      | Steps | 100000 |

  # The agents' codec can't decode such a payload, so each attempt to send it ended a link.
  Scenario Outline: a job of daisyfall's own interface with a payload nested <depth> deep
    When a job with a payload nested <depth> deep is submitted to daisyfalld
    Then it is <verdict>

    Examples:
      | depth  | verdict                                 |
      | 200    | accepted, and its message can be decoded |
      | 201    | rejected as invalid_field               |
      | 500    | rejected as invalid_field               |
      | 100000 | rejected as malformed                   |

  Scenario: a runner's answer that is nested deeply counts as no answer
    When a runner of daisyfalld answers 200 with a body nested 100000 deep
    Then its task is lost
