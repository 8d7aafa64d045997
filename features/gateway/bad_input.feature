Feature: Bad input at the gateway
  Each wrong call gets a clear 4xx with verdict and code, moves a counter, and
  nothing of it reaches a backend server.

  Background:
    Given a gateway before a scripted engine and a scripted plain server

  Scenario Outline: A wrong call is refused as not run
    When the gateway gets <input>
    Then the gateway answers <status> with code "<code>" and verdict "not-run"
    And the gateway counted the refusal "<code>"
    And no backend server got anything from the gateway

    Examples:
      | input                              | status | code                    |
      | a chat of malformed JSON           | 400    | malformed_json          |
      | a chat that is a JSON list         | 400    | invalid_field           |
      | a chat without messages            | 400    | invalid_field           |
      | a chat with half a surrogate pair  | 400    | invalid_field           |
      | a chat for an unknown model        | 404    | unknown_model           |
      | a chat for an unknown adapter      | 404    | unknown_model           |
      | a chat beyond the context          | 400    | context_length_exceeded |
      | a chat with a negative timeout     | 400    | invalid_timeout         |
      | a chat without a credential        | 401    | credential_missing      |
      | a chat with a wrong credential     | 401    | credential_unknown      |
      | a call by another customer         | 403    | unknown_customer        |
      | a call of an unknown service       | 404    | unknown_service         |
      | a call of an unknown route         | 404    | unknown_route           |
      | a request of an unknown route      | 404    | unknown_route           |
      | a request with a wrong method      | 405    | method_not_allowed      |
      | a booking without a key            | 400    | idempotency_key_missing |
      | a booking with a key without time  | 400    | idempotency_key_invalid |
      | a booking with two quoted keys     | 400    | idempotency_key_invalid |
      | a body over the limit              | 413    | body_too_large          |
      | a chunked body over the limit      | 413    | body_too_large          |
      | a header over the limit            | 431    | headers_too_large       |
      | a flood of headers                 | 431    | headers_too_large       |
      | a stream by HTTP/1.0               | 505    | http_version            |
      | no HTTP at all                     | 400    | malformed_request       |
      | a head that stalls                 | 408    | header_timeout          |
      | a body that stalls                 | 408    | body_timeout            |

  Scenario: An issued key makes a booking once
    When the gateway issues an idempotency key
    And a booking with the issued key reaches the gateway twice
    Then the scripted plain server of the gateway got one booking
    And the second answer is a replay of the first

  Scenario: A caller's fields cannot stand for the router's own
    When a chat names another cache salt, customer, priority and request id
    Then the scripted engine of the gateway got the router's own values

  Scenario: A collected answer has the whole text
    When a chat that is not streamed reaches the gateway
    Then the gateway answers with one chat completion object

  # Guards against parts of answers that look complete, as a caller that speaks
  # HTTP/1.0 takes the end of the connection for that of the answer.
  Scenario Outline: An answer to a caller that speaks HTTP/1.0 has a length
    When the gateway gets <input>
    Then the answer has status <status> and a length

    Examples:
      | input                             | status |
      | a collected chat by HTTP/1.0      | 200    |
      | a call of bookings by HTTP/1.0    | 200    |
      | a request for a key by HTTP/1.0   | 201    |
      | a health check by HTTP/1.0        | 200    |
      | an unknown route by HTTP/1.0      | 404    |
