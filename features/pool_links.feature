Feature: Links between entries and an agent
  A fleet has a link for each entry and agent, but work on few of them at a time. Only links with
  work have frequent heartbeats, and a bad message ends one link and nothing else.

  # A node may spend 2.8% of a core on control, with hundreds of entries in a region.
  Scenario: an entry without tasks costs an agent less than one message a second
    Given a pool agent with one scheduling entry
    When 24 other entries are connected for 6 s
    Then the agent and each of them exchange at most 1 message a second

  # A wake-up costs an idle agent more than the work that it does then.
  Scenario: an idle agent does its periodic work when the scheduling entry's heartbeats wake it up
    Given a pool agent with one scheduling entry
    When 3.0 s pass for the agent
    Then the scheduling entry and the agent have sent each other 15 heartbeats or more
    And at most a third as many timers of the agent have fired

  # The entry would time the agent out although only its own heartbeats were lost.
  Scenario: an agent sends heartbeats although those of the scheduling entry are missing
    Given a pool agent with one scheduling entry
    When the scheduling entry falls silent for 0.4 s
    Then the agent has sent it a heartbeat at least every 0.25 s

  Scenario: an entry without tasks may be silent for longer than the heartbeat timeout
    Given a pool agent with one scheduling entry
    When entry e connects
    And entry e sends nothing for 1.5 s
    Then the link of entry e is open

  Scenario: the tasks of an entry that falls silent are stopped within the heartbeat timeout
    Given a pool agent with one scheduling entry
    When entry e connects
    And entry e sends nothing for 1.0 s
    And entry e orders a task and falls silent
    Then the agent stops the task at most 0.6 s after that

  Scenario: the tasks of an entry that sends heartbeats go on
    Given a pool agent with one scheduling entry
    When entry e connects
    And entry e orders a task
    And 1.5 s pass for the agent
    Then the agent has not stopped the task

  # The caller may have sent the job again to another entry meanwhile.
  Scenario: an order that was held up for longer than the heartbeat timeout is refused
    Given a pool agent with one scheduling entry
    When entry e connects
    And entry e orders a task that was held up for 0.6 s
    Then the agent refuses the task as delayed
    And the runner has not started it

  Scenario: an order that was held up for a shorter time is accepted
    Given a pool agent with one scheduling entry
    When entry e connects
    And entry e orders a task that was held up for 0.2 s
    Then the runner has started it

  Scenario: an entry of an older build gets heartbeats and is timed out as before
    Given a pool agent with one scheduling entry
    When entry e of an older build connects
    And 2.5 s pass for the agent
    Then entry e has received at least 4 heartbeats
    And without heartbeats its link ends within 0.7 s

  Scenario Outline: a bad message ends its link only
    Given a pool agent with one scheduling entry
    When a peer sends the agent <frame>
    Then the agent counts a link error
    And entry e can connect and have a task run

    Examples:
      | frame                                |
      | bytes that are not CBOR              |
      | a text frame                         |
      | a number in place of a batch         |
      | a message with an unknown tag        |
      | a message without its fields         |
      | deeply nested lists                  |
      | an order whose task is a list        |
      | an order whose capacity is a text    |
      | an order whose payload is a map      |

  Scenario: a peer that closes its websocket ends the link without an error
    Given a pool agent with one scheduling entry
    When a peer opens a link and closes it
    Then the agent has closed the connection and counts no link error
    And entry e can connect and have a task run

  Scenario: a message that is too large ends its link only
    Given a pool agent with one scheduling entry
    When a peer opens a link and announces a message that is too large
    Then the agent has closed the connection and counts no link error
    And entry e can connect and have a task run

  Scenario Outline: a bad handshake is refused
    Given a pool agent with one scheduling entry
    When a peer opens a link with <frame>
    Then the agent counts a link error
    And entry e can connect and have a task run

    Examples:
      | frame                            |
      | bytes that are not CBOR          |
      | a handshake whose id is a list   |
      | a handshake whose tasks is a map |
      | an order                         |

  Scenario: a node is dialled again after one of its messages could not be handled
    Given an entry's links, whose handler raises at the first message
    When the node has accepted a link and sent a message
    Then it is dialled again within 1 s

  Scenario Outline: periodic work goes on after an unexpected error
    Given periodic work, <kind>, that raises the first time
    When the work goes on for 0.1 s
    Then it was done again, and the error was counted

    Examples:
      | kind        |
      | a function  |
      | a coroutine |

  # An idle agent's timer must not delay the refusal of an order that waits for capacity.
  Scenario: periodic work that a wake-up replaces is hastened when its interval becomes shorter
    Given periodic work every 10 s that other wake-ups may replace
    When its interval becomes 0.05 s and it is hastened
    Then it is done within 0.5 s, although it raises, and the error is counted

  Scenario: the age of a message is its delay beyond the shortest recent one
    Given messages of a sender whose clock differs by 1000 s
    Then one that takes 5 ms after others of 2 ms has an age of 3 ms
    And after two windows of 4 ms, one that takes 5 ms has an age of 1 ms
    And a message without a time has an age of 0 ms

  # An agent expects frequent heartbeats from an entry that said that it schedules.
  Scenario: agents are told at once when an entry begins and when it ceases to schedule
    Given an entry with links to 3 agents that follows another entry
    When another entry asks it to place tasks
    Then each agent is told once that it schedules, and its link has frequent heartbeats
    And after 3 s without such a request each agent is told once that it doesn't

  Scenario: a link gets frequent heartbeats while a task runs at its agent
    Given an entry with links to 3 agents that follows another entry
    When it is about to send a task to agent-1
    Then only the link of agent-1 has frequent heartbeats
    And after that task has ended no link has
