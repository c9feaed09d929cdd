Feature: Command lines
  Operators' scripts rely on the exit statuses, and a typo must never start or change anything.

  Scenario Outline: a usage error is reported in one line: <program> <line>
    When daisyfallctl tests run "<program>" with "<line>"
    Then the daisyfallctl exit status is 2
    And the daisyfallctl message is one line with "<text>"

    Examples:
      | program      | line                                   | text                                   |
      | daisyfallctl | lsits check                            | unknown command 'lsits', did you mean 'lists'? |
      | daisyfallctl | lists chek a b                         | unknown command 'lists chek', did you mean 'check'? |
      | daisyfallctl | frobnicate                             | expected one of submit, job, lists     |
      | daisyfallctl | lists                                  | 'lists' needs one of check             |
      | daisyfallctl | job status                             | needs JOB                              |
      | daisyfallctl | job status 1 2                         | unexpected argument '2'                |
      | daisyfallctl | job status 1 --ulr=x                   | unknown option '--ulr', did you mean '--url'? |
      | daisyfallctl | job status 1 --token=x                 | unknown option '--token'               |
      | daisyfallctl | job answer 1 --limit-seconds=soon      | --limit-seconds: found 'soon', expected a number |
      | daisyfallctl | job status 1 --url=localhost           | expected http://host:port              |
      | daisyfallctl | job status 1 -- --interactive          | a lone -- is not accepted              |
      | daisyfallctl | submit absent.yaml                     | absent.yaml: can't be read             |
      | daisyfallctl | lists check absent.yaml absent.yaml    | absent.yaml: can't be read             |
      | daisyfallctl | lists apply a b                        | --base-version: found nothing          |
      | daisyfallctl | lists apply a b --base-version=three   | --base-version: found 'three'          |
      | daisyfallctl | token a.b                              | found buyer 'a.b'                      |
      | daisyfalld   | rum f                                  | unknown command 'rum', did you mean 'run'? |
      | daisyfalld   | run                                    | needs FILE                             |
      | daisyfalld   | run examples/salinas/entry.yaml now    | unexpected argument 'now'              |
      | daisyfalld   | run examples/salinas/entry.yaml --ste=a=1 | unknown option '--ste', did you mean '--set'? |
      | daisyfalld   | run examples/salinas/entry.yaml __class__ | unexpected argument '__class__'     |
      | daisyfalld   | run examples/salinas/entry.yaml _execute | unexpected argument '_execute'       |
      | daisyfalld   | run absent.yaml                        | absent.yaml: (document): found can't be read |
      | daisyfalld   | check examples/salinas/entry.yaml --set lease.renew_ms=1900 | --set: lease.renew_ms: found 1900 |

  Scenario Outline: the installed programs run as modules and as scripts
    When daisyfallctl tests run the process "<command>"
    Then the daisyfallctl exit status is <status>

    Examples:
      | command                                                             | status |
      | python -m daisyfall.daemon check examples/salinas/entry.yaml        | 0      |
      | python -m daisyfall.daemon check examples/salinas/entry.yaml --set id=a --set rack=r1 | 0 |
      | python -m daisyfall.daemon check examples/salinas/plans.yaml        | 2      |
      | daisyfalld --help                                                   | 0      |
      | daisyfallctl                                                        | 2      |

  Scenario: an entry that cannot be reached is reported as unreachable
    When daisyfallctl runs "entries list --url=http://127.0.0.1:1 --json"
    Then the daisyfallctl exit status is 7
    And the daisyfallctl JSON has error kind "unreachable"

  Scenario Outline: "<line>" sends no write to the entry
    Given a daisyfallctl entry
    When daisyfallctl runs "<line>"
    Then the daisyfallctl exit status is 0
    And the daisyfallctl output contains "<text>"
    And daisyfallctl sent no write

    Examples:
      | line                                  | text                     |
      | lists status                          | version 3 is accepted    |
      | lists status --json                   | "role": "agent"          |
      | lists history                         | 2026-                    |
      | lists diff $plans $allowances         | plan trial: slots 8 -> 9 |
      | lists diff $plans $allowances --json  | "version": 3             |
      | lists apply $plans $allowances --base-version=3 --dry-run | plan trial: slots 8 -> 9 |
      | lists check $plans $allowances        | buyers  5                |
      | upstreams list                        | upstream-1               |
      | upstreams drain upstream-1 --dry-run  |                          |
      | upstreams remove upstream-1 --dry-run |                          |
      | job cancel 1 --dry-run                |                          |
      | submit $job --dry-run                 | work ms                  |
      | entries list                          | entry-1                  |
      | owners list --json                    | "epoch": 2               |
      | job status 0190                       | running                  |
      | explain 0190                          | running                  |
      | job answer 0190 --json                | {"shade": 7}             |

  Scenario: a wrong token is rejected
    Given a daisyfallctl entry
    And the daisyfallctl token is "wrong"
    When daisyfallctl runs "entries list"
    Then the daisyfallctl exit status is 3
    And the daisyfallctl message is one line with "unauthorized"

  Scenario: invalid lists are rejected before a write is sent
    Given a daisyfallctl entry
    When daisyfallctl runs "lists apply $plans $plans --base-version=3"
    Then the daisyfallctl exit status is 6
    And daisyfallctl sent no write

  Scenario: lists apply waits until every process uses the accepted version
    Given a daisyfallctl entry
    And the daisyfallctl entry reports the previous version in 3 status reads
    When daisyfallctl runs "lists apply $plans $allowances --base-version=3"
    Then the daisyfallctl exit status is 0
    And daisyfallctl prints the message "version 4 is not yet at upstream-1"
    And daisyfallctl prints the message "version 4 is in force at 2 processes"

  Scenario: lists apply reports a process that does not use the accepted version in time
    Given a daisyfallctl entry
    And the daisyfallctl entry reports the previous version in 1000000 status reads
    When daisyfallctl runs "lists apply $plans $allowances --base-version=3 --limit-seconds=0"
    Then the daisyfallctl exit status is 9

  Scenario Outline: lists apply finds out its outcome without a second write after the fault "<fault>"
    Given a daisyfallctl entry
    And the daisyfallctl entry has the fault "<fault>"
    When daisyfallctl runs "lists apply $plans $allowances --base-version=3 --json"
    Then the daisyfallctl exit status is <status>
    And daisyfallctl prints the message "<note>"
    And daisyfallctl sent "PUT /v1/lists" once

    Examples:
      | fault                            | status | note                                      |
      | accepted, reply lost             | 0      | version 4 is in force at 2 processes      |
      | accepted, write_unknown          | 0      | version 4 is in force at 2 processes      |
      | accepted, superseded, reply lost | 0      | version 4 was accepted and superseded     |
      | another edit first               | 5      | plan trial: slots 8 -> 9                  |
      | another edit first, reply lost   | 5      | version 4 was accepted first              |
      | lost before it was accepted      | 8      | may still be accepted                     |

  Scenario: lists apply with an outdated base version is rejected
    Given a daisyfallctl entry
    When daisyfallctl runs "lists apply $plans $allowances --base-version=2"
    Then the daisyfallctl exit status is 5

  Scenario Outline: "<line>" reads the result back if the reply is lost
    Given a daisyfallctl entry
    And the daisyfallctl entry has the fault "reply lost"
    When daisyfallctl runs "<line>"
    Then the daisyfallctl exit status is 0
    And daisyfallctl prints the message "reading back"

    Examples:
      | line                        |
      | upstreams drain upstream-1  |
      | upstreams remove upstream-1 |

  Scenario: no desired state is stored for an unknown upstream
    Given a daisyfallctl entry
    When daisyfallctl runs "upstreams stop upstream-l"
    Then the daisyfallctl exit status is 3
    And daisyfallctl prints the message "did you mean 'upstream-1'?"
    And daisyfallctl sent no write

  Scenario: upstreams drain --wait reports its progress
    Given a daisyfallctl entry
    When daisyfallctl runs "upstreams drain upstream-1 --wait"
    Then the daisyfallctl exit status is 0
    And daisyfallctl prints the message "upstream upstream-1: 1 running, 0 queued"

  Scenario Outline: submit of a job that fails with <kind> exits with <status> after <sent> submissions
    Given a daisyfallctl entry
    And the daisyfallctl entry fails jobs with "<kind>"
    When daisyfallctl runs "submit $job"
    Then the daisyfallctl exit status is <status>
    And daisyfallctl sent "POST /v1/jobs" <sent> times

    Examples:
      | kind            | status | sent |
      | limit_job_size  | 3      | 1    |
      | id_conflict     | 3      | 1    |
      | queue_full      | 3      | 4    |
      | upstream_lost   | 4      | 1    |
      | task_failed     | 4      | 1    |
      | outcome_unknown | 4      | 4    |

  Scenario Outline: "<line>" of a job that failed with <kind> exits with <status>
    Given a daisyfallctl entry
    And the daisyfallctl entry fails jobs with "<kind>"
    When daisyfallctl runs "<line>"
    Then the daisyfallctl exit status is <status>

    Examples:
      | line            | kind              | status |
      | job status 0190 | task_failed       | 0      |
      | job cancel 0190 | cancelled_running | 0      |
      | explain 0190    | upstream_lost     | 0      |
      | job status 0190 | not_found         | 3      |
      | job answer 0190 | task_failed       | 4      |
      | job answer 0190 | cancelled         | 3      |

  Scenario: a submission whose reply is lost is sent again with the same id
    Given a daisyfallctl entry
    And the daisyfallctl entry has the fault "reply lost"
    When daisyfallctl runs "submit $job"
    Then the daisyfallctl exit status is 0
    And daisyfallctl prints the message "sent again with the same id"
    And daisyfallctl sent "POST /v1/jobs" 2 times

  Scenario Outline: the client in docs/callers.md handles "<kind>" and a lost reply
    Given a daisyfallctl entry
    And the daisyfallctl entry has the fault "reply lost"
    And the daisyfallctl entry fails jobs with "<kind>"
    When daisyfallctl tests run the client in docs/callers.md
    Then the daisyfallctl client ends with "<end>"
    And daisyfallctl sent "POST /v1/jobs" <sent> times
    And daisyfallctl sent the same job id each time

    Examples:
      | kind        | end         | sent |
      |             | shade       | 2    |
      | task_failed | task_failed | 2    |
      | queue_full  | queue_full  | 4    |

  Scenario: a generated token is accepted by the lists
    When daisyfallctl runs "token colibri-cosmetics --json"
    Then the daisyfallctl token is accepted with its salt and hash

  Scenario: docs/OPERATIONS.md lists the exit statuses
    Then the daisyfallctl exit statuses in docs/OPERATIONS.md match the code

  Scenario: docs/OPERATIONS.md and the help name the same commands
    Then the daisyfallctl commands in docs/OPERATIONS.md match the code
