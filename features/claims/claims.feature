Feature: Claims
  A call with an idempotency key runs at most once, whatever happens to the
  log, the routers and the answers between them.

  Background:
    Given claim routers "a, b" on a simulated log

  Scenario: A call is granted once and its answer is replayed
    When claim router "a" claims key 1
    Then the claim decision is "Granted"
    When claim router "b" claims key 1
    Then the claim decision is "Held"
    When the granted call is answered with 2 bytes
    And claim router "b" claims key 1
    Then the claim decision is "Replay"
    And the claim replay has 2 bytes

  Scenario: A long answer is replayed without its body
    When claim router "a" claims key 1
    And the granted call is answered with 4097 bytes
    And claim router "a" claims key 1
    Then the claim decision is "Replay"
    And the claim replay has no body

  Scenario: A released key can be claimed again
    When claim router "a" claims key 1
    And the granted call is released
    And claim router "b" claims key 1
    Then the claim decision is "Granted"

  Scenario: A key that was used for another request is refused
    When claim router "a" claims key 1
    And claim router "b" claims key 1 for another request
    Then the claim decision is "Mismatch"

  Scenario Outline: Keys without a usable time are refused
    When claim router "a" claims the raw key "<key>"
    Then the claim decision is "InvalidKey"

    Examples:
      | key                                  |
      | booking-17                           |
      | 5b0c5a0e-7f6b-4c40-9f7f-0c1d2e3f4a5b |
      | 018F0000-0000-7000-8000-000000000000 |
      | ffffffff-ffff-7000-8000-000000000000 |

  Scenario: A key whose claim may have been trimmed is not granted
    When claim router "a" claims key 1
    And 100 s pass at the claim routers
    And the claim streams are trimmed to their last record
    And claim router "a" restarts
    And claim router "b" restarts
    And claim router "b" claims key 1
    Then the claim decision is "Expired"

  Scenario: The ledger forgets the keys that expire
    When claim router "a" claims 50 new keys
    And 300 s pass at the claim routers
    And the claim streams are trimmed to their last record
    And 60 s pass at the claim routers
    Then claim router "a" remembers 0 keys

  Scenario Outline: A claim survives a fault of its append
    Given the claim log has the fault "<fault>"
    When claim router "a" claims key 1
    Then the claim decision is "Granted"
    When claim router "b" claims key 1
    Then the claim decision is "Held"

    Examples:
      | fault           |
      | lose_answers=1  |
      | rate_limited=3  |
      | delay_appends=1 |

  Scenario: With the log down nothing runs, and the key stays free
    Given the claim log has the fault "outage=1"
    When claim router "a" claims key 1
    Then the claim decision is "Unavailable"
    And the claim was never appended
    Given the claim log has the fault "outage=0"
    When claim router "a" claims key 1
    Then the claim decision is "Granted"

  Scenario: A claim that comes late does not block its key
    Given the claim log has the fault "delay_appends=100"
    When claim router "a" claims key 1
    Then the claim decision is "Unavailable"
    Given the claim log has the fault "delay_appends=0"
    When 5 s pass at the claim routers
    And the delayed claim appends take effect
    And 5 s pass at the claim routers
    And claim router "b" claims key 1
    Then the claim decision is "Granted"

  Scenario: Copies of a losing claim do not take the key later
    # Without the loser's release its second copy won after the holder's.
    Given claim forwarding "is refused"
    When claim routers "a, b" claim key 1 and an append of the loser is delayed
    And the granted call is released
    And the delayed claim appends take effect
    And 5 s pass at the claim routers
    And claim router "a" claims key 1
    Then the claim decision is "Granted"

  Scenario: Many claims share an append
    When claim router "a" claims 200 new keys
    Then all claim decisions are "Granted"
    And at most 12 claim appends were made

  Scenario Outline: A claim finds its way round routers that do not answer
    Given claim forwarding "<behaviour>"
    When claim router "a" claims 20 new keys
    Then all claim decisions are "Granted"
    And each claimed key has one winner

    Examples:
      | behaviour     |
      | works         |
      | is refused    |
      | loses answers |

  Scenario: No order of faults runs a call twice
    Then no interleaving of claim faults runs a call twice

  Scenario: Damaged claim records are skipped or refused cleanly
    Then arbitrary bytes never break the claim codec
