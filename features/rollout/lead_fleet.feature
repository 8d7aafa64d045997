Feature: The leader of a fleet after restarts
  Whole routers take part in the election, in virtual time.

  Scenario: A fleet that restarts has a leader once the former one is ready
    Given 5 routers of which one leads
    When all routers lose power for 1.5 s
    Then the former leader writes a record within 0.1 s after it is ready
