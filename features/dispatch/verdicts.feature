Feature: Verdicts
  P5 and P6: each exit of the path says truthfully whether the request may have
  run, in header and body, and a booking is never sent twice.

  Scenario Outline: Each failure of a booking has its verdict
    Given a routed plain service whose only server <behaviour>
    When a booking is made through the router
    Then the routed call ends with <status>, verdict "<verdict>" and code "<code>"
    And the server got the booking <times> times

    Examples:
      | behaviour                     | status | verdict      | code              | times |
      | refuses connections           | 503    | not-run      | backend_not_run   | 0     |
      | resets at the first byte      | 502    | may-have-run | backend_broken    | 1     |
      | resets after the request      | 502    | may-have-run | backend_broken    | 1     |
      | resets in the answer          | 502    | may-have-run | backend_broken    | 1     |
      | never answers                 | 504    | may-have-run | deadline_exceeded | 1     |
      | truthfully refuses            | 503    | not-run      | no_backend_server | 1     |
      | untrustedly refuses           | 503    | answered     |                   | 1     |
      | answers                       | 200    | answered     |                   | 1     |
      | fails                         | 500    | answered     |                   | 1     |
      | is killed in the answer       | 502    | may-have-run | backend_broken    | 1     |
      | ends the answer by closing    | 200    | answered     |                   | 1     |

  Scenario Outline: An idempotent call is repeated elsewhere, a booking is not
    Given a routed plain service whose first server <behaviour> and whose second answers
    When a <call> is sent through the router until the first server was used
    Then the routed call ends with <status>, verdict "<verdict>" and code "<code>"

    Examples:
      | behaviour                | call    | status | verdict      | code           |
      | refuses connections      | reading | 200    | answered     |                |
      | resets after the request | reading | 200    | answered     |                |
      | refuses connections      | booking | 200    | answered     |                |
      | truthfully refuses       | booking | 200    | answered     |                |
      | resets after the request | booking | 502    | may-have-run | backend_broken |

  Scenario Outline: A booking with a key that was used before
    Given a routed plain service whose only server <behaviour>
    And a booking was made through the router
    When <again> is made through the router
    Then the routed call ends with <status>, verdict "<verdict>" and code "<code>"
    And the server got the booking 1 times

    Examples:
      | behaviour                | again                      | status | verdict      | code                     |
      | answers                  | the same booking           | 200    | answered     |                          |
      | resets after the request | the same booking           | 409    | may-have-run | idempotency_key_in_use   |
      | answers                  | another booking by its key | 422    | not-run      | idempotency_key_reused   |

  Scenario: A booking whose server was never reached can be made again
    Given a routed plain service whose only server refuses connections
    And a booking was made through the router
    When the server comes up and the same booking is made until it is answered
    Then the routed call ends with 200, verdict "answered" and code ""
    And the server got the booking 1 times

  Scenario Outline: Without the log only idempotent calls are served
    Given a routed plain service whose only server answers
    And the log of the fleet is down
    When a <call> is made through the router
    Then the routed call ends with <status>, verdict "<verdict>" and code "<code>"

    Examples:
      | call    | status | verdict  | code               |
      | booking | 503    | not-run  | claims_unavailable |
      | reading | 200    | answered |                    |

  Scenario: A later refusal does not take back that a request may have run
    Given a routed model service whose engine resets after the request and then refuses
    When a routed chat is asked for
    Then the routed call ends with 502, verdict "may-have-run" and code "no_backend_server"

  Scenario: What follows an attempt depends on verdict, budget and deadline
    Then a call that may have run is never rerun unless it is idempotent
    And no step follows a passed deadline but the final answer
