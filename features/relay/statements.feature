Feature: What servers state about themselves in their answers
  A server that leaves says so in all its answers, before its entry in the store
  does. A server that rejects a call may say for how long it wants none.

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

  Scenario Outline: A server that wants no call for some time gets none
    Given a relay before a server that rejects calls with Retry-After "<value>"
    And a second plain server that answers
    When a caller calls "read" and the first server is selected
    And 10 further callers call "read"
    Then the server got 1 requests
    And the first server gets no call for <ms> ms

    Examples:
      | value | ms    |
      | 2     | 2000  |
      | 0.75  | 750   |
      | 86400 | 60000 |

  Scenario Outline: A time that cannot be read is ignored
    Given a relay before a server that rejects calls with Retry-After "<value>"
    And a second plain server that answers
    When a caller calls "read" and the first server is selected
    Then the first server gets no call for 0 ms

    Examples:
      | value                         |
      | -1                            |
      | nan                           |
      | 1e3                           |
      | Fri, 04 Dec 2026 12:00:00 GMT |

  Scenario: A caller is told when the only server takes calls again
    Given a relay before a server that rejects calls with Retry-After "3"
    When a caller calls "read"
    And another caller of "read" is refused
    Then it is told to retry after 2.5 to 4.6 s

  Scenario: A server that has restarted takes calls at once
    Given a relay before a server that rejects calls with Retry-After "3"
    When a caller calls "read"
    And the first server starts again under its id
    Then the first server gets no call for 0 ms
