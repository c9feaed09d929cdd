Feature: Dispatcher invariants
  No sequence of reports, refusals, removals and plan changes loses a task, starts a task twice
  or leaves a counter above zero.

  Scenario Outline: counters and limits are correct after every step of random histories
    Then the dispatcher's counters and limits hold in <histories> random histories with the policy <policy> and the order <order>

    Examples:
      | policy            | order | histories |
      | late_binding      | fifo  | 150       |
      | late_binding      | slack | 50        |
      | least_outstanding | fifo  | 30        |
      | two_choices       | fifo  | 30        |
      | random            | fifo  | 30        |
