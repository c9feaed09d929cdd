Feature: Settings
  A process must not start with settings that are unknown, malformed, out of range or
  inconsistent.

  Scenario Outline: the <role> setting <change> is rejected
    Given the settings file of the example <role> with "<change>"
    Then the settings are rejected with "<key>", found "<found>", expected "<expected>"

    Examples: unknown keys, wrong types and units
      | role  | change                    | key                | found          | expected                    |
      | entry | lease.renew_s=1           | lease.renew_s      | an unknown key | the unit as in 'renew_ms'   |
      | entry | leese.renew_ms=400        | leese              | an unknown key | 'lease'                     |
      | entry | lease.renew_ms=500ms      | lease.renew_ms     | '500ms'        | an integer without a unit   |
      | entry | lease.renew_ms=0.5        | lease.renew_ms     | 0.5            | an integer without a unit   |
      | entry | lease.renew_ms=true       | lease.renew_ms     | True           | an integer without a unit   |
      | entry | lease=5                   | lease              | 5              | a mapping                   |
      | entry | log.json=1                | log.json           | 1              | true or false               |
      | entry | labels=gpu                | labels             | 'gpu'          | a list                      |
      | entry | rack=7                    | rack               | 7              | text                        |
      | entry | role=null                 | role               | nothing        | entry or agent              |
      | entry | id=[]                     | id                 | []             | text                        |

    Examples: values out of range
      | role  | change                           | key                           | found           | expected                            |
      | entry | http.port=70000                  | http.port                     | 70000           | 0 to 65535                          |
      | entry | routing.policy=fastest           | routing.policy                | 'fastest'       | random or two_choices               |
      | entry | routing.retry_budget_percent=101 | routing.retry_budget_percent  | 101             | 0 to 100                            |
      | entry | table.url=127.0.0.1:7100         | table.url                     | '127.0.0.1:7100' | http://host:port                   |
      | entry | id=a/b                           | id                            | 'a/b'           | 1 to 64 of A-Za-z0-9._-             |
      | entry | keys=[short]                     | keys[0]                       | <redacted>      | at least 16 characters              |
      | entry | operator_tokens=[plain-secret]   | operator_tokens[0]            | <redacted>      | salt$hash                           |
      | entry | jobs.retention_ms=599999         | jobs.retention_ms             | 599999          | 600000 to 3600000                   |
      | agent | entries=[nowhere]                | entries[0]                    | 'nowhere'       | host:port                           |
      | agent | runner.slots=0                   | runner.slots                  | 0               | 1 to 4096                           |

    Examples: inconsistent values
      | role  | change                      | key                     | found | expected                                        |
      | entry | lease.renew_ms=1800         | lease.renew_ms          | 1800  | less than lease.lease_ms - lease.margin_ms (1800) |
      | entry | lease.margin_ms=1500        | lease.renew_ms          | 500   | less than lease.lease_ms - lease.margin_ms (500) |
      | entry | lease.poll_ms=2000          | lease.poll_ms           | 2000  | less than lease.lease_ms (2000)                 |
      | entry | lease.heartbeat_ms=3000     | lease.heartbeat_ms      | 3000  | less than lease.heartbeat_limit_ms (3000)       |
      | entry | table.timeout_ms=2000       | table.timeout_ms        | 2000  | less than lease.lease_ms (2000)                 |
      | entry | jobs.clock_tolerance_ms=5001 | jobs.clock_tolerance_ms | 5001 | at most jobs.clock_skew_ms (5000)               |
      | entry | jobs.clock_skew_ms=300000   | jobs.clock_skew_ms      | 300000 | less than half of jobs.retention_ms (300000)   |
      | entry | limits.request_timeout_ms=300001 | limits.request_timeout_ms | 300001 | at most half of jobs.retention_ms (300000) |
      | entry | http.host=0.0.0.0           | http.advertise_host     | ''    | an address that others can dial                 |
      | entry | peer.port=7200              | peer.port               | 7200  | another port than http.port (7200)              |
      | agent | entries=[]                  | entries                 | []    | at least one host:port                          |
      | agent | runner.slots=65             | runner.slots            | 65    | at most runner.connections (64)                 |
      | agent | runner.drain_limit_ms=600001 | runner.drain_limit_ms  | 600001 | at most jobs.retention_ms (600000)             |
      | entry | secrets_file=               | keys                    | <redacted> | at least one shared key                    |
      | entry | secrets_file=absent.yaml    | secrets_file            | absent.yaml that can't be read | a readable YAML mapping |

  Scenario: all invalid settings are reported at once
    Given the settings file of the example agent with "lease.lease_ms=2s; entrys=[]; runner.slots=99; jobs.clock_tolerance_ms=9000"
    Then the settings are rejected with 4 problems

  Scenario: a duplicate key is rejected instead of its last value being used
    Given the settings file of the example entry with a second "role" line
    Then the settings are rejected with "(document)", found "key 'role' stands twice", expected "a readable YAML mapping"

  Scenario Outline: options override environment variables, and these override the file
    Given the settings file of the example entry with "lease.renew_ms=300"
    And the settings variable "DAISYFALL_LEASE__RENEW_MS" is "<variable>"
    And the settings option --set is "<option>"
    Then the settings hold lease.renew_ms <value>

    Examples:
      | variable | option             | value |
      |          |                    | 300   |
      | 400      |                    | 400   |
      | 400      | lease.renew_ms=450 | 450   |
      |          | lease.renew_ms=450 | 450   |

  Scenario: the error for an invalid environment variable names the variable
    Given the settings file of the example entry with "lease.renew_ms=300"
    And the settings variable "DAISYFALL_LEASE__RENEW" is "400"
    Then the settings error names the source "environment DAISYFALL_LEASE__RENEW"

  Scenario: secrets never appear in an error message or in the repr of the settings
    Given the settings file of the example entry with "keys=[hunter2]"
    Then the settings error does not contain "hunter2"

  Scenario Outline: the example settings are valid
    Then the settings in "examples/<deployment>/<role>.yaml" are valid

    Examples:
      | deployment  | role  |
      | cooperative | entry |
      | cooperative | agent |
      | salinas     | entry |
      | salinas     | agent |

  Scenario: docs/settings.md lists every key with its type, default and limits
    Then the settings table in docs/settings.md matches the data classes
