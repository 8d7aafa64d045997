Feature: What brittle servers state, and the ledger of their slots
  A server states a whole number of rejections that it bears in a second. The
  home of a server lends its slots to the routers.

  Scenario Outline: A malformed statement changes what is known of a server
    Then a statement "<value>" is read as <meaning>

    Examples:
      | value | meaning    |
      | 5     | brittle    |
      | 0     | brittle    |
      | 999999 | brittle   |
      | no    | malformed  |
      | -1    | malformed  |
      | 1.5   | malformed  |
      | ²     | malformed  |
      | many digits | malformed |
      | two values  | malformed |
      | empty       | malformed |

  Scenario Outline: The home of a server lends more slots than it has
    Given a ledger of 6 slots that is <age> ms old
    When routers "<asks>" ask in this order
    Then they get "<grants>"

    Examples:
      | age  | asks                          | grants  |
      | 100  | a:0:2                         | 0       |
      | 1000 | a:0:2 b:0:6 c:0:1             | 2 4 0   |
      | 1000 | a:0:6 a:4:0 b:0:6             | 6 0 2   |
      | 1000 | a:9:0 b:0:1 a:5:0 b:0:2       | 0 0 0 1 |

  Scenario: A server that has just started beside brittle ones counts as sound
    Given two servers of a service, of which one has stated that it is brittle
    Then no call is sent to either without a slot
    And a call is sent to a server of another service
