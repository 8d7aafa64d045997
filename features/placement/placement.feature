Feature: Placement
  Routers with separate state agree, spread load, and never use what is out.

  Scenario Outline: No policy names an engine that it must not use
    Then the placement policy "<policy>" names only usable engines, for any table

    Examples:
      | policy       |
      | cost         |
      | least-loaded |
      | prefix-tree  |
      | random       |
      | rendezvous   |
      | round-robin  |

  Scenario: Routers that have just started place a prefix alike
    Then 8 routers without state place each of 50 prefixes on one engine

  Scenario: Few prefixes move when an engine comes
    Then by the placement ring at most 15 of 100 prefixes move when engine 20 joins 19

  Scenario: A router learns a placement from the notice of a peer
    Given two routers that place on 6 engines
    When the first router places a prompt where the ring would not
    And the second router hears the placement notices
    Then the second router places the prompt on the same engine

  Scenario: A hot prefix spreads with its load and shrinks again
    Given two routers that place on 6 engines
    Then at 5 requests/s the placement of one prefix uses 1 engine
    And at 300 requests/s the placement of one prefix uses at least 3 engines
    And at 5 requests/s the placement of one prefix uses 1 engine

  Scenario: Notices keep to their budget and prefer what is recomputed
    Then placement notices of 200 placements in a second stay within 4000 bytes and keep the recomputed ones

  Scenario: A candidate that keeps the deadline goes first
    Given two routers that place on 6 engines
    Then a placement with a deadline of 60 ms leaves the holder with a queue of 80 ms
