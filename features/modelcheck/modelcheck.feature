Feature: Model checking
  The explorer covers the small bounds of every specification, and sees a
  guard that is missing.

  Scenario: All specifications hold within their small bounds
    When the specifications are checked within their small bounds
    Then every model property holds

  Scenario: The explorer reports the shortest way to a violation
    When a model counter that may not reach 3 is explored
    Then the model trace has 3 steps
