Feature: Lists
  Lists that break a rule are rejected as a whole, so that what operators accept is what is in force.

  Scenario Outline: lists with <change> are rejected
    Given the lists of the example "cooperative"
    When the lists change "<change>"
    Then the lists are rejected at "<path>", found "<found>", expected "<expected>"

    Examples:
      | change                                        | path                                           | found          | expected                      |
      | plans.buyers.workshop-trials.plan=gold        | plans.buyers.workshop-trials.plan              | 'gold'         | a plan of the allowances: brand |
      | plans.buyers.workshop-trials.plam=trial       | plans.buyers.workshop-trials.plam              | an unknown key | 'plan'                        |
      | plans.buyers.workshop-trials.salt=short       | plans.buyers.workshop-trials.salt              | <redacted>     | 8 to 64 characters            |
      | plans.buyers.workshop-trials.token_hash=abc   | plans.buyers.workshop-trials.token_hash        | <redacted>     | 64 lower-case hexadecimal     |
      | plans.buyers=[]                               | plans.buyers                                   | []             | a mapping                     |
      | plans.buyers.workshop-trials=7                | plans.buyers.workshop-trials                   | 7              | a mapping                     |
      | allowances.plans.trial.slots=0                | allowances.plans.trial.slots                   | 0              | 1 to                          |
      | allowances.plans.trial.slots=201              | allowances.plans.trial.slots                   | 201            | at most tasks_in_flight (200) |
      | allowances.plans.trial.slots=8 slots          | allowances.plans.trial.slots                   | '8 slots'      | an integer without a unit     |
      | allowances.plans.trial.starts_per_second=.inf | allowances.plans.trial.starts_per_second       | inf            | a number                      |
      | allowances.plans.trial.starts_per_second=0    | allowances.plans.trial.starts_per_second       | 0              | 0.001 to                      |
      | allowances.plans.trial.longest_deadline_ms=300001 | allowances.plans.trial.longest_deadline_ms | 300001         | 1 to 300000                   |
      | allowances.plans.trial.largest_job_tasks=1901 | allowances.plans.trial.largest_job_tasks       | 1901           | 1 to 1900                     |
      | allowances.plans.trial.largest_job_tasks=201  | allowances.plans.trial.largest_job_tasks       | 201            | at most tasks_in_flight (200) |
      | allowances.plans.trial.priority=11            | allowances.plans.trial.priority                | 11             | 1 to 10                       |
      | allowances.plans.trial.data_centres=[quay, quay] | allowances.plans.trial.data_centres         | ['quay', 'quay'] | each name once              |

  Scenario: all invalid values of the lists are reported at once
    Given the lists of the example "salinas"
    When the lists change "plans.buyers.weighbridge.plan=x; allowances.plans.portal.slots=-1; allowances.plans.recount.priority=0"
    Then the lists are rejected with 3 problems

  Scenario: the digest does not depend on the order of keys
    Given the lists of the example "salinas"
    Then the lists with all keys reversed have the same digest
    And the lists have another digest after "allowances.plans.portal.slots=43"

  Scenario Outline: a diff names what changed without showing credentials
    Given the lists of the example "cooperative"
    When the lists change "<change>"
    Then the lists diff is "<line>"

    Examples:
      | change                                          | line                                             |
      | allowances.plans.trial.slots=9                  | plan trial: slots 8 -> 9                         |
      | allowances.plans.trial.data_centres=[]          | plan trial: data_centres cayambe -> (none)       |
      | plans.buyers.colibri-cosmetics.plan=trial       | buyer colibri-cosmetics: plan brand -> trial     |
      | plans.buyers.colibri-cosmetics.salt=0123456789  | buyer colibri-cosmetics: token changed           |
      | plans.buyers.new={plan: trial, salt: 0123456789} | buyer new: added (plan trial)                   |
      | allowances.plans.trial.upstream_labels=[dryer]  | plan trial: upstream_labels (default) -> dryer   |
      | plans.buyers.colibri-cosmetics=                 | buyer colibri-cosmetics: removed (plan brand)    |

  Scenario Outline: a token of <deployment> is accepted for its own buyer only
    Given the lists of the example "<deployment>"
    Then the lists accept each example token for its own buyer
    And the lists reject each example token with another buyer's name or secret
    And the lists accept the example operator token against the example settings

    Examples:
      | deployment  |
      | cooperative |
      | salinas     |

  Scenario Outline: the bearer text "<bearer>" is rejected
    Given the lists of the example "cooperative"
    Then the lists reject the bearer text "<bearer>"

    Examples:
      | bearer           |
      | andina-brands.   |
      | andina-brands    |
      | .                |
      | nobody.secret    |
      | .no-such-buyer   |

  Scenario: verifying an unknown buyer takes as many comparisons as verifying a known one
    Given the lists of the example "cooperative"
    Then the lists compare as often for "nobody.secret" as for "andina-brands.secret"

  Scenario: a replaced token is not accepted from the cache of the previous version
    Given the lists of the example "cooperative"
    When the lists have verified the token of "andina-brands"
    And the lists change "plans.buyers.andina-brands.salt=another-salt"
    Then the lists reject the token of "andina-brands"

  Scenario: rejected tokens are not cached, so that they take no memory
    Given the lists of the example "cooperative"
    Then the lists cache nothing after 1000 wrong tokens
