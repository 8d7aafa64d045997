Feature: What routers tell each other
  Readings, demand, documents and notices arrive, within bounds.

  Scenario: Readings survive packing within their stated error
    Then any peering readings are within their error after a round trip

  Scenario: A reading with an unknown identity or engine is left out
    Given two peering load exchanges that know the same engine
    When the peering share arrives without its identity
    Then the peering reading is left out
    When the peering share arrives with its identity
    Then the peering reading gives the report of the engine
    When the engine restarts and only the peering reading arrives
    Then the peering reading is left out

  Scenario: Every engine is polled by one router, and few move
    Then peering divides 700 engines over 50 routers, each to one of them
    And without one peering router only its engines move

  Scenario: Demand is summed once over routers and data centres
    Given peering demand in 3 data centres of 3 routers, each with 2 requests/s
    When the peering demand was exchanged for 3 rounds
    Then every router hears a peering demand of 18 requests/s
    When 31000 ms pass without peering demand
    Then every router hears a peering demand of 2 requests/s

  Scenario Outline: Cache events with holes are reported as gaps
    Then peering events <numbers> of a page up to <next> after <after> have a gap: <gap>

    Examples:
      | numbers | next | after | gap |
      | 0,1,2   | 3    | -1    | no  |
      | 3,4     | 5    | 2     | no  |
      | 3,5     | 6    | 2     | yes |
      | 9       | 10   | 2     | yes |
      | none    | 3    | 2     | no  |
      | none    | 7    | 2     | yes |

  Scenario: The budget bounds what is read of cache events
    Then a peering budget of 1000 bytes/s lets 10 s pass between answers of 10000 bytes

  Scenario: Two routers exchange everything over the network
    Given 2 peering routers, the first one with a document at version 4
    Then the second peering router gets the document at version 4
    When the first peering router publishes the document at version 9
    Then the second peering router gets the document at version 9
    And both peering routers get the load of the one engine
    And both peering routers know a demand of 7 requests/s
    And the second peering router is warmed with the first's hot prefixes
    When the first peering router finds a server leaving
    Then the second peering router takes the server as leaving
    When a request crashes an engine at the first peering router
    Then the second peering router suspects the request
    And a claim forwarded to the first peering router is answered
    And a claim forwarded to an unknown peering router fails
