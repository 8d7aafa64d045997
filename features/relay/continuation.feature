Feature: What continues a stream
  A stream that broke off goes on at another engine after the last event that
  its caller has. Only events of the same stream, from the next one on, are
  its rest; any other answer there is a failed attempt.

  Scenario Outline: An answer without the next events is not passed on as the rest of a stream
    Given a relay with a model engine that streams 2 events and half of one, then resets
    And a second model engine that answers a resumption with <answer>
    When a caller calls "resume" and the first server is selected
    Then the caller has the events "0 1" and nothing else, and an incomplete answer
    And the log has an attempt of the second server that failed

    Examples:
      | answer             |
      | 500 and JSON       |
      | 500 without a body |
      | 500 and an event   |
      | 404 and JSON       |
      | 200 and JSON       |
      | 204                |
      | events without ids |

  Scenario Outline: A stream whose continuation fails goes on at a third engine
    Given a relay with a model engine that streams 2 events and half of one, then resets
    And a second model engine that answers a resumption with <answer>
    And a third model engine that streams 4 events
    When a caller calls "resume_thrice" and the servers are selected in order
    Then the caller has the events "0 1 2 3" and a complete answer

    Examples:
      | answer             |
      | 500 and JSON       |
      | 404 and JSON       |
      | 200 and JSON       |

  Scenario Outline: A caller that resumes a stream gets events or a failure
    Given a relay with a model engine that answers each resumption with <answer>
    When a caller resumes "resume" after the event "1"
    Then the caller gets status <status>

    Examples:
      | answer         | status |
      | 200 and JSON   | 502    |
      | 204            | 502    |
      | 404 and JSON   | 404    |
      | 500 and JSON   | 502    |

  Scenario: A continuation that fails does not clear the request of crashes
    Given a relay with a model engine that streams 2 events and half of one, then resets
    And a second model engine that answers a resumption with 500 and JSON
    When a caller calls "resume" and the first server is selected
    Then the caller has the events "0 1" and nothing else, and an incomplete answer
    And the request is suspected of one crash, and the second server of a failure

  Scenario Outline: Events that do not follow the last one are not passed on
    Given a relay with a model engine that streams 2 events and half of one, then resets
    And a second model engine that starts again at event <first>
    When a caller calls "resume" and the first server is selected
    Then the caller has the events "0 1" and nothing else, and an incomplete answer

    Examples:
      | first |
      | 0     |
      | 1     |
      | 3     |

  Scenario: Events in one piece of data are passed on up to the one that does not follow
    Given a relay with a model engine that streams the events "1 2 2 3" at once
    And a second model engine that streams the events "3 4"
    When a caller calls "resume" and the first server is selected
    Then the caller has the events "1 2 3 4" and a complete answer
    And the second server was asked to resume after "2"

  Scenario: A stream whose numbers have gaps goes on after a larger gap
    Given a relay with a model engine that streams the events "1 5 9" and resets
    And a second model engine that streams the events "14 17"
    When a caller calls "resume" and the first server is selected
    Then the caller has the events "1 5 9 14 17" and a complete answer

  Scenario: A stream without event ids is not continued
    Given a relay with a model engine that streams 2 events without ids and resets
    And a second model engine that streams the events "1 2"
    When a caller calls "resume" and the first server is selected
    Then the second server got no request

  Scenario Outline: A caller that resumes a stream gets the events after its last one
    Given a relay with a model engine that streams the events "<events>" at once
    When a caller resumes "resume" after the event "3"
    Then the caller gets status <status>

    Examples:
      | events | status |
      | 4 5    | 200    |
      | 1 2 3  | 502    |
      | 3 4    | 502    |
      | 6 7    | 502    |
      | 7 11   | 200    |
