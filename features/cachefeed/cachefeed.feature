Feature: Cache events
  Routers track what engines and KV cache stores hold.

  Scenario Outline: Routers share out the long polls, and all of them poll the store
    Given <routers> routers, 1 engine and 1 KV cache store that accept 8 long polls each
    Then <engine> routers long-poll the engine, and no other router polls it
    And <store> routers long-poll the store, and <others> poll it at intervals

    Examples:
      | routers | engine | store | others |
      | 4       | 4      | 4     | 0      |
      | 20      | 5      | 5     | 15     |
      | 40      | 0      | 5     | 35     |

  Scenario: A router uses a KV cache store until the store stops answering
    Given a router that polls a KV cache store at intervals
    When the store answers the poll with the part "p"
    Then the store is live and holds "p"
    When the store refuses the next poll because of too many polls
    Then the store is live and holds "p"
    When the store does not answer the next poll
    Then the store is not live

  Scenario: A gap or a restart drops the known cache contents of a holder
    Given a router that polls a KV cache store at intervals
    When the store answers the poll with the part "p"
    And the store answers the poll with a gap and the part "q"
    Then the store is live and holds "q"
    And the store is not known to hold "p"
    When the store restarts and answers the poll with the part "r"
    Then the store is live and holds "r"
    And the store is not known to hold "q"

  # Guards against parts that only an earlier process had, where the next one
  # states the same epoch.
  Scenario: A sequence that begins anew drops the known cache contents of a holder
    Given a router that polls a KV cache store at intervals
    When the store answers the poll with the part "p", its event 9
    And the store answers the poll with the part "r", its event 2
    Then the store is live and holds "r"
    And the store is not known to hold "p"
    When the store answers the poll with the part "q", its event 3
    Then the store is live and holds "q"
    And the store is live and holds "r"

  Scenario: An engine that limits its requests is not polled until the limit ends
    Given 4 routers, 1 engine and 1 KV cache store that accept 8 long polls each
    When the engine names a limit and answers the open polls
    Then 0 routers long-poll the engine, and no other router polls it
    When the limit of the engine ends
    Then 4 routers long-poll the engine, and no other router polls it
