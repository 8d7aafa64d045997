Feature: Cache events
  Routers follow what engines and kept stores hold.

  Scenario Outline: Polls are shared out, and every router looks at the store
    Given <routers> routers, 1 engine and 1 kept store that take 8 polls each
    Then the polls of <engine> routers wait at the engine, and no other polls it
    And the polls of <store> routers wait at the store, and <look> look at it now and then

    Examples:
      | routers | engine | store | look |
      | 4       | 4      | 4     | 0    |
      | 20      | 5      | 5     | 15   |
      | 40      | 0      | 5     | 35   |

  Scenario: A kept store that answers is used by every router
    Given a router whose polls do not wait at a kept store
    When the store answers its look with the part "p"
    Then the store is live and holds "p"
    When the store refuses the next look because of too many polls
    Then the store is live and holds "p"
    When the store does not answer the next look
    Then the store is not live

  Scenario: What was dropped unheard is forgotten
    Given a router whose polls do not wait at a kept store
    When the store answers its look with the part "p"
    And the store answers its look with a gap and the part "q"
    Then the store is live and holds "q"
    And the store is not known to hold "p"
    When the store starts anew and answers its look with the part "r"
    Then the store is live and holds "r"
    And the store is not known to hold "q"
