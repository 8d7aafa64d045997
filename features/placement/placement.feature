Feature: Placement
  Routers with separate state choose alike, spread load, and never choose an
  engine that is out of use.

  Scenario Outline: No policy chooses an engine that is out of use
    Then the placement policy "<policy>" chooses only usable engines, for any table

    Examples:
      | policy       |
      | cost         |
      | least-loaded |
      | prefix-tree  |
      | random       |
      | rendezvous   |
      | round-robin  |

  Scenario: Routers without state choose the same engine for a prefix
    Then 8 routers without state place each of 50 prefixes on one engine

  Scenario: Few prefixes move when an engine joins
    Then by the placement ring at most 15 of 100 prefixes move when engine 20 joins 19

  Scenario: A router learns a placement from the notice of a peer
    Given two routers that place on 6 engines
    When the first router places a prompt away from its first engine on the ring
    And the second router receives the placement notices
    Then the second router places the prompt on the same engine

  Scenario: A hot prefix uses more engines under load and fewer afterwards
    Given two routers that place on 6 engines
    Then at 5 requests/s the placement of one prefix uses 1 engine
    And at 300 requests/s the placement of one prefix uses at least 3 engines
    And at 5 requests/s the placement of one prefix uses 1 engine

  Scenario: Notices stay within their byte budget and prefer large recomputations
    Then placement notices of 200 placements in a second stay within 4000 bytes and include each large recomputation

  Scenario: A candidate within the deadline comes first
    Given two routers that place on 6 engines
    Then a placement with a deadline of 60 ms avoids the holder with a queue of 80 ms
