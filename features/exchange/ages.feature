Feature: Ages in the messages of routers
  An age counts from when a fact was true. Each hop of a message takes time, and
  a fact that circulates must not become younger by it.

  Scenario Outline: A confirmation of the store that circulates is not renewed
    Given <routers> exchanging routers with a one-way delay of <ms> ms
    When the store confirms the servers to the first router for the last time
    And <s> s of exchanges pass
    Then no router takes that confirmation for younger than it is

    Examples:
      | routers | ms  | s  |
      | 3       | 1   | 5  |
      | 8       | 1   | 5  |
      | 8       | 60  | 5  |
      | 8       | 250 | 5  |
      | 8       | 250 | 30 |

  Scenario Outline: A confirmation reaches all routers
    Given <routers> exchanging routers with a one-way delay of <ms> ms
    When the store confirms the servers to the first router for the last time
    And 3 s of exchanges pass
    Then each router has the confirmation, at most <late> ms too old

    Examples:
      | routers | ms | late |
      | 3       | 1  | 100  |
      | 8       | 1  | 100  |
      | 8       | 60 | 1000 |

  Scenario Outline: A router that ended counts as dead however slow the messages are
    Given <routers> exchanging routers with a one-way delay of <ms> ms
    When the process of the last router ends
    And 8 s of exchanges pass
    Then no router counts it as alive
    And each router counts the others as alive

    Examples:
      | routers | ms  |
      | 8       | 1   |
      | 8       | 60  |
      | 8       | 250 |

  Scenario: Messages that waited for a frozen router bring it no recent confirmation
    Given 8 exchanging routers with a one-way delay of 1 ms
    When the store confirms the servers to the first router for the last time
    And the last router is frozen for 5 s
    And 0.02 s of exchanges pass
    Then no router takes that confirmation for younger than it is

  Scenario Outline: A crash of a request is not younger at the routers that hear of it
    Given <routers> exchanging routers with a one-way delay of <ms> ms
    When a request crashes 3 servers at the first router
    And 4 s of exchanges pass
    Then all routers refuse the request, and none for longer than the first

    Examples:
      | routers | ms  |
      | 3       | 1   |
      | 8       | 1   |
      | 8       | 60  |
      | 8       | 250 |
