Feature: Adapter to the users' platform
  What the platform writes is decoded once, and what can't be used harms nothing.

  Scenario: the platform's names stay in the adapter
    Then no module outside platform/ names a field, a call or a header of the platform
    And no module of platform/ but its composition root imports a decision

  Scenario Outline: a settings file that can't be used names field, value and expectation
    Given the settings file of a node with <change>
    When an entry is started with it
    Then it ends with status 2 and one line with "<text>"

    Examples:
      | change                    | text                                     |
      | NodeName=                 | NodeName is missing, expected a value    |
      | platform.Address=         | platform.Address is missing              |
      | HeartbeatMs=soon          | HeartbeatMs is 'soon', expected a number |
      | Limits.CpuShare=-1        | Limits.CpuShare is '-1'                  |
      | InternalPortRange=x,y     | InternalPortRange is 'x'                 |
      | Bounds.ResendMs=300       | callers send again after 0.30 s          |

  Scenario: a settings file that isn't there
    When an entry is started with a file that isn't there
    Then it ends with status 2 and one line with "can't be read"

  Scenario: unknown fields of the settings file are ignored
    Given the settings file of a node with Surprise.New=5
    Then it is decoded with 1.07 cores and port 7720

  Scenario Outline: a heartbeat from another writer names no runner
    When a heartbeat with <change> is decoded
    Then it is <verdict>

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

  Scenario Outline: a configuration or a job that breaks its format
    When the adapter decodes the <kind> <document>
    Then it is refused with "<text>"

    Examples:
      | kind          | document                      | text                     |
      | configuration | {                             | not JSON                 |
      | configuration | []                            | expected an object       |
      | configuration | {"Version":1}                 | Routes is None           |
      | configuration | {"Version":-1,"Routes":[]}    | Version is -1            |
      | configuration | {"Version":1,"Routes":[5]}    | a route is 5             |
      | job           | {"BestEffort":true}           | Steps is None            |
      | job           | {"BestEffort":true,"Steps":[{"Count":2000}]} | 2000 tasks |
      | job           | {"BestEffort":true,"Steps":[{"Count":1,"After":[3]}]} | earlier steps |
      | job           | {"BestEffort":true,"Steps":[{"Count":1,"EstimatedMs":"x"}]} | EstimatedMs is 'x' |
      | job           | {"BestEffort":true,"Specification":5,"Steps":[]} | Specification is 5 |

  Scenario: the route with the longest prefix wins
    When the adapter decodes routes /a/ and /a/b/ of one host
    Then a request for /a/b/0123 goes to /a/b/, one for /a/0123 to /a/, and one for /c/ nowhere
