Feature: Contract of a runner
  What an agent relies on, checked through its adapter against the stand-in.

  Background:
    Given the stand-in runner with 2 slots and 4 connections

  # A result that belongs to another task would be answered to the wrong caller.
  Scenario: each task gets its own result
    When the stand-in runner gets 3 tasks at once
    Then the stand-in runner answered each task with its own payload
    And the stand-in runner counts 3 starts, none of them twice

  # The count of double starts decides the tests of at-most-once starts.
  Scenario: a task that is started twice is counted
    When the stand-in runner gets the task "a" 2 times
    Then the stand-in runner counts 2 starts, "a" more than once

  # A wrong outcome would repeat a task that ran, or fail a job that did not.
  Scenario Outline: outcome and start under a fault
    Given the stand-in runner has the switch <switch>
    When the stand-in runner gets the task "a" 1 times
    Then the stand-in runner's outcome is <outcome> after <starts> starts

    Examples:
      | switch          | outcome    | starts |
      | none            | Done       | 1      |
      | fail_everything | Failed     | 1      |
      | refuse          | NotStarted | 0      |
      | reset           | Lost       | 1      |
      | stopped         | NotStarted | 0      |

  Scenario: a hanging task ends when the switch is cleared
    Given the stand-in runner has the switch hang
    When the stand-in runner gets the task "a" and the switch is cleared after its start
    Then the stand-in runner's outcome is Done after 1 starts

  Scenario: a task is cut off when its runner stops
    Given the stand-in runner has the switch hang
    When the stand-in runner gets the task "a" and stops after its start
    Then the stand-in runner's outcome is Lost after 1 starts

  # A runner above its slots would make every response time look better than it is.
  Scenario: tasks above the slots wait
    When the stand-in runner gets 4 tasks at once
    Then the stand-in runner never ran more than 2 tasks

  # A refusal that still starts the task would be sent elsewhere and start twice.
  Scenario: requests above the connections are refused and not started
    Given the stand-in runner has the switch hang
    When the stand-in runner gets 6 tasks at once and the switch is cleared after 2 refusals
    Then the stand-in runner's outcomes are 4 Done and 2 NotStarted after 4 starts

  # Without this, a cancelled task would hold its slot for the rest of its run time.
  Scenario: a task stops when its connection is closed
    Given the stand-in runner has the switch hang
    When the stand-in runner gets the task "a" and its caller disconnects after the start
    Then the stand-in runner has no task running

  Scenario Outline: a slow runner takes longer
    Given the stand-in runner has <switch> set to <value>
    When the stand-in runner gets the task "a" 1 times
    Then the stand-in runner took at least <least_ms> ms

    Examples:
      | switch        | value | least_ms |
      | straggler     | 5     | 50       |
      | link_delay_ms | 20    | 50       |

  # An agent counts its runner as lost when the announcements stop.
  Scenario: a runner keeps announcing itself to its agent
    Given an agent that the stand-in runner announces itself to
    Then the stand-in runner announces its url, slots and connections 3 times
