Feature: Servers that send bytes without end
  A faulty server may send bytes that are no answer until its caller closes the
  connection, in a head or in a body. The router closes it after a bounded
  number of bytes, well before the deadline, and counts a failed attempt.

  Scenario Outline: A call whose server sends bytes without end is broken off
    Given a relay with a model engine that sends <bytes> without end
    When a caller calls "talk"
    Then the caller gets status 502
    And the engine could send at most 4 MiB, and its connection is closed

    Examples:
      | bytes                          |
      | a status line                  |
      | a header line                  |
      | header lines                   |
      | interim answers                |
      | answers to another request     |
      | one answer to another request  |
      | a chunk's size                 |
      | trailers                       |
      | an event                       |
      | an event with carriage returns |

  Scenario: A body without a length is broken off if it does not end
    Given a relay before a plain server that sends a body without end
    When a caller calls "book"
    Then the caller has an incomplete answer
    And the engine could send at most 80 MiB, and its connection is closed

  Scenario: Many endless answers at once take little memory
    Given a relay with a model engine that sends an event without end
    When 100 callers call "talk" at once
    Then all get status 502, and the peak of memory is below 32 MiB

  Scenario: A status call is broken off if the answer does not end
    Given an engine that sends a body without end
    When a router reads its status
    Then the status call fails, and the engine could send at most 8 MiB
