Feature: Task queue of an agent
  Starting tasks beyond the worker's resources would fail tasks that could succeed later.

  Scenario Outline: tasks wait in order until the resources they need are free: <case>
    Given an agent queue with <slots> slots, <connections> connections, 100 MB and 2 accelerators
    When tasks that need <needs> MB and <accelerators> accelerators each enter the agent queue
    Then the agent queue starts the first <first> of them
    And the agent queue starts the next one when one has ended

    Examples:
      | case          | slots | connections | needs       | accelerators | first |
      | slots         | 2     | 64          | 1,1,1,1     | 0            | 2     |
      | connections   | 8     | 3           | 1,1,1,1     | 0            | 3     |
      | memory        | 8     | 64          | 50,50,50,50 | 0            | 2     |
      | accelerators  | 8     | 64          | 1,1,1,1     | 1            | 2     |
      | no overtaking | 8     | 64          | 60,60,1,1   | 0            | 1     |
