Feature: Queue of an agent
  A worker that runs more than it has fails tasks that would have succeeded later.

  Scenario Outline: tasks wait for what they need: <case>
    Given an agent queue with <slots> slots, <connections> connections, 100 MB and 2 accelerators
    When tasks that need <needs> MB and <accelerators> accelerators each enter the agent queue
    Then the agent queue lets <first> of them run
    And the agent queue lets one more run when one has ended

    Examples:
      | case          | slots | connections | needs       | accelerators | first |
      | slots         | 2     | 64          | 1,1,1,1     | 0            | 2     |
      | connections   | 8     | 3           | 1,1,1,1     | 0            | 3     |
      | memory        | 8     | 64          | 50,50,50,50 | 0            | 2     |
      | accelerators  | 8     | 64          | 1,1,1,1     | 1            | 2     |
      | order is kept | 8     | 64          | 60,60,1,1   | 0            | 1     |
