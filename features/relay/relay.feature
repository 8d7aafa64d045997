Feature: Relay of opaque calls
  The relay accepts only complete and unambiguous requests, runs each one no
  more often than its route allows, and returns each answer to its own request.

  Scenario Outline: An ambiguous or oversized request is refused and reaches no server
    Given a relay with a plain server that answers
    When a caller sends the request "<request>"
    Then the caller gets status <status> and the connection is closed
    And the server got 0 requests

    Examples:
      | request               | status |
      | length and chunks     | 400    |
      | two lengths           | 400    |
      | two hosts             | 400    |
      | no host               | 400    |
      | space before colon    | 400    |
      | absolute target       | 400    |
      | body over the limit   | 413    |
      | chunks over the limit | 413    |
      | head over the limit   | 431    |
      | half a head           | 408    |

  Scenario Outline: The configuration decides which requests are accepted
    Given a relay with a plain server that answers
    When a caller sends the request "<request>"
    Then the caller gets status <status>
    And the server got <times> requests

    Examples:
      | request       | status | times |
      | unknown route | 404    | 0     |
      | no key        | 401    | 0     |
      | wrong key     | 401    | 0     |
      | public route  | 200    | 1     |
      | no id         | 400    | 0     |
      | two ids       | 400    | 0     |

  Scenario: Without a configuration a request is refused as unavailable, not as unknown
    Given a relay without a configuration
    When a caller sends the request "no key"
    Then the caller gets status 503

  Scenario: A request inside the body of another one is not run
    Given a relay with a plain server that answers
    When a caller sends the request "request in a body"
    Then the caller gets status 200
    And the server got 1 requests

  Scenario: Pipelined requests are answered in order
    Given a relay with a plain server that answers
    When a caller sends 3 requests at once
    Then the caller gets 3 answers in order

  Scenario: The server receives the call unchanged, with its customer, without the key and forged headers
    Given a relay with a plain server that answers
    When a caller sends the request "forged headers"
    Then the caller gets status 200
    And the server got the customer "anna" and neither key nor forged headers

  Scenario Outline: The status of a call shows how its attempt ended
    Given a relay with a plain server that <behaviour>
    When a caller calls "<route>"
    Then the caller gets status <status>
    And the server got <times> requests

    Examples:
      | behaviour                     | route | status | times |
      | resets after the request      | book  | 502    | 1     |
      | resets in the answer          | book  | 502    | 1     |
      | resets an unframed answer     | book  | 502    | 1     |
      | ends an unframed answer       | book  | 200    | 1     |
      | answers 500                   | book  | 500    | 1     |
      | says the call did not run     | book  | 503    | 1     |
      | never answers                 | short | 504    | 1     |
      | answers another request first | book  | 200    | 1     |
      | sends a second answer         | book  | 200    | 1     |

  Scenario Outline: A call is retried on a second server only if it may run again
    Given a relay with a plain server that <behaviour>
    And a second plain server that answers
    When a caller calls "<route>" and the first server is selected
    Then the caller gets status <status>

    Examples:
      | behaviour                 | route | status |
      | resets after the request  | read  | 200    |
      | answers 500               | read  | 200    |
      | never answers             | read  | 200    |
      | says the call did not run | book  | 200    |
      | reports another instance  | book  | 200    |
      | refuses connections       | book  | 200    |
      | resets after the request  | book  | 502    |
      | answers 500               | book  | 500    |

  Scenario Outline: A call is retried if a server accepts no connection
    Given a relay with a plain server whose port accepts no connection
    And a second plain server that answers
    When a caller calls "<route>" and the first server is selected
    Then the caller gets status 200
    And the first server is reported as unresponsive

    Examples:
      | route |
      | book  |
      | read  |

  Scenario: An attempt releases its server only once
    Given a relay with a plain server that answers
    And two attempts of a suspect request run on the server
    When one attempt ends, and then its call ends
    Then other suspects still avoid the server
    When the other attempt ends
    Then other suspects may run on the server

  Scenario: A call is abandoned when its caller disconnects
    Given a relay with a plain server that never answers
    When a caller calls "book" and disconnects
    Then the server's connection is closed

  Scenario: A stream is forwarded event by event and ends complete
    Given a relay with a model engine that streams 4 events
    When a caller calls "talk"
    Then the caller has the events "0 1 2 3" and a complete answer

  Scenario: A resumable stream continues on another engine
    Given a relay with a model engine that streams 2 events and half of one, then resets
    And a second model engine that streams 4 events
    When a caller calls "resume" and the first server is selected
    Then the caller has the events "0 1 2 3" and a complete answer
    And the second server was asked to resume after "1"

  Scenario: A broken stream that is not resumable does not end normally
    Given a relay with a model engine that streams 2 events and half of one, then resets
    When a caller calls "talk"
    Then the caller has the events "0 1" and an incomplete answer

  Scenario: The engine receives the weights version and the cache scope
    Given a relay with a model engine that streams 4 events
    When a caller calls "talk"
    Then the engine was asked for version "1" in the cache scope "1/anna"

  Scenario: A request that crashed three engines is refused
    Given a relay with a model engine that streams 2 events and half of one, then resets
    When a caller calls "talk" 3 times while the engine restarts each time
    Then a fourth call of "talk" gets status 503 and reaches no engine

  Scenario: When the router stops, it closes idle connections and still answers calls
    Given a relay with a plain server that answers
    And an idle connection of a caller that was answered
    When the relay stops and closes idle connections
    Then the idle connection is closed
    And a new call is answered with "Connection: close"
