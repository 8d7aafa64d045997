Feature: Servers that name a rate limit, before several routers
  The limit is of one server for all routers together. Each scenario holds back
  one thing by which routers share it, and counts the requests of all routers
  that reach a server in any 4 s, from 3 s after it first named the limit.

  Scenario Outline: A server gets no more than the limit that it names, whatever disturbs the routers
    Given <routers> routers before 3 servers, <limited> of them with a limit of <limit> a second
    And the routers are disturbed by <disturbance>
    When <rate> calls a second come for 20 s
    Then each of them gets at most 1.5 times its limit and 5 requests in any 4 s

    Examples:
      | routers | limited | limit | rate | disturbance                              |
      | 5       | one     | 1.7   | 20   | nothing                                  |
      | 8       | one     | 6     | 40   | nothing                                  |
      | 8       | all     | 1.7   | 20   | nothing                                  |
      | 8       | all     | 0.3   | 20   | nothing                                  |
      | 8       | all     | 6     | 40   | nothing                                  |
      | 8       | all     | 1.7   | 20   | routers that cannot reach each other     |
      | 8       | all     | 6     | 40   | routers that cannot reach each other     |
      | 8       | all     | 1.7   | 20   | routers in two parts                     |
      | 8       | all     | 6     | 40   | routers in two parts                     |
      | 8       | all     | 6     | 40   | links that hold messages back for 600 ms |
      | 8       | all     | 6     | 40   | a store that is down for 10 s            |
      | 8       | all     | 6     | 40   | restarts in turn                         |
      | 8       | all     | 6     | 40   | a restart of all routers                 |
      | 5       | all     | 1.7   | 25   | a restart of all routers into a cut      |
      | 20      | all     | 0.5   | 25   | routers that cannot reach each other     |
      | 8       | all     | 6     | 40   | a router that freezes for 3 s            |
      | 8       | all     | 6     | 40   | a limit that falls to a quarter          |
      | 100     | all     | 1.7   | 20   | nothing                                  |

  Scenario: Servers that lower their limit get no more than the lower one
    Given 8 routers before 3 servers, all of them with a limit of 6 a second
    And the routers are disturbed by nothing
    When 40 calls a second come for 1 s
    And the limits fall to 1 a second, while 40 calls a second come for 10 s
    Then each of them gets at most 1.5 times its limit and 5 requests in any 4 s

  Scenario: A router that restarts knows the limits once it is ready
    Given 8 routers before 3 servers, all of them with a limit of 6 a second
    And the routers are disturbed by nothing
    When 40 calls a second come for 1 s
    And a router restarts and reaches no other one for 600 ms
    Then it knows the limits of all servers once it is ready

  Scenario: Servers with a limit get what they take, if the calls are more
    Given 8 routers before 3 servers, all of them with a limit of 6 a second
    And the routers are disturbed by nothing
    When 40 calls a second come for 20 s
    Then each of them gets at least 0.8 times its limit
