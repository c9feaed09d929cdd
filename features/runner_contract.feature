Feature: Contract of a runner
  The behaviour that an agent relies on, tested with the agent's HTTP client against the stand-in.

  Background:
    Given the stand-in runner with 2 slots and 4 connections

  # A result that belongs to another task would be returned to the wrong caller.
  Scenario: each task gets its own result
    When the stand-in runner gets 3 tasks at once
    Then the stand-in runner answered each task with its own payload
    And the stand-in runner counts 3 starts, none of them twice

  # The tests of at-most-once starts rely on this count.
  Scenario: a task that is started twice is reported as repeated
    When the stand-in runner gets the task "a" 2 times
    Then the stand-in runner counts 2 starts, "a" more than once

  # A wrong outcome would start a task again that has run, or fail a job whose task has not run.
  Scenario Outline: outcome and number of starts under the fault <fault>
    Given the stand-in runner has the fault <fault>
    When the stand-in runner gets the task "a" 1 times
    Then the stand-in runner's outcome is <outcome> after <starts> starts

    Examples:
      | fault           | outcome    | starts |
      | none            | Done       | 1      |
      | fail_everything | Failed     | 1      |
      | refuse          | NotStarted | 0      |
      | reset           | Lost       | 1      |
      | stopped         | NotStarted | 0      |

  Scenario: a hanging task ends when the fault is cleared
    Given the stand-in runner has the fault hang
    When the stand-in runner gets the task "a" and the fault is cleared after its start
    Then the stand-in runner's outcome is Done after 1 starts

  Scenario: a running task is lost when its runner stops
    Given the stand-in runner has the fault hang
    When the stand-in runner gets the task "a" and stops after its start
    Then the stand-in runner's outcome is Lost after 1 starts

  # With more tasks than slots running at once, measured response times would be too short.
  Scenario: tasks beyond the slots are queued
    When the stand-in runner gets 4 tasks at once
    Then the stand-in runner never ran more than 2 tasks

  # A task that is refused but started would be sent to another runner and start twice.
  Scenario: requests beyond the connection limit are refused and not started
    Given the stand-in runner has the fault hang
    When the stand-in runner gets 6 tasks at once and the fault is cleared after 2 refusals
    Then the stand-in runner's outcomes are 4 Done and 2 NotStarted after 4 starts

  # Otherwise a cancelled task would occupy its slot for the rest of its run time.
  Scenario: a task stops when its connection is closed
    Given the stand-in runner has the fault hang
    When the stand-in runner gets the task "a" and its caller disconnects after the start
    Then the stand-in runner has no task running

  Scenario Outline: a task takes longer under the fault <fault>
    Given the stand-in runner has the fault <fault> with value <value>
    When the stand-in runner gets the task "a" 1 times
    Then the stand-in runner took at least <least_ms> ms

    Examples:
      | fault         | value | least_ms |
      | straggler     | 5     | 50       |
      | link_delay_ms | 20    | 50       |

  # An agent treats its runner as lost when the announcements stop.
  Scenario: a runner keeps announcing itself to its agent
    Given a fake agent that the stand-in runner announces itself to
    Then the stand-in runner announces its url, slots and connections 3 times
