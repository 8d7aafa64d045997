Feature: How the answers of servers end
  An answer may have neither a length nor chunks and end with its channel. A
  stream that ends inside an event has been broken off, whatever its framing.

  Scenario Outline: A stream that ends after its last event is complete
    Given a relay with a model engine that streams 2 events and ends by <framing>
    When a caller calls "talk"
    Then the caller has the events "0 1" and a complete answer

    Examples:
      | framing |
      | chunks  |
      | length  |
      | channel |

  Scenario Outline: A stream that ends inside an event is not passed on as complete
    Given a relay with a model engine that streams 2 events and half of one, and ends by <framing>
    When a caller calls "talk"
    Then the caller has the events "0 1" and an incomplete answer

    Examples:
      | framing |
      | chunks  |
      | length  |
      | channel |

  Scenario Outline: A resumable stream that ends inside an event continues on another engine
    Given a relay with a model engine that streams 2 events and half of one, and ends by <framing>
    And a second model engine that streams 4 events
    When a caller calls "resume" and the first server is selected
    Then the caller has the events "0 1 2 3" and a complete answer
    And the second server was asked to resume after "1"

    Examples:
      | framing |
      | chunks  |
      | channel |

  Scenario: A resumed stream that ends inside an event is not complete
    Given a relay with a model engine that streams 1 events and half of one, then resets
    And a second model engine that streams 2 events and half of one, and ends by channel
    When a caller calls "resume" and the first server is selected
    Then the caller has the events "0 1" and an incomplete answer

  Scenario: A failure that ends inside an event keeps its status
    Given a relay with a model engine that fails with 500 and half of an event
    When a caller calls "talk"
    Then the caller gets status 500

  Scenario: A slow stream is not cut, and one that only drips bytes ends at its deadline
    Given a relay with a model engine that streams 4 events, one every 300 ms
    When a caller calls "talk"
    Then the caller has the events "0 1 2 3" and a complete answer
    Given a relay with a model engine that sends a byte of one event every 100 ms
    When a caller calls "talk"
    Then the caller gets status 504

  Scenario Outline: The log tells by what a response ended
    Given a relay with a model engine that streams 2 events and ends by <framing>
    And the log of the calls is read
    When a caller calls "talk"
    Then the caller has the events "0 1" and a complete answer
    And the log has a call that ended by <logged> with 2 events and 0 bytes of rest

    Examples:
      | framing | logged     |
      | chunks  | chunks     |
      | length  | length     |
      | channel | connection |

  Scenario Outline: A stream that ends inside an event is broken off, however its media type is spelled
    Given a relay with a model engine that sends half an event as "<type>"
    When a caller calls "talk"
    Then the caller gets status 502

    Examples:
      | type                             |
      | text/event-stream                |
      | Text/Event-Stream; charset=utf-8 |
      | TEXT/EVENT-STREAM                |
