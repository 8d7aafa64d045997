Feature: What servers state about themselves in their answers
  A server that leaves says so in all its answers, before its entry in the store
  does.

  Scenario Outline: A server that says that it leaves gets no further call
    Given a relay with a plain server that <behaviour>
    And a second plain server that answers
    When a caller calls "read" and the first server is selected
    And 10 further callers call "read"
    Then the server got 1 requests

    Examples:
      | behaviour                                    |
      | answers and says that it leaves              |
      | answers 500 and says that it leaves          |
      | rejects the call and says that it leaves     |

  Scenario: An entry that calls the server ready does not undo what it said, a new start does
    Given a relay with a plain server that answers and says that it leaves
    When a caller calls "read"
    And the entry of the first server is written again
    Then another caller of "read" gets status 503
    When the entry of the first server lapses and returns
    Then another caller of "read" gets status 503
    When the first server starts again under its id
    Then another caller of "read" gets status 200

  Scenario: A server that says so to a call of the router itself gets no call
    Given a relay with a plain server that answers
    When the first server tells the router that it leaves
    Then another caller of "read" gets status 503
