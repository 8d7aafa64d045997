Feature: Calls that may crash the servers that run them
  A run that ends without an answer counts as a crash, also if nobody waits for
  the answer any longer. A call that has crashed three servers is not sent.

  Scenario: The run of a caller that leaves counts if the server sent nothing
    Given a relay with a plain server that never answers
    When a caller calls "book" and disconnects
    Then the call has 1 crash

  Scenario: The run of a caller that leaves does not count if the server lives
    Given a relay with a plain server that never answers
    When a caller calls "book", the server answers another call, and the caller disconnects
    Then the call has 0 crashes

  Scenario Outline: The run of a caller that leaves counts if the server has ended meanwhile
    Given a relay with a plain server that never answers
    When a caller calls "book", the server <end>, answers another call, and the caller disconnects
    Then the call has 1 crash

    Examples:
      | end                       |
      | restarts under its id     |
      | is replaced by another id |

  Scenario: A run that is not answered in time counts if the server sent nothing
    Given a relay with a plain server that never answers
    When a caller calls "short"
    Then the caller gets status 504
    And the call has 1 crash

  Scenario: A run that breaks while the server loads weights counts
    Given a relay with a plain server that resets after the request
    When a caller calls "book" and the server is paused to load weights
    Then the caller gets status 502
    And the call has 1 crash

  Scenario Outline: Only an answer without a server error clears the crashes of a call
    Given a relay with a plain server that <behaviour>
    And 2 crashes of the call "book"
    When a caller calls "book"
    Then the caller gets status <status>
    And the call has <count> crashes

    Examples:
      | behaviour   | status | count |
      | answers     | 200    | 0     |
      | answers 500 | 500    | 2     |

  Scenario: A call that waits is not sent after its third crash
    Given a relay with a plain server that answers
    When a caller calls "book" while the server is paused for 300 ms
    And peers report 3 crashes of the call "book"
    Then the caller gets status 503
    And the server got 0 requests

  Scenario: A call whose run ends the third server is not sent again
    Given a relay with a plain server that resets after the request
    And a second plain server that answers
    And 2 crashes of the call "read"
    When a caller calls "read" and the first server is selected
    Then the caller gets status 502
    And the call has 3 crashes
