Feature: Contract of the object store
  The behaviour that the history of the lists relies on, tested with the object store client
  against the stand-in.

  Background:
    Given the object store with a client "entry-1"

  # Without quoting in the URL, a version's history would be stored under another name.
  Scenario Outline: an object is read back under its own name
    When the object store client puts "<name>" with data "one" and then "two"
    Then the object store client reads "<name>" as "two"
    And the object store client lists "lists/" as "<name>"

    Examples:
      | name           |
      | lists/1        |
      | lists/a b?c#d% |
      | lists/é/1      |

  Scenario: names are listed by prefix
    When the object store client puts "lists/1" with data "x" and then "y"
    And the object store client puts "other/1" with data "x" and then "y"
    Then the object store client lists "lists/" as "lists/1"
    And the object store client lists "none/" as ""

  # If an absent object were an error, a reader of the history would wait for it forever.
  Scenario: reading an absent object is not an error
    Then the object store client finds no "lists/9"

  # A put that may have been stored but is reported as not stored would leave an orphaned version.
  Scenario Outline: the client reports <effect> for a <call> under the fault <mode>
    Given the object store fault <mode>
    When the object store client makes a <call>
    Then the object store client reports <effect>
    And the object store shows the put as <stored>

    Examples:
      | mode       | call | effect      | stored |
      | none       | put  | success     | stored |
      | none       | get  | success     | absent |
      | none       | list | success     | absent |
      | down       | put  | unavailable | absent |
      | down       | get  | unavailable | absent |
      | down       | list | unavailable | absent |
      | drop       | put  | unknown     | absent |
      | drop       | get  | unavailable | absent |
      | drop       | list | unavailable | absent |
      | slow       | put  | unknown     | absent |
      | slow       | get  | unavailable | absent |
      | lost_reply | put  | unknown     | stored |
      | lost_reply | get  | success     | absent |
      | stopped    | put  | unavailable | absent |
      | stopped    | get  | unavailable | absent |
