Feature: Membership among routers
  Failures are seen within seconds, and a healthy router is not given up.

  Scenario: The order of statements about members makes no difference
    Then any membership statements give one table in any order

  Scenario: Items that spread give one table in any order and expire
    Then any membership items give one table in any order
    And membership items disappear after their lifetime

  Scenario: A suspicion is shortened only by independent reports
    Given a membership suspicion from 4000 ms to 24000 ms needing 3 reports
    When "a" reports the membership suspicion twice
    Then the membership suspicion ends at 14000 ms
    When "b" reports the membership suspicion twice
    And "c" reports the membership suspicion twice
    Then the membership suspicion ends at 4000 ms

  Scenario Outline: A crash is seen by everyone, whatever is lost
    Given a membership network of <size> routers, seed <seed>, loss <loss>
    When membership router 3 crashes
    Then all see membership router 3 dead within <limit> ms
    And nobody saw another membership router dead

    Examples: the limit is the longest suspicion, two rounds and gossip
      | size | seed | loss | limit |
      | 2    | 5    | 0    | 8000  |
      | 8    | 1    | 0    | 40000 |
      | 8    | 2    | 0.1  | 40000 |
      | 30   | 3    | 0.1  | 60000 |

  Scenario Outline: A pause shorter than the suspicion kills nobody
    Given a membership network of 12 routers, seed <seed>, loss 0.02
    When membership router 4 is paused for <pause> ms
    And 60000 ms pass in the membership network
    Then the membership network has converged
    And nobody saw another membership router dead

    Examples:
      | seed | pause |
      | 1    | 900   |
      | 2    | 3000  |
      | 3    | 3900  |

  Scenario: A member that was given up returns after a long pause
    Given a membership network of 8 routers, seed 4, loss 0
    When membership router 4 is paused for 90000 ms
    And 80000 ms pass in the membership network
    Then all see membership router 4 dead within 0 ms
    When 60000 ms pass in the membership network
    Then the membership network has converged

  Scenario Outline: A partition heals by itself
    Given a membership network of 18 routers, seed <seed>, loss 0.02
    When membership routers 0 to <last> are cut off for 120000 ms
    Then the membership network converges within 120000 ms

    Examples:
      | seed | last |
      | 1    | 0    |
      | 2    | 8    |

  Scenario: A leaving router is neither probed nor held for dead
    Given a membership network of 8 routers, seed 1, loss 0
    When membership router 2 leaves
    And 5000 ms pass in the membership network
    Then all see membership router 2 leaving
    When membership router 2 crashes
    And 60000 ms pass in the membership network
    Then all see membership router 2 leaving

  Scenario Outline: A router that left is forgotten by all in the end
    Given a membership network of <size> routers, seed <seed>, loss <loss>
    When membership router 2 leaves
    And 5000 ms pass in the membership network
    And membership router 2 crashes
    And membership router 3 crashes
    And 300000 ms pass in the membership network
    And membership router 3 starts again with incarnation 2
    And 660000 ms pass in the membership network
    Then nobody remembers membership router 2
    And the membership network converges within 60000 ms

    Examples:
      | size | seed | loss |
      | 8    | 1    | 0    |
      | 8    | 2    | 0.1  |
      | 30   | 3    | 0.1  |

  Scenario Outline: A restart under the same address is one member again
    Given a membership network of 8 routers, seed 1, loss 0
    When membership router 2 crashes
    And <downtime> ms pass in the membership network
    And membership router 2 starts again with incarnation <incarnation>
    Then the membership network converges within 60000 ms

    Examples: a clock that went back gives a lower incarnation
      | downtime | incarnation |
      | 200      | 2           |
      | 60000    | 2           |
      | 60000    | 0           |

  Scenario: Random faults end in agreement
    Then any membership network recovers from random faults

  Scenario: Routers join over UDP and TCP, and spread an item
    Given 3 membership services with one seed
    And a membership listener that fails
    Then all membership services see 3 live members
    When the first membership service spreads an item
    Then the last membership service receives the item
    When the first membership service leaves
    Then the last membership service sees 2 live members

  Scenario: The VM list gives seeds and leaving servers, and outages keep it
    Given a membership VM list with a router, an engine and a leaving engine
    When the membership follower has read the list
    Then it names the router as seed and the leaving engine
    When the membership VM list is down for a reading
    Then it names the router as seed and the leaving engine
