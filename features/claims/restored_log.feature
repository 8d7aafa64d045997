Feature: Claims when the log comes back from a copy
  The copy lacks the last records. A call whose claim is among them may have run.

  Background:
    Given claim routers "a, b" on a simulated log

  # Guards against a call that runs again because the claim that it ran with is
  # lost, and the routers that read it have restarted.
  Scenario Outline: A call whose claim was lost does not run again
    Given claim routers have used the log for 30 s
    When claim router "a" claims key 1
    Then the claim decision is "Granted"
    Given the granted call is <answered>
    When the claim log loses its last <lost> records, and <restarting> restart
    And <seconds> s pass at the claim routers
    And claim router "<asked>" claims key 1
    Then the claim decision is not "Granted"

    Examples:
      | answered     | lost | restarting      | seconds | asked |
      | not answered | 1    | the routers "b" | 0       | b     |
      | not answered | 1    | the routers "ab" | 0      | a     |
      | not answered | 1    | the routers "ab" | 30     | b     |
      | not answered | 9    | the routers "ab" | 0      | a     |
      | not answered | 9    | the routers "ab" | 600    | a     |
      | answered     | 2    | the routers "ab" | 0      | a     |
      | answered     | 9    | the routers "ab" | 5      | b     |
      | not answered | 9    | no routers       | 0      | b     |
      | answered     | 9    | no routers       | 5      | a     |

  # Guards against a claim that an append carries into the log after the loss, and
  # that is read back as if nothing had been lost before it.
  Scenario: A claim that was written without knowledge of the loss is not granted
    Given claim routers have used the log for 30 s
    And the claim log has the fault "lose_at_append=1"
    When claim router "a" claims key 1
    Then the claim decision is "Unavailable"
    When 1 s pass at the claim routers
    And claim router "b" claims key 1
    Then the claim decision is "Expired"

  # Guards against keys that stay refused for longer than a lost claim can matter.
  Scenario: Keys that are created later are granted
    Given claim routers have used the log for 30 s
    When the claim log loses its last 9 records, and the routers "ab" restart
    And 5 s pass at the claim routers
    And claim router "a" claims key 1
    Then the claim decision is "Expired"
    When 65 s pass at the claim routers
    And claim router "b" claims key 2
    Then the claim decision is "Granted"

  Scenario: A log that loses nothing grants keys at once
    When claim router "a" claims key 1
    Then the claim decision is "Granted"

  Scenario: In any history with losses a call runs at most once
    Then no history of claims and losses of the log runs a call twice
