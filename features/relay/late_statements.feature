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
