Feature: Exchange between routers
  What one router knows reaches the others, with and without the store.

  Scenario: A router that cannot reach the store learns all from its peers
    Given 3 routers that exchange, of which the first knows servers "a b"
    Then all routers know the servers "a b"
    When server "b" leaves at the first router
    Then all routers know the servers "a"

  Scenario: Routers find each other through one seed
    Given 4 routers that exchange, of which the first knows servers "a"
    Then each router knows 3 others

  Scenario: A router that stops is forgotten at once
    Given 3 routers that exchange, of which the first knows servers "a"
    And each router knows 2 others
    When the last router leaves
    Then the others know 1 other
    And the others heard once that a router leaves

  Scenario: A pause, new weights and calls in flight are told at once
    Given 3 routers that exchange, of which the first knows servers "a"
    And each router knows 2 others
    When the first router has 5 calls at "a" and pauses it for 900 ms
    Then all routers keep calls away from "a"
    And the others count 5 calls at "a"
    When the first router tells that "a" has version 4
    Then no router keeps calls away from "a"

  Scenario: A request that crashes servers is known everywhere
    Given 3 routers that exchange, of which the first knows servers "a"
    When the first router sees a request crash 3 servers
    Then all routers refuse that request

  Scenario Outline: A router counts as alive while anyone hears it
    Then a router heard <age> ms ago <state>

    Examples:
      | age   | state       |
      | 100   | is alive    |
      | 5900  | is alive    |
      | 6100  | is not alive |

  Scenario Outline: What a few routers read reaches all of a large fleet soon
    Given a fleet of <routers> routers in 3 data centres, of which 2 in each read every 400 ms
    When they exchange for 20 s
    Then what a router knows was confirmed less than <age> ms ago, in 99 of 100 looks
    And no data centre gets more than half of its answers from others

    Examples:
      | routers | age  |
      | 9       | 2000 |
      | 90      | 2000 |
      | 450     | 2000 |

  Scenario Outline: Exchanges that name a few routers keep all known
    Given a fleet of <routers> routers in 3 data centres, of which each knows the first
    When they name some of those that they know to each other for 12 s
    Then every router knows all others in the last 4 s

    Examples:
      | routers |
      | 9       |
      | 91      |

  Scenario: Routers tell each other of a server that falls silent
    Given 3 routers that exchange, of which the first knows servers "a"
    And each router knows 2 others
    Then all routers know the servers "a"
    When connections of the first 2 routers to "a" get no answer
    Then the last router takes "a" for silent

  Scenario: A server that stays silent is told once a second
    Given 2 routers that exchange, of which the first knows servers "a"
    And each router knows 1 others
    When the first router finds "a" silent 20 times at once
    Then the first router told each other router once

  Scenario: News of many engines at once are one message to each router
    Given 3 routers that exchange, of which the first knows servers "a b c d"
    And each router knows 2 others
    When the first router pauses "a", "b" and "c" one by one and tells that "d" has version 4
    Then all routers keep calls away from "a"
    And all routers keep calls away from "c"
    And the first router told each other router once

  Scenario Outline: When a fleet hears of loaded weights
    Then the news of loaded weights wait <ms> ms in a fleet of <routers>

    Examples:
      | routers | ms  |
      | 8       | 20  |
      | 91      | 200 |
