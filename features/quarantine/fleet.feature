Feature: A request that ends servers, at several routers
  A request that ends each server that begins to run it comes again at any
  router. Each scenario holds back one thing by which a router learns that a
  server has ended, and counts the sends over all routers.

  Scenario Outline: A request that ends servers is not sent on, whatever holds back the news
    Given 5 routers before 5 servers, disturbed by <disturbance>
    When a request that ends servers comes again and again at any router for 30 s
    Then it reaches servers at most 3 times later than 3 s after the third end

    Examples:
      | disturbance                                       |
      | nothing                                           |
      | servers that return with a new id                 |
      | servers that return at another address            |
      | servers that never return                         |
      | a store that is down                              |
      | a store that refuses all routers                  |
      | a store that drops its history                    |
      | a store that returns to a copy of the past        |
      | heartbeats that arrive late                       |
      | servers that end silently before impatient callers |
      | routers that cannot reach each other              |
      | servers that fail half of the requests            |
      | many other broken connections                     |
      | routers that restart in turn                      |
      | routers that restart all at once                  |

  Scenario: A request that ends all three servers of a service is not sent on after they return
    Given 8 routers before 3 servers that soon return with a new id and state no start time
    When a request that ends servers comes again and again at any router for 30 s
    Then it reaches servers at most 3 times later than 3 s after the third end

  Scenario Outline: A request that ends servers is not sent on in several disturbances at once
    Given a fleet that is disturbed by the choices of seed <seed>
    When a request that ends servers comes again and again at any router for 30 s
    Then it reaches servers at most 3 times later than 3 s after the third end

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |

  Scenario Outline: Routers that reached neither peers nor the store stop once they do
    Given a fleet that is disturbed by the choices of seed <seed>
    When a request that ends servers comes again and again at any router for 30 s
    Then it reaches servers at most 3 times later than 3 s after the store refused a router

    Examples:
      | seed |
      | 70   |
      | 73   |
