Feature: Dispatcher conservation
  No history of reports, refusals, removals and edits loses a task, starts one twice, or
  leaves a count behind.

  Scenario Outline: random histories keep the counts and the limits
    Then the dispatcher keeps its counts in <histories> random histories with the policy <policy> and the order <order>

    Examples:
      | policy            | order | histories |
      | late_binding      | fifo  | 150       |
      | late_binding      | slack | 50        |
      | least_outstanding | fifo  | 30        |
      | two_choices       | fifo  | 30        |
      | random            | fifo  | 30        |
