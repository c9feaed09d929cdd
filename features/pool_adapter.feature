Feature: Platform adapter
  Only the adapter decodes the platform's documents; it rejects or ignores invalid ones.

  Scenario: names of the platform's protocol occur only in the adapter
    Then no module outside platform/ contains a field, call or header name of the platform
    And no module of platform/ except its composition root imports a policy

  Scenario Outline: the error for an invalid settings file states field, value and expectation
    Given the settings file of a node with <change>
    When an entry is started with that file
    Then it exits with status 2 and one line that contains "<text>"

    Examples:
      | change                    | text                                     |
      | NodeName=                 | NodeName is missing, expected a value    |
      | platform.Address=         | platform.Address is missing              |
      | HeartbeatMs=soon          | HeartbeatMs is 'soon', expected a number |
      | Limits.CpuShare=-1        | Limits.CpuShare is '-1'                  |
      | InternalPortRange=x,y     | InternalPortRange is 'x'                 |
      | Bounds.ResendMs=300       | callers send again after 0.30 s          |

  Scenario: a missing settings file
    When an entry is started with a missing file
    Then it exits with status 2 and one line that contains "can't be read"

  Scenario: unknown fields of the settings file are ignored
    Given the settings file of a node with Surprise.New=5
    Then its settings have 1.07 cores and port 7720

  Scenario: the settings name the data centres of the deployment
    Given the settings file of a node with Zones.z7=north
    Then the data centres of the deployment are z7

  Scenario Outline: an invalid heartbeat of a runner is dropped
    When a runner's heartbeat with <change> is decoded
    Then the heartbeat is <verdict>

    Examples:
      | change                   | verdict |
      | nothing                  | used    |
      | State="draining"         | used    |
      | Extra=1                  | used    |
      | born="x"                 | dropped |
      | born=1.5                 | dropped |
      | State="asleep"           | dropped |
      | State=7                  | dropped |
      | Service=null             | dropped |
      | Address=5                | dropped |
      | Capacity={}              | dropped |
      | Capacity=[1]             | dropped |
      | Labels="a"               | dropped |
      | Labels=[1]               | dropped |
      | Sequence=true            | dropped |

  Scenario Outline: an invalid configuration or job is rejected
    When the adapter decodes the <kind> <document>
    Then the document is rejected with "<text>"

    Examples:
      | kind          | document                      | text                     |
      | configuration | {                             | not JSON                 |
      | configuration | []                            | expected an object       |
      | configuration | {"Version":1}                 | Routes is None           |
      | configuration | {"Version":1,"Routes":[],"Limits":[1]} | Limits is [1]   |
      | configuration | {"Version":1,"Routes":[],"Limits":{"MaxBodyBytes":"x"}} | MaxBodyBytes is 'x' |
      | configuration | {"Version":-1,"Routes":[]}    | Version is -1            |
      | configuration | {"Version":1,"Routes":[5]}    | a route is 5             |
      | job           | {"BestEffort":true}           | Steps is None            |
      | job           | {"BestEffort":true,"Steps":[{"Count":2000}]} | 2000 tasks |
      | job           | {"BestEffort":true,"Steps":[{"Count":1,"After":[3]}]} | earlier steps |
      | job           | {"BestEffort":true,"Steps":[{"Count":1,"EstimatedMs":"x"}]} | EstimatedMs is 'x' |
      | job           | {"BestEffort":true,"Specification":5,"Steps":[]} | Specification is 5 |

  Scenario: the route with the longest prefix wins
    When the adapter decodes routes /a/ and /a/b/ of one host
    Then the route of /a/b/0123 is /a/b/, that of /a/0123 is /a/, and /c/ has none

  # An entry that no longer watched the store would keep routes that the operator has removed.
  Scenario Outline: a watch of the store goes on after a bad answer
    Given a watch of a table of the store
    When the store answers with <answer> and then with a valid row
    Then the watch passes on the valid row and counts an error

    Examples:
      | answer                        |
      | {"rows":[[1]]}                |
      | {"rows":[{"Key":"a"}]}        |
      | {"rows":[{"Key":7,"Value":"","VersionNumber":1}],"VersionNumber":1} |
      | {"rows":[{"Key":"a","Value":"***","VersionNumber":1}],"VersionNumber":1} |
      | {"rows":[{"Key":"a","Value":"","VersionNumber":"x"}],"VersionNumber":1} |
      | {"rows":7,"VersionNumber":1}  |
      | {"rows":[],"VersionNumber":[]} |

  Scenario: a watch of the store goes on after its rows could not be applied
    Given a watch of a table of the store
    When the rows of the first answer can't be applied
    Then the watch passes on the valid row and counts an error

  # On a small share of a core, a full collection would last longer than the heartbeats allow, and
  # agents would stop the tasks of the entry.
  Scenario Outline: a garbage collection leaves out what a process has imported
    When <role> has imported its modules and exempted them from collection
    Then less than a tenth of its objects are left to collect

    Examples:
      | role  |
      | entry |
      | agent |
