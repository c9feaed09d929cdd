Feature: Jobs of an entry while an agent reconnects
  A task is placed again only when its previous run must have ended.

  # A killed agent may restart before the lease of the runs of its previous incarnation has expired.
  Scenario: tasks of an agent's previous incarnation are not placed until their lease has expired
    Given an entry whose job has a task at agent a
    When the link to agent a breaks
    And agent a reconnects after 0.3 s as another incarnation without the task
    Then no task is placed again after 0.5 s more
    And the task is placed again after 1.0 s more

  Scenario: tasks dispatched to the new incarnation are not placed again
    Given an entry whose job has a task at agent a
    When the link to agent a breaks
    And agent a reconnects after 0.3 s as another incarnation without the task
    And another job has a task at agent a
    Then only the task of the first job is placed again after 1.5 s more

  Scenario: a task whose order did not reach the same incarnation is placed again at once
    Given an entry whose job has a task at agent a
    When the link to agent a breaks
    And agent a reconnects after 0.3 s as the same incarnation without the task
    Then the task is placed again after 0 s more

  Scenario: a task is not placed again if the agent reconnects with it
    Given an entry whose job has a task at agent a
    When the link to agent a breaks
    And agent a reconnects after 0.3 s as the same incarnation with the task
    Then no task is placed again after 3.0 s more

  # The agent counts from the later link, so its runs may go on for longer than those of a lost entry.
  Scenario: a link that breaks again before the agent's tasks are known starts the wait anew
    Given an entry whose job has a task at agent a
    When the link to agent a breaks
    And it opens and breaks again after 0.9 s, before the agent has told its tasks
    Then no task is placed again after 1.0 s more
    And the task is placed again after 0.5 s more

  # A configuration was confirmed between the two requests, and the second has to be handled by it.
  Scenario: a job whose route has moved when it is sent again runs in the new pool
    Given an entry whose job has a task at agent a
    When the job is sent again after its route has moved to pool q
    And its task ends as done in the old pool
    Then its task is placed again in pool q

  Scenario: a placement in the old pool that arrives after the route has moved is not used
    Given an entry whose job waits for a placement
    When the job is sent again after its route has moved to pool q
    And the placement in the old pool arrives
    Then no task is ordered
    And its task is placed again in pool q

  # Callers send requests on open connections until the process exits, and the work of unfinished
  # jobs would be lost.
  Scenario: an entry that shuts down accepts only jobs that can end before it exits
    Given an entry whose job has a task at agent a
    When the entry must exit in 1.0 s
    Then a job of 100 ms is accepted
    And a job of 900 ms is refused as stopping, with a retry hint

  # After a loss of all processes the scheduling entry has its links before the others have theirs.
  # A task placed anew costs two messages, and its capacity at the agent is lost until a report.
  Scenario: a task waits a moment for the link to its agent, which is dialled at once
    Given an entry whose job waits for a placement
    When it is placed at agent a, to which no link is open
    Then agent a is dialled and the task not placed elsewhere yet
    When the link to agent a opens
    Then the task is ordered at agent a

  Scenario: a task whose agent can't be reached in time is placed elsewhere
    Given an entry whose job waits for a placement
    When it is placed at agent a, to which no link is open
    Then after 0.2 s it is placed elsewhere, once
