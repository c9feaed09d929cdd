Feature: Recovery from a loss of all processes
  All hosts lose power and return together, while callers keep sending. An entry has little
  processor time, so it does first what the first order needs.

  Scenario: jobs are served in time again soon after all processes were killed at once
    When all entries and agents are killed under load and started again
    Then the first task starts at most 600 ms after the first heartbeat of a runner
    And of the jobs sent later than 1 s after that heartbeat at least 0.9 are in time
    And no task had two concurrent runs

  # A handshake takes processor time at both ends, and each node is dialled by all entries.
  Scenario: entries are dialled before agents, and what a task waits for before all others
    Given 3 entries and 40 agents that are dialled, of which none answers
    Then 8 dials run, of the 3 entries and 5 agents
    When a task waits for agent-30
    And one of the dials ends
    Then agent-30 is dialled next

  Scenario: hosts that don't answer don't hold up the others
    Given 3 entries and 40 agents that are dialled, of which none answers
    Then all have been dialled within 0.5 s

  # Without that, an entry that started before the agents would wait for its next try, up to 1 s.
  Scenario: a node is dialled at once when it has just started
    Given an entry that has tried to reach a node in vain for 2.6 s
    When the node starts and is announced
    Then its link is open within 0.1 s

  # The task that dials a node must not end with an error of its row in the store.
  Scenario: a node whose registered address is not valid is dialled again
    Given an entry that has tried to reach a node at "nowhere" for 0.5 s
    Then it has tried more than once

  Scenario: a link speaks the websocket protocol of other implementations
    Given a server of the websockets library that answers the handshake and echoes messages
    When an entry dials it and sends a message that comes back in parts
    Then the entry receives the message

  # Two more tasks for each of the links of an entry to all nodes took longer than its messages.
  Scenario: a link needs one task at each end
    Given an agent with which 10 links are open in this process
    Then 20 more tasks run than without them

  # The import takes a tenth of the processor time of a start.
  Scenario Outline: a start imports nothing that is needed later only
    When the modules of an <role> are imported in a new process
    Then none is there that only a scrape or another role needs

    Examples:
      | role  |
      | agent |
      | entry |

  Scenario: metrics are rendered as the Prometheus library would
    Given a counter, a histogram and gauges, with and without a label, as plain numbers
    When they have counted
    Then they are rendered as by the classes of the Prometheus library
    And a counter has at most 2 label values besides other
