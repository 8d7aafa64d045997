Feature: Connections of callers while the router stops
  P4: a request that was accepted is answered, or refused with a true verdict.

  Scenario Outline: A stop closes only connections that bring no request
    Given a connection of a caller on which <state>
    When the router closes idle connections
    And the rest of a request arrives <ms> ms later
    Then the request during the stop is <outcome>

    Examples:
      | state                   | ms   | outcome      |
      | nothing has arrived     | 0    | answered     |
      | nothing has arrived     | 500  | answered     |
      | half a head has arrived | 500  | answered     |
      | half a head has arrived | 1500 | answered     |
      | nothing has arrived     | 1500 | not answered |
      | a request was answered  | 100  | not answered |
