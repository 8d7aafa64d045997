Feature: Crashes of requests in the platform's store
  Routers exchange crashes directly. The store carries them to routers that no
  peer reaches, and to routers that start when no other one runs.

  Scenario: A router that no peer reaches learns of a crash by the store
    Given an isolated router that has read the crashes of the store
    When another isolated router sees request "a" break
    Then the first router knows 1 crash of request "a" 2 s later

  Scenario Outline: A router that hears its peers writes only the crashes of suspects
    Given a router that hears its peers
    When request "a" breaks <times> times
    And 2 s pass in the store
    Then the store has <stored> crashes

    Examples:
      | times | stored |
      | 1     | 0      |
      | 2     | 2      |
      | 3     | 3      |

  Scenario: A router that hears its peers reads the crashes once
    Given a router that hears its peers
    When 60 s pass in the store
    Then the router has read the crashes 1 time

  Scenario: A router that starts knows the crashes before it is ready
    Given a store that has 3 crashes of request "a"
    When an isolated router starts
    Then it is not ready before it refuses request "a"

  Scenario: A router that starts without the store is ready after a second
    Given a store that does not answer
    When an isolated router starts
    Then it is ready after 1000 ms

  Scenario: Crashes that are cleared before they are written cost no call
    Given a router that hears its peers
    When request "a" breaks 3 times
    And request "a" completes
    And 2 s pass in the store
    Then the store was written 0 times

  Scenario: Crashes that no longer count are removed from the store
    Given a router that hears its peers
    When request "a" breaks 3 times
    And 2 s pass in the store
    Then the store has 3 crashes
    When request "a" completes
    And 2 s pass in the store
    Then the store has 0 crashes

  Scenario: Crashes that are cleared while they are written are removed
    Given a router that hears its peers
    And a store that answers after 1 s
    When request "a" breaks 3 times
    And 1 s pass in the store
    And request "a" completes
    And 5 s pass in the store
    Then the store has 0 crashes

  Scenario: Crashes are written once the store answers again
    Given a router that hears its peers
    And a store that does not answer
    When request "a" breaks 3 times
    And 5 s pass in the store
    Then the store has 0 crashes
    When the store answers again
    And 2 s pass in the store
    Then the store has 3 crashes

  Scenario: A router that starts removes crashes that are too old
    Given a store that has 3 crashes of request "a"
    When 11 minutes pass before an isolated router starts
    Then the status of request "a" is "clear" in the quarantine
    And the store has 0 crashes

  Scenario: A router that starts knows the parts that are blamed for crashes
    Given a router that hears its peers
    When 3 engines crash under requests with the part "bad"
    And 2 s pass in the store
    And an isolated router starts
    Then that router blames the part "bad" too
    When a request with the part "bad" is answered
    And 2 s pass in the store
    Then the store has 0 crashes
