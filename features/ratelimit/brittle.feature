Feature: Brittle servers, before several routers
  The engines of a service say in all their answers that they are brittle. One
  that has to reject too many requests in a second for want of room ends, with
  all that it runs. The bound is the users': 2 ends and a tenth of the servers.

  Scenario Outline: Brittle servers get more than they have room for, and end
    Given <routers> routers before 3 brittle servers that bear <allowed> rejections a second
    And the routers of the brittle servers are disturbed by <disturbance>
    When <rate> calls of "<route>" a second come for 14 s, <burst> times as many for 3 s of them
    Then at most 2 servers ended
    And at least nine in ten of the calls are served that sound servers serve

    Examples:
      | routers | allowed | route | rate | burst | disturbance                              |
      | 3       | 5       | book | 130  | 1.7 | nothing                                |
      | 3       | 5       | book | 130  | 1   | nothing                                |
      | 3       | 20      | book | 130  | 1.7 | nothing                                |
      | 3       | 0       | book | 130  | 1.7 | nothing                                |
      | 3       | 5       | read  | 130  | 1.7   | nothing                                  |
      | 8       | 5       | book | 130  | 1.7 | nothing                                |
      | 8       | 5       | read  | 130  | 1.7   | nothing                                  |
      | 100     | 5       | book | 100  | 1   | nothing                                |
      | 8       | 5       | book | 100  | 1.7 | restarts in turn                       |
      | 8       | 5       | book | 100  | 1.7 | a router that freezes for 3 s          |
      | 8       | 5       | book | 100  | 1   | routers in two parts                   |
      | 3       | 5       | book | 130  | 1   | a server that ends                     |
      | 8       | 5       | book | 130  | 1   | a server that ends                     |
      | 8       | 5       | book | 100  | 1   | links that hold messages back for 600 ms |

  Scenario Outline: Health checks of routers are what brittle servers have no room for
    Given <routers> routers before 3 brittle servers that bear 5 rejections a second
    And their answers have no length, so that routers check on servers
    When 100 calls of "book" a second come for 14 s, 1.7 times as many for 3 s of them
    Then at most 2 servers ended
    And at least nine in ten of the calls are served that sound servers serve

    Examples:
      | routers |
      | 3       |
      | 8       |

  Scenario: Calls go on at once where servers are brittle no longer
    Given 3 routers before 3 brittle servers that bear 5 rejections a second
    When 100 calls of "book" a second come for 6 s, 1 times as many for 3 s of them
    And the servers are sound again
    And 170 calls of "book" a second come to sound servers for 4 s
    Then no router counts a server as brittle
    And nearly all calls are served, half of them within the objective of 400 ms

  Scenario: A router that starts sends brittle servers what they have no room for
    Given 8 routers before 3 brittle servers that bear 5 rejections a second
    When 100 calls of "book" a second come for 6 s, 1 times as many for 3 s of them
    And a router of the brittle servers restarts
    Then it knows that they are brittle once it is ready

  Scenario: Calls that cannot be served wait until their deadline
    Given 3 routers before 3 brittle servers that bear 5 rejections a second
    When 300 calls of "book" a second come for 14 s, 1 times as many for 3 s of them
    Then at most 2 servers ended
    And no call is refused later than after half of its time
