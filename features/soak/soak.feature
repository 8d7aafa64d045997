Feature: Fault injection of the soak test
  A run that injects nothing, or other faults at each run, proves nothing.

  Scenario: The seed decides the faults
    When soak faults for 60000 ms are planned with seeds 1 to 12
    Then each soak plan is repeated exactly by its seed and no two are equal
    And all soak faults end before the time without faults
    And every kind of soak fault is in at least one plan

  Scenario: A cut relay passes nothing on until it is healed
    Given a soak relay in front of a log stand-in
    When "a" is appended through the soak relay
    And the soak relay is cut
    And "b" is appended through the soak relay without an answer
    And the soak relay is healed
    And "c" is appended through the soak relay
    Then the log behind the soak relay holds "a, c"

  Scenario: Overlapping faults of one target are not injected together
    When soak faults of one router overlap
    Then the soak injector ran one fault at a time
