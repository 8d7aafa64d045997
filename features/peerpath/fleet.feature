Feature: Routers that are partitioned from all servers
  Callers, the store and the other routers still reach them. Connections to
  servers hang, are reset, or live on while new ones are refused. Bounds are the
  users', from 3 s after the partition began.

  Scenario Outline: Routers that are partitioned from all servers serve what others can
    Given <routers> routers before servers of two services
    And <choice> of them are partitioned from all servers, <face>
    And the requests of a route are <requests>
    And meanwhile there is <disturbance>
    When <rate> first attempts a second come for 28 s
    Then partitioned routers serve two thirds of what the others serve
    And no request runs twice that may run once, or though it was refused
    And each request that was read whole is answered or refused
    And afterwards they serve as the others do, and reach servers directly

    Examples:
      | routers | choice                 | face    | rate | requests  | disturbance         |
      | 5       | 2                      | silent  | 30   | alike     | nothing             |
      | 5       | 2                      | reset   | 30   | alike     | nothing             |
      | 5       | 2                      | refused | 30   | alike     | nothing             |
      | 8       | 5                      | silent  | 30   | alike     | nothing             |
      | 8       | 5                      | reset   | 30   | alike     | nothing             |
      | 8       | 5                      | refused | 30   | alike     | nothing             |
      | 8       | all of one data centre | silent  | 30   | alike     | nothing             |
      | 8       | all of one data centre | reset   | 30   | alike     | nothing             |
      | 8       | all of one data centre | refused | 30   | alike     | nothing             |
      | 8       | 5                      | silent  | 30   | alike     | kills of routers    |
      | 8       | 5                      | reset   | 30   | alike     | a new configuration |
      | 8       | 5                      | silent  | 30   | alike     | a second partition  |
      | 8       | 3                      | refused | 30   | alike     | a second partition  |
      | 100     | 50                     | silent  | 30   | alike     | nothing             |
      | 5       | 2                      | reset   | 30   | different | nothing             |
      | 8       | 5                      | reset   | 30   | different | nothing             |

  Scenario Outline: Partitions in series leave nothing behind
    Given 8 routers before servers of two services
    And 3 of them are partitioned from all servers, <first>
    And 3 more are partitioned after that, <second>
    When 30 first attempts a second come for 44 s
    Then partitioned routers serve two thirds of what the others serve
    And no request runs twice that may run once, or though it was refused
    And each request that was read whole is answered or refused
    And afterwards they serve as the others do, and reach servers directly

    Examples:
      | first  | second  |
      | silent | reset   |
      | reset  | refused |

  Scenario Outline: Callers are refused in time while all servers are down
    Given 8 routers before servers of two services
    And all servers end <manner>
    When 30 first attempts a second come for 20 s
    Then each first attempt is refused before its deadline
    And no request runs twice that may run once, or though it was refused
    And each request that was read whole is answered or refused

    Examples:
      | manner       |
      | with a reset |
      | silently     |

  Scenario: Without a partition no request takes a detour
    Given 8 routers before servers of two services
    When 30 first attempts a second come for 10 s
    Then all requests reach servers directly
    And no request runs twice that may run once, or though it was refused
    And each request that was read whole is answered or refused
