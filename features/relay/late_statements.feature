Feature: What a server stated before it started again
  An engine leaves, ends and starts again under its id. What it said before its end
  is read after its new entry: it does not hold for the new process.

  Scenario Outline: A late answer of a server that left keeps no calls from the next process
    Given 3 routers that poll one engine for cache events
    When the engine says that it leaves and starts again, while <disturbance>
    Then all routers send calls to the engine

    Examples:
      | disturbance                               |
      | its link to a router holds data for 1.5 s |
      | a router is paused for 1.5 s              |

  Scenario: What a server says that has started again holds for it
    Given 3 routers that poll one engine for cache events
    When the engine starts again and says that it leaves
    Then no router sends calls to the engine

  Scenario Outline: An engine that left takes calls again after its next start, wherever it states its start
    Given 3 routers that poll one engine whose start is stated in <place>
    When the engine says that it leaves and starts again, while <disturbance>
    Then all routers send calls to the engine

    Examples:
      | place                    | disturbance                               |
      | its entry and its report | nothing else happens                      |
      | its entry alone          | nothing else happens                      |
      | its report alone         | nothing else happens                      |
      | nothing                  | nothing else happens                      |
      | nothing                  | its link to a router holds data for 1.5 s |
      | nothing                  | a router is paused for 1.5 s              |

  Scenario Outline: An engine that leaves gets no call while its entry says ready, wherever it states its start
    Given 3 routers that poll one engine whose start is stated in <place>
    When the engine says for <seconds> s that it leaves
    Then no router sends calls to the engine

    Examples:
      | place                    | seconds |
      | its entry and its report | 12      |
      | its report alone         | 12      |
      | nothing                  | 1       |
      | nothing                  | 4       |
      | nothing                  | 12      |

  Scenario: What an engine that does not state its start says after its next start holds for it
    Given 3 routers that poll one engine whose start is stated in nothing
    When the engine starts again and says that it leaves
    Then no router sends calls to the engine

  Scenario: A peer of an older build takes no calls from a server that serves again
    Given a server that states no start, and has said that it leaves
    When it says that it is healthy
    And a peer tells, undated, that it leaves
    Then it is taken to serve

  Scenario: A health check from before its notice does not end a server's leaving
    Given a server that states no start, and has said that it leaves
    When it has answered a health check from before that
    Then it is taken to leave
