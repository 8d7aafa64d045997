Feature: A request that was read whole is answered or refused
  Users saw a whole request get neither an answer nor a refusal beside a change
  of the configuration. A call goes on under the configuration that accepted it,
  and each later request is answered, or refused, under the newest one.

  Scenario Outline: A call is answered although the configuration changes
    Given a relay with a call that <state>
    When the configuration changes: <change>
    And the server goes on
    Then the caller gets the whole answer, and no call is left

    Examples:
      | state              | change                                |
      | waits for a server | nothing                               |
      | waits for a server | the routes go                         |
      | waits for a server | the service of the routes changes     |
      | waits for a server | the routes are split                  |
      | waits for a server | the services go                       |
      | waits for a server | the timeout falls below the time used |
      | waits for a server | the timeout rises                     |
      | waits for a server | the attempts fall                     |
      | waits for a server | the keys go                           |
      | waits for a server | the idle timeout falls                |
      | waits for a server | the idle timeout rises                |
      | waits for a server | the sizes fall                        |
      | was sent           | nothing                               |
      | was sent           | the routes go                         |
      | was sent           | the service of the routes changes     |
      | was sent           | the routes are split                  |
      | was sent           | the services go                       |
      | was sent           | the timeout falls below the time used |
      | was sent           | the timeout rises                     |
      | was sent           | the attempts fall                     |
      | was sent           | the keys go                           |
      | was sent           | the idle timeout falls                |
      | was sent           | the idle timeout rises                |
      | was sent           | the sizes fall                        |
      | has its head       | nothing                               |
      | has its head       | the routes go                         |
      | has its head       | the service of the routes changes     |
      | has its head       | the routes are split                  |
      | has its head       | the services go                       |
      | has its head       | the timeout falls below the time used |
      | has its head       | the timeout rises                     |
      | has its head       | the attempts fall                     |
      | has its head       | the keys go                           |
      | has its head       | the idle timeout falls                |
      | has its head       | the idle timeout rises                |
      | has its head       | the sizes fall                        |
      | has two events     | nothing                               |
      | has two events     | the routes go                         |
      | has two events     | the service of the routes changes     |
      | has two events     | the routes are split                  |
      | has two events     | the services go                       |
      | has two events     | the timeout falls below the time used |
      | has two events     | the timeout rises                     |
      | has two events     | the attempts fall                     |
      | has two events     | the keys go                           |
      | has two events     | the idle timeout falls                |
      | has two events     | the idle timeout rises                |
      | has two events     | the sizes fall                        |

  Scenario Outline: The next request on a channel gets an answer or a refusal of the newest configuration
    Given a channel of a caller with <before>
    When the configuration changes: <change>
    And its next request is sent
    Then the next request gets status <status>, and no call is left

    Examples:
      | before                   | change                            | status |
      | an answer                | nothing                           | 200    |
      | an answer                | the routes go                     | 404    |
      | an answer                | the service of the routes changes | 503    |
      | an answer                | the routes are split              | 503    |
      | an answer                | the services go                   | 503    |
      | an answer                | the timeout rises                 | 200    |
      | an answer                | the attempts fall                 | 200    |
      | an answer                | the keys go                       | 401    |
      | an answer                | the idle timeout falls            | 200    |
      | an answer                | the idle timeout rises            | 200    |
      | an answer                | the sizes fall                    | 413    |
      | an answer that has begun | nothing                           | 200    |
      | an answer that has begun | the routes go                     | 404    |
      | an answer that has begun | the service of the routes changes | 503    |
      | an answer that has begun | the routes are split              | 503    |
      | an answer that has begun | the services go                   | 503    |
      | an answer that has begun | the timeout rises                 | 200    |
      | an answer that has begun | the attempts fall                 | 200    |
      | an answer that has begun | the keys go                       | 401    |
      | an answer that has begun | the idle timeout falls            | 200    |
      | an answer that has begun | the idle timeout rises            | 200    |
      | an answer that has begun | the sizes fall                    | 413    |

  Scenario Outline: A configuration that cannot be read changes nothing
    Given a channel of a caller with an answer
    When the configuration changes: <change>
    And its next request is sent
    Then the next request gets status 200, and no call is left
    And a new caller gets status 200

    Examples:
      | change                  |
      | an idle timeout is text |
      | an idle timeout is null |
      | a size is text          |
      | a weight is text        |
      | a priority is text      |
      | a timeout is infinite   |

  Scenario Outline: An unexpected error becomes a refusal that says what has run
    Given a relay with a plain server that answers
    And an unexpected error in <place>
    When a caller calls "book"
    Then the caller gets status <status> and the verdict "<verdict>" within 500 ms
    And no call is left, and the log names the error

    Examples:
      | place             | status | verdict |
      | decoding          | 503    | not-run |
      | admission         | 503    | not-run |
      | selection         | 503    | not-run |
      | a later selection | 503    | not-run |
      | encoding          | 503    | not-run |
      | the send          | 502    | may-have-run |

  Scenario Outline: What a caller writes into a header does not end its call
    Given a relay with a plain server that answers
    When a caller calls with "<header>" in place of its usual value
    Then the caller gets status 200

    Examples:
      | header                           |
      | X-Yuccagauge-Request-Id: basic 1 |
      | Resumes: bearer 1                |

  Scenario: A body that is not as long as its server says ends as incomplete
    Given a relay whose plain server sends chunks and a wrong length
    When a caller calls "book"
    Then the caller gets the chunks, or an incomplete answer

  Scenario Outline: A request that arrives while the relay is paused is answered
    Given an idle timeout of 100 ms
    And a caller that <before>
    When the relay is paused for 1700 ms, and <bytes> arrives meanwhile
    Then the next request gets status 200, and no call is left

    Examples:
      | before               | bytes                   |
      | was answered         | a request               |
      | has sent half a head | the rest of the request |
      | has sent half a body | the rest of the request |

  Scenario: An idle channel stays open for as long as the newest configuration says
    Given an idle timeout of 100 ms
    And a caller that was answered
    When the configuration changes: the idle timeout rises
    And 1400 ms pass
    And its next request is sent
    Then the next request gets status 200, and no call is left

  Scenario: An idle channel is closed after its timeout
    Given an idle timeout of 100 ms
    And a caller that was answered
    When 1400 ms pass
    Then the channel is closed

  Scenario: A request that has arrived when idle channels are closed is answered
    Given a channel of a caller with an answer
    When its next request is sent and idle channels are closed before it is read
    Then the next request gets status 200, and no call is left

  Scenario: A request behind an answer that announced no end of its channel is answered
    Given a channel of a caller with an answer that has begun
    When the relay stops to keep channels alive
    And its next request is sent
    Then the next request gets status 200, and no call is left

  Scenario Outline: A refusal is not lost because more bytes arrive
    Given a relay with a plain server that answers
    When a caller sends <bytes> and then reads
    Then the caller has a whole refusal with status <status> and no reset

    Examples:
      | bytes                               | status |
      | a body of 1 MB that is too large    | 413    |
      | a malformed request and another one | 400    |

  Scenario: Bytes behind the last request of a channel do not cut its answer
    Given a relay whose plain server answers with 8 MB
    When a caller asks to close its channel after the answer, and sends more bytes
    Then the caller gets all 8 MB of the answer
