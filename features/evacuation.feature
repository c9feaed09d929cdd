Feature: Evacuation of a data centre
  While the operator's row of a data centre exists, nothing more is started there.

  # Entries learn of changes from the store and from peers, in any order and some of them twice.
  Scenario Outline: the last state of each data centre holds
    Given an entry with agent a in z1, agent b in z2 and a peer entry p
    When it learns "<events>"
    Then the evacuated data centres are "<evacuated>"

    Examples:
      | events                                                | evacuated |
      | feed z1@5={}                                          | z1        |
      | feed z1@5={} z2@6={}                                  | z1 z2     |
      | feed z1@5={} z1@6=-                                   | none      |
      | feed z1@5={}; feed z1@6=-; peer z1@5=yes              | none      |
      | peer z1@7=no; feed z1@5={}                            | none      |
      | peer z1@5=yes; peer z1@7=no; peer z1@9=yes            | z1        |
      | feed z1@6=-; peer z1@6=yes                            | none      |
      | feed z1@5={} z2@6={}; read@9 z2@6={}                  | z2        |
      | read@9; peer z1@5=yes                                 | none      |
      | read@9; feed z1@10={}                                 | z1        |
      | peer z1@12=yes; read@9                                | z1        |
      | feed z1@5={}; feed z1@6=[]; read@9 z1@6=[]            | z1        |
      | feed z9@5={}                                          | none      |
      | feed z9@5={}; agent in z9                             | z9        |

  Scenario Outline: a row that can't be used is logged once, and the others are in force
    Given an entry with agent a in z1, agent b in z2 and a peer entry p
    When it learns "feed <name>@5=<value> z2@6={}; feed <name>@5=<value>; read@9 <name>@5=<value> z2@6={}"
    And it learns "feed <name>@10=-"
    Then the evacuated data centres are "z2"
    And "evacuate/<name>" is logged once

    Examples:
      | name | value |
      |      | {}    |
      | z1/x | {}    |
      | z1   | []    |
      | z1   | {     |
      | z9   | {}    |

  # Rows that change while further pages are read are in the feed after the first page only.
  Scenario: all rows are read as of the version of the first page
    When a table of two pages is read, and read again as its history is lost
    Then both reads have all rows as of the version of the first page

  # An entry that has just started accepts jobs when it has a configuration.
  Scenario: evacuations are told before a newer configuration, and first on a new link
    Given an entry with agent a in z1, agent b in z2 and a peer entry p
    When it learns "feed config@6=2 z1@7={}"
    Then p is told of evacuations, then of a configuration
    And a new link of each role is told of evacuations first
    And a new link to a node of an older build is not told of evacuations

  Scenario Outline: a task that could run in two data centres is ordered in the one that is left
    Given an entry with agent a in z1, agent b in z2 and a peer entry p
    When it learns "feed z1@5={}" and then <event>
    Then the task is ordered at b only
    And it was placed again <retries> times

    Examples:
      | event                                                       | retries |
      | a job arrives                                               | 0       |
      | a job arrives that waits at p, and p is lost                | 0       |
      | a job arrives that p, which doesn't know of it, places on a | 1       |

  # The caller may be told that nothing has run only if nothing has.
  Scenario Outline: a job that only an evacuated data centre could run is refused
    Given an entry with agent a in z1, agent b in z2 and a peer entry p
    When a job that needs <cpu> CPU arrives <order> the evacuation of "<evacuated>"
    Then it is refused as evacuated, and no task was ordered

    Examples:
      | cpu  | order  | evacuated |
      | 8000 | before | z1        |
      | 8000 | after  | z1        |
      | 1000 | after  | z1 z2     |

  # Idle runners would get all that arrives, and may be cold.
  Scenario Outline: runners return gradually after an evacuation only
    Given a runner of 8000 whose data centre was <reason>
    Then it has room for <cpu> after <seconds> s

    Examples:
      | reason                          | seconds | cpu  |
      | evacuated for 9 s               | 0       | 2000 |
      | evacuated for 9 s               | 1.1     | 4000 |
      | evacuated for 9 s               | 2.1     | 6000 |
      | evacuated for 9 s               | 3.1     | 8000 |
      | evacuated for 0.5 s             | 0       | 6000 |
      | evacuated for 0.5 s             | 0.6     | 8000 |
      | evacuated for 9 s and for 0.5 s | 0       | 2000 |
      | cut off and reached again       | 0       | 8000 |

  # An entry that was paused or cut off doesn't know of the evacuation.
  Scenario: an agent refuses the orders of an entry that doesn't know of the evacuation
    Given a pool agent with one scheduling entry
    When entry e connects
    And entry e orders a task
    And the agent has a queued order
    And the agent is told "dc@5=yes"
    Then the agent has refused all but the running task as evacuated
    And entry e sees the runner closed
    When the agent is told "dc@4=no"
    Then entry e sees the runner closed
    When the agent is told "dc@6=no"
    Then entry e sees the runner open

  Scenario Outline: faults right after the request
    Given a platform deployment of 3 entries and 4 agents in 2 data centres
    When the operator evacuates z1 for 4 s under load, and after <after> s <fault>
    Then no task started in z1 later than 1 s after the request
    And no invariant is violated
    And at least 90% of the jobs are completed
    And tasks start in z1 again

    Examples:
      | after | fault                    |
      | 0     | entry-0 is killed        |
      | 0     | agent-0 is killed        |
      | -0.1  | entry-0 is paused for 2 s |
