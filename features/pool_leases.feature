Feature: Leases of the runs at an agent's runner
  Like a renewal, a start order renews the lease of all runs at the runner.

  # Otherwise the task of a lost entry would run concurrently with the caller's second attempt.
  Scenario: no task is started while the lease is withheld
    Given an agent whose runner runs a task of entry e and confirms no stop
    When entry e is lost and the time-out of the stop passes
    And entry f orders a task
    Then the runner receives no start order for that task

  Scenario: an unresponsive runner counts as lost only after the lease of its last start order
    Given an agent whose runner runs a task of entry e and confirms no stop
    Then the agent assumes that the runs continue for the lease of the last start order

  # A runner may restart under its id. Its end numbers start anew, so an end that was acknowledged
  # with the number of an end before the restart would never be seen, and its task run again.
  Scenario: the ends before a restart of the runner are not acknowledged to the restarted one
    Given an agent whose runner runs a task of entry e and confirms no stop
    When the runner lists the task as end 7
    And the runner restarts under its id
    Then the agent acknowledges no end to the restarted runner
    And no task is started until the runner announces itself

  Scenario: a runner that restarts under its id has crashed
    Given an agent whose runner runs a task of entry e and confirms no stop
    When the runner restarts under its id
    Then a crash with the task is reported once

  # An order carries the id only. The task was placed again while it ran at the next incarnation.
  Scenario: a task that the next incarnation under the same id has started is not given up
    Given an agent whose runner runs a task of entry e and confirms no stop
    When the runner restarts under its id and then gets an order of entry f
    Then only the task of entry e has ended, as crashed
    When the runner announces itself again and lists the task of entry f
    Then only the task of entry e has ended, as crashed
    When the runner confirms stops
    Then the task of entry f has ended as unanswered

  Scenario: a task that the next incarnation may have started doesn't end with a lease
    Given an agent whose runner runs a task of entry e and confirms no stop
    When the runner restarts under its id and then gets an order of entry f
    And the runner announces itself again and then answers nothing for 1.2 s
    Then only the task of entry e has ended, as crashed
    When the runner answers and confirms stops
    Then the task of entry f has ended as unanswered

  Scenario: a runner that is replaced without leaving has crashed
    Given an agent whose runner runs a task of entry e and confirms no stop
    When another incarnation of the runner announces itself
    Then a crash with the task is reported once

  Scenario: a runner whose process is gone has crashed
    Given an agent whose runner runs a task of entry e and confirms no stop
    When the runner refuses connections until its lease has expired
    Then a crash with the task is reported once
    When another incarnation of the runner announces itself
    Then a crash with the task is reported once

  # A runner that is cut off may refuse connections and run on. All its tasks were placed again, and
  # were at work twice until the lease had expired.
  Scenario: the tasks of a runner that refuses connections for a moment go on
    Given an agent whose runner runs a task of entry e and confirms no stop
    When the runner refuses connections for 0.3 s
    Then no run has ended and no crash is reported
    When the runner answers again with its task
    And entry f orders a task after the pause for unhealthy runners
    Then the task of entry f is started
    And no run has ended and no crash is reported

  Scenario: the tasks of a runner that refuses connections end with its lease
    Given an agent whose runner runs a task of entry e and confirms no stop
    When the runner refuses connections until its lease has expired
    Then the task has ended no earlier than the lease

  Scenario: a runner at whose address another one answers has crashed
    Given an agent whose runner runs a task of entry e and confirms no stop
    When another runner answers at the address
    Then a crash with the task is reported once

  Scenario: a runner that leaves has not crashed
    Given an agent whose runner runs a task of entry e and confirms no stop
    When the runner is draining
    And another incarnation of the runner announces itself
    Then no crash is reported

  Scenario: a runner that leaves and is started again under its id has not crashed
    Given an agent whose runner runs a task of entry e and confirms no stop
    When the runner is draining
    And the runner restarts under its id
    Then no crash is reported

  # A runner may be cut off only, and its tasks are not to blame for that.
  Scenario: a runner that was only silent has not crashed
    Given an agent whose runner runs a task of entry e and confirms no stop
    When the runner is silent until its lease has expired
    And the runner answers again
    And another incarnation of the runner announces itself
    Then no crash is reported

  Scenario: a runner that was silent until it was replaced has crashed
    Given an agent whose runner runs a task of entry e and confirms no stop
    When the runner is silent until its lease has expired
    And another incarnation of the runner announces itself
    Then a crash with the task is reported once

  # An agent that was restarted doesn't know what its runner's runs use, and a runner need not guard
  # its capacity.
  Scenario: no task is started while the runner has a run that the agent doesn't know
    Given an agent whose runner runs a task of entry e and confirms no stop
    When the runner lists a run that the agent doesn't know
    And entry f orders a task
    Then the runner receives no start order for that task
    When that run has ended
    Then the task of entry f is started
