Feature: Leases and fenced orders
  One holder at a time gives orders to engines, and the order of a holder
  that was paused past its lease does no harm.

  Background:
    Given lease holders "a, b" on a simulated log

  Scenario: A lease has one holder, and passes on when it is released
    When lease holder "a" takes the lease
    Then lease holder "b" cannot take the lease
    When lease holder "a" releases the lease
    Then lease holder "b" can take the lease

  Scenario: A holder keeps its lease by renewing it
    When lease holder "a" takes the lease
    And 60 s pass at the lease holders
    Then lease holder "a" holds the lease
    And lease holder "b" cannot take the lease

  Scenario: A holder that is paused past its lease has lost it
    When lease holder "a" takes the lease
    And lease holder "a" is paused for 15 s
    Then lease holder "a" does not hold the lease
    And lease holder "b" can take the lease

  Scenario: With the log down a lease runs out
    When lease holder "a" takes the lease
    And the lease log goes down for 12 s
    Then lease holder "a" does not hold the lease

  Scenario Outline: A stale order of a paused holder is outlived
    Given a lease engine that <kind> fences
    When holder "a" orders version "w1" and an order of it is delayed
    And lease holder "a" is paused for 60 s while "b" orders version "w2"
    And the delayed lease order arrives
    And 60 s pass at the lease holders
    Then the lease engine runs version "w2"
    And the lease engine was last "<version>" right after the late order

    Examples:
      | kind    | version |
      | checks  | w2      |
      | ignores | w1      |

  Scenario: A changed document gets a new fence
    # An engine takes orders with an equal fence, also our own older ones.
    Given a lease engine that checks fences
    When holder "a" orders version "w1"
    And holder "a" orders version "w2"
    Then the fences of the lease orders rise with each version

  Scenario: A holder does not take a slot twice
    When lease holder "a" takes 3 of 2 slots
    Then 2 lease slots were taken
