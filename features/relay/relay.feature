Feature: Relay of opaque calls
  Requests arrive whole and unambiguous, run at most as often as they may, and
  answers reach only the request that they belong to.

  Scenario Outline: An ambiguous or oversized request is refused and reaches no server
    Given a relay with a plain server that answers
    When a caller sends the request "<request>"
    Then the caller gets status <status> and the channel ends
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

  Scenario Outline: A request that the configuration does not allow
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

  Scenario: Without a configuration nothing is unknown
    Given a relay without a configuration
    When a caller sends the request "no key"
    Then the caller gets status 503

  Scenario: A request inside a body is no request
    Given a relay with a plain server that answers
    When a caller sends the request "request in a body"
    Then the caller gets status 200
    And the server got 1 requests

  Scenario: Requests that follow each other are answered in order
    Given a relay with a plain server that answers
    When a caller sends 3 requests at once
    Then the caller gets 3 answers in order

  Scenario: The server gets the call unchanged, without the key, for its customer
    Given a relay with a plain server that answers
    When a caller sends the request "forged headers"
    Then the caller gets status 200
    And the server got the customer "anna" and neither key nor forged headers

  Scenario Outline: Each failure of a call has its status
    Given a relay with a plain server that <behaviour>
    When a caller calls "<route>"
    Then the caller gets status <status>
    And the server got <times> requests

    Examples:
      | behaviour                 | route | status | times |
      | resets after the request  | book  | 502    | 1     |
      | resets in the answer      | book  | 502    | 1     |
      | resets an unframed answer | book  | 502    | 1     |
      | ends an unframed answer   | book  | 200    | 1     |
      | answers 500               | book  | 500    | 1     |
      | says not run              | book  | 503    | 1     |
      | never answers             | short | 504    | 1     |
      | answers another request first | book | 200 | 1     |
      | sends a second answer     | book  | 200    | 1     |

  Scenario Outline: A second server takes over what may run again
    Given a relay with a plain server that <behaviour>
    And a second plain server that answers
    When a caller calls "<route>" until the first server was used
    Then the caller gets status <status>

    Examples:
      | behaviour                | route | status |
      | resets after the request | read  | 200    |
      | answers 500              | read  | 200    |
      | never answers            | read  | 200    |
      | says not run             | book  | 200    |
      | is another instance      | book  | 200    |
      | refuses connections      | book  | 200    |
      | resets after the request | book  | 502    |
      | answers 500              | book  | 500    |

  Scenario Outline: A call leaves a server that accepts no connection
    Given a relay before a plain server that leaves connections unanswered
    And a second plain server that answers
    When a caller calls "<route>" until the first server was used
    Then the caller gets status 200
    And the first server is known to be silent

    Examples:
      | route |
      | book  |
      | read  |

  Scenario: An attempt that ended frees its place once
    Given a relay with a plain server that answers
    And two attempts of a suspect request run at the server
    When one of them ends, and its call after it
    Then other suspects are still kept from the server
    When the other one ends
    Then other suspects may run at the server

  Scenario: A caller that leaves takes its call from the server
    Given a relay with a plain server that never answers
    When a caller calls "book" and leaves
    Then the server's connection is closed

  Scenario: A stream is passed on event by event and ends complete
    Given a relay with a model engine that streams 4 events
    When a caller calls "talk"
    Then the caller has the events "0 1 2 3" and a complete answer

  Scenario: A stream that may be resumed continues on another engine
    Given a relay with a model engine that streams 2 events and half of one, then resets
    And a second model engine that streams 4 events
    When a caller calls "resume" until the first server was used
    Then the caller has the events "0 1 2 3" and a complete answer
    And the second server was asked to resume after "1"

  Scenario: A stream that may not be resumed never looks complete
    Given a relay with a model engine that streams 2 events and half of one, then resets
    When a caller calls "talk"
    Then the caller has the events "0 1" and an answer that is cut

  Scenario: Prompts carry weights version and scope to the engine
    Given a relay with a model engine that streams 4 events
    When a caller calls "talk"
    Then the engine was asked for version "1" in the scope "1/anna"

  Scenario: A request that crashed three engines is refused
    Given a relay with a model engine that streams 2 events and half of one, then resets
    When a caller calls "talk" 3 times while the engine starts anew each time
    Then a fourth call of "talk" gets status 503 and reaches no engine

  Scenario: Idle channels end when the router leaves, and the running call is answered
    Given a relay with a plain server that answers
    And a channel that has had its answer
    When the relay leaves and closes idle channels
    Then the idle channel ends
    And a new call is answered with "Connection: close"
