Feature: Exchange between routers
  The state of one router reaches the others, with and without the store.

  Scenario: A router that cannot reach the store gets all records from its peers
    Given 3 routers that exchange, of which the first has the servers "a b"
    Then all routers have the servers "a b"
    When the first router removes server "b"
    Then all routers have the servers "a"

  Scenario: Routers find each other through one seed
    Given 4 routers that exchange, of which the first has the servers "a"
    Then each router knows 3 others

  Scenario: A router that stops is removed at once
    Given 3 routers that exchange, of which the first has the servers "a"
    And each router knows 2 others
    When the last router leaves
    Then the others know 1 other
    And the others are notified once that a router leaves

  Scenario: A pause, new weights and calls in flight are broadcast at once
    Given 3 routers that exchange, of which the first has the servers "a"
    And each router knows 2 others
    When the first router has 5 calls at "a" and pauses it for 900 ms
    Then all routers pause calls to "a"
    And the others count 5 calls at "a"
    When the first router announces that "a" has version 4
    Then no router pauses calls to "a"

  Scenario: A request that crashes servers is refused by all routers
    Given 3 routers that exchange, of which the first has the servers "a"
    When the first router sees a request crash 3 servers
    Then all routers refuse that request

  Scenario Outline: A router counts as alive for a time after it was last seen
    Then a router last seen <age> ms ago <state>

    Examples:
      | age   | state       |
      | 100   | is alive    |
      | 5900  | is alive    |
      | 6100  | is not alive |

  Scenario Outline: Records that a few routers read soon reach all of a large fleet
    Given a fleet of <routers> routers in 3 data centres, of which <readers> read every <period> ms for a bound of <bound> ms
    When they exchange for 20 s
    Then the state of a router was confirmed less than <age> ms ago in 99 of 100 samples
    And no data centre gets more than half of its answers from others
    And the other readers of data centres read less than half as often

    Examples:
      | routers | readers | period | bound | age  |
      | 9       | 6       | 400    | 2000  | 2000 |
      | 12      | 2       | 400    | 2000  | 2000 |
      | 24      | 2       | 400    | 2000  | 2000 |
      | 27      | 2       | 400    | 2000  | 2000 |
      | 90      | 2       | 400    | 2000  | 2000 |
      | 450     | 2       | 400    | 2000  | 2000 |
      | 90      | 2       | 800    | 4000  | 3000 |
      | 195     | 2       | 800    | 4000  | 3000 |
      | 450     | 2       | 800    | 4000  | 3000 |

  Scenario Outline: Exchanges that each list a few routers keep all routers known
    Given a fleet of <routers> routers in 3 data centres, of which each knows the first
    When they send each other samples of the routers that they know for 12 s
    Then every router knows all others in the last 4 s

    Examples:
      | routers |
      | 9       |
      | 91      |

  Scenario: Routers notify each other of a server that becomes unresponsive
    Given 3 routers that exchange, of which the first has the servers "a"
    And each router knows 2 others
    Then all routers have the servers "a"
    When connections of the first 2 routers to "a" get no answer
    Then the last router treats "a" as unresponsive

  Scenario: An unresponsive server is announced once a second
    Given 2 routers that exchange, of which the first has the servers "a"
    And each router knows 1 others
    When the first router finds "a" unresponsive 20 times at once
    Then the first router sent each other router one message

  Scenario: Notifications of several engines at once are one message to each router
    Given 3 routers that exchange, of which the first has the servers "a b c d"
    And each router knows 2 others
    When the first router pauses "a", "b" and "c" one by one and announces that "d" has version 4
    Then all routers pause calls to "a"
    And all routers pause calls to "c"
    And the first router sent each other router one message

  Scenario Outline: How long a notification of loaded weights waits
    Then a notification of loaded weights waits <ms> ms in a fleet of <routers>

    Examples:
      | routers | ms  |
      | 8       | 20  |
      | 91      | 200 |
