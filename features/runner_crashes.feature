Feature: Tasks that crash the runners on which they run
  Each crash is given as a runner and the tasks on it, with the ms that each had run.

  Scenario: a task is given up after two crashes, and those that shared one of them are not
    When a crashes with k:20 x:500 y:300
    Then no task is given up
    When b crashes with k:20 z:40
    Then only k is given up

  # The first crash under x is explained by k.
  Scenario: a task that shared an explained crash is not given up at the next one
    When a crashes with k:20 x:500
    And b crashes with k:20
    And c crashes with x:100 m:30
    Then only k is given up

  # Both are placed again at the same moment, and may get the same runner again.
  Scenario: of two tasks that shared both crashes, the one that never ran for long is given up
    When a crashes with k:20 x:500
    And b crashes with x:18 k:20
    Then only k is given up

  # If runners crash one after the other, a long task may run on two of them by chance.
  Scenario: a task that had run for most of its time is given up after three crashes
    When a crashes with k:900/1000
    And b crashes with k:100/1000
    Then no task is given up
    When c crashes with k:600/1000
    Then only k is given up

  Scenario: a task that never ran for most of its time is given up after two crashes
    When a crashes with k:400/1000
    And b crashes with k:100/1000
    Then only k is given up

  Scenario: a task is given up after four crashes, even if others were given up for them
    When a crashes with k:20 x:10
    And b crashes with k:20 x:10
    And c crashes with k:20 y:10
    And d crashes with k:20 y:10
    Then only k x y are given up

  Scenario: a crash that is reported again counts once
    When a crashes with k:20
    And a crashes with k:20
    Then no task is given up

  Scenario: a crash under a task that was given up is explained
    When a crashes with k:20
    And b crashes with k:20
    And c crashes with k:20 x:50
    And d crashes with x:50
    Then only k is given up

  # An entry that starts is told of all crashes, by one agent after the other.
  Scenario: what is given up doesn't depend on the order in which crashes are reported
    When b crashes with k:20 x:500
    And c crashes with x:100 z:30
    And it is reported late that a crashed before all of them with k:20
    Then k counts as given up, and x does not

  Scenario: crashes are forgotten
    When a crashes with k:20
    And 121 s pass without a crash
    And b crashes with k:20
    Then no task is given up

  Scenario: the memory for crashes is bounded
    When 2000 runners crash with different tasks
    Then at most 500 crashes are remembered

  # The entry whose job it is may be killed before it answers its caller.
  Scenario: a crash is reported to all entries before the ends of the tasks, also to a later one
    Given a pool agent with one scheduling entry
    When entry e connects
    And entry e orders a task
    And the runner crashes under the task
    And a later entry connects
    Then all entries are told of the crash, and entry e before the end of its task

  Scenario: an entry of an older build isn't told of a crash
    Given a pool agent with one scheduling entry
    When entry e of an older build connects
    And entry e orders a task
    And the runner crashes under the task
    Then entry e is told of the end of its task only

  # Otherwise that task would run beside its next run, which no runner can cause.
  Scenario: the stand-in of a runner executes no order that arrives as it crashes
    When a stand-in is ordered a task that crashes it, and another one when that is due
    Then the stand-in has crashed once and executed only the first task
