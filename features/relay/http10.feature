Feature: Callers that speak HTTP/1.0
  Such a caller knows no chunks, so that an answer without a length ends with its
  connection: a router that is killed looks like the regular end.

  # Guards against parts of streams that look complete, and against streams that
  # run although they are rejected.
  Scenario Outline: A stream for a caller that speaks HTTP/1.0 is rejected before it runs
    Given a relay with a model engine that streams 2 events
    When a caller that speaks HTTP/1.0 calls "<route>"
    Then the caller has a refusal with status 505, code "http_version" and verdict "not-run"
    And no server got a request

    Examples:
      | route  |
      | talk   |
      | resume |

  # Guards against parts of answers that look complete.
  Scenario Outline: A plain answer for a caller that speaks HTTP/1.0 has a length
    Given a relay before a server whose answer <answer>
    When a caller that speaks HTTP/1.0 calls "<route>"
    Then the caller has a whole answer of <size> bytes with a length

    Examples:
      | answer                           | route | size   |
      | has a length                     | read  | 4      |
      | has a length                     | book  | 4      |
      | has 4 bytes in chunks            | read  | 4      |
      | has 4 bytes in chunks            | book  | 4      |
      | has 300000 bytes in chunks       | book  | 300000 |
      | has 4 events in chunks           | read  | 64     |

  # Guards against a failure without a body, and one that says the call has not run.
  Scenario Outline: An answer for a caller that speaks HTTP/1.0 that breaks off, or is too long to be held, is refused
    Given a relay before a server whose answer <answer>
    When a caller that speaks HTTP/1.0 calls "book"
    Then the caller has a refusal with status <status>, code "<code>" and verdict "may-have-run"

    Examples:
      | answer                                  | status | code         |
      | has 1100000 bytes in chunks             | 505    | http_version |
      | breaks off after 300000 bytes in chunks | 502    | server_broke |
