Feature: Rollout of weights
  One router orders engines to load weights, a few at a time, and an outdated order has no effect.

  Scenario Outline: Two leaders never give orders at the same time
    Then in any history of renewals, two routers that <how> are never allowed to order within <gap> ms of each other

    Examples:
      | how                                    | gap  |
      | receive each other's announcements     | 2900 |
      | use engines that ignore fencing tokens | 2500 |
      | receive no announcements               | 400  |
      | may restart                            | 400  |
      | started at least 3 s ago               | 2900 |
      | use engines that ignore fencing tokens, and may restart | 2500 |

  Scenario: A restart of the former leader costs no lease duration
    Given a router that held the lease when it was killed
    When it starts again and reads its own record
    Then it takes the lease over and may give orders at once
    And its fencing token is higher than the former one

  Scenario Outline: A router that starts takes over no lease but its own
    Given a router that <how>
    When it starts again and reads the record of "<holder>"
    Then it may acquire the lease only after 3000 ms

    Examples:
      | how                                                 | holder |
      | held the lease when it was killed                   | r1     |
      | held the lease when it was killed, before another   | r1 r0  |
      | held the lease where engines ignore fencing tokens  | r1     |

  Scenario: Where engines ignore fencing tokens, a restarted leader waits for one lease duration
    Given a router that held the lease where engines ignore fencing tokens
    When it starts again and reads its own record
    Then it takes the lease over and may give orders only after 3000 ms

  Scenario Outline: Which engines begin to drain
    Given engines with weights "<weights>" and the newest version 3
    And of these "<loading>" have been loading for 300 ms and "<draining>" drain
    Then the engines "<next>" drain next with a load share of 0.4

    Examples:
      | weights       | loading | draining | next  |
      | 2 2 1 2 2     |         |          | 2 0   |
      | 3 3 3 3 3     |         |          |       |
      | 2 2 2 2 2     | 0 1     |          |       |
      | 2 2 2 2 2     | 0       |          | 2     |
      | 2 2 2 2 2     |         | 0        | 2     |
      | 1 3 2 3 3     |         |          | 0 2   |
      | 2             |         |          | 0     |

  Scenario Outline: An order without an answer occupies a load slot
    Given 6 engines of which <loading> load, <ordered> have been sent an order and the others drain
    Then one more engine may load with a load share of 0.4: <may load>

    Examples:
      | loading | ordered | may load |
      | 1       | 0       | yes      |
      | 1       | 1       | no       |
      | 0       | 2       | no       |
      | 2       | 0       | no       |

  Scenario Outline: How a draining engine swaps its weights
    Then an engine with <active> calls, <unmovable> of them unmovable, that drained for <ms> ms swaps in the mode "<mode>"

    Examples:
      | active | unmovable | ms   | mode        |
      | 0      | 0         | 100  | wait        |
      | 0      | 0         | 250  | finish-runs |
      | 3      | 0         | 250  | reset-runs  |
      | 3      | 1         | 250  | wait        |
      | 3      | 1         | 1300 | reset-runs  |
      | 5      | 3         | 1300 | wait        |
      | 5      | 3         | 2600 | finish-runs |

  Scenario Outline: An engine that no call may use swaps its weights at once
    Then an unusable engine with <active> calls, <unmovable> of them unmovable, swaps in the mode "<mode>" at once

    Examples:
      | active | unmovable | mode        |
      | 0      | 0         | finish-runs |
      | 3      | 0         | reset-runs  |
      | 3      | 1         | finish-runs |

  Scenario Outline: Loads of replaced weights wait for no drain once no call may use them
    Given 6 engines that load weights in 1300 ms and a router that leads
    And 2 calls that no other engine may continue run on each engine that is not loading
    When version 2 became the target <age> ms ago
    Then the first orders are given within <first> s, 2 of them
    And within <all> s all engines have version 2
    And at most 2 engines loaded at the same time

    Examples:
      | age   | first | all |
      | 10600 | 0.15  | 5   |
      | 0     | 1.4   | 9   |

  Scenario: Every engine loads the newest weights while the target version changes quickly
    Given 6 engines that load weights in 1300 ms and a router that leads
    When the versions 2, 3 and 4 become the target 2 s apart
    Then within 12 s all engines have version 4
    And at most 2 engines loaded at the same time

  Scenario: An unchanged drain is announced again at a limited rate
    Given 40 engines that load weights in 1300 ms and a router that leads
    When the versions 2, 3 and 4 become the target 4 s apart
    Then no announcement repeats the one before it within 300 ms

  Scenario: An engine that limits its requests is asked for its status at that rate
    Given 2 engines that load weights in 1500 ms and a router that leads
    And engine e0 takes 2 requests a second
    When the versions 2, 3 and 4 become the target 4 s apart
    Then engine e0 is asked for its status at most 3 times in any s

  # Guards against progress of an earlier process that counts for the next one,
  # where entries do not state the start.
  Scenario Outline: Engines that lose their order by a restart get another one
    Given 4 engines that load weights in 1300 ms and a router that leads
    And each engine starts again <ms> ms after its first order, unstated
    When the versions 2, 3 and 4 become the target 0 s apart
    Then within 16 s all engines have version 4
    And at most 2 engines loaded at the same time

    Examples:
      | ms   |
      | 50   |
      | 700  |
      | 1250 |
      | 1900 |

  Scenario Outline: An engine whose load ended unseen gets its order once it can be read
    Given 4 engines that load weights in 500 ms and a router that leads
    And engine e0 <state> and answers no status for 8 s after that
    When the versions 2, 3 and 4 become the target 0 s apart
    Then within 11 s all engines have version 4

    Examples:
      | state                                     |
      | carries out an order of a former leader   |
      | is reborn with its old weights in a load  |

  Scenario: An engine that resets all calls of the leader loads the newest weights
    Given 4 engines that load weights in 500 ms and a router that leads
    And engine e0 cannot be reached by calls of this router that overlap
    When the versions 2, 3 and 4 become the target 0 s apart
    Then within 6 s all engines have version 4

  Scenario: An engine that only the leader cannot reach is not drained
    Given 4 engines that load weights in 500 ms and a router that leads
    And engine e0 cannot be reached by calls of this router
    And engine e0 answers no status for 30 s
    When the versions 2, 3 and 4 become the target 4 s apart
    Then no announcement drains engine e0
    And engine e0 is asked for its status at most 1 times in any s

  Scenario: An engine that this router pauses leaves no load slot empty
    Given engines with weights "2 2 2 2 2 2" and the newest version 3
    And of these "" have been loading for 300 ms and "" drain
    When this router pauses its calls to 2 of them
    Then the engines "2 4" drain next with a load share of 0.4

  Scenario: An order that somebody else answers counts as carried out
    Given 4 engines that load weights in 500 ms and a router that leads
    And the first order to each engine is answered 200 by somebody else
    When the versions 2, 3 and 4 become the target 0 s apart
    Then within 12 s all engines have version 4

  Scenario: An order without an answer has no effect after a newer one
    Given 4 engines that load weights in 500 ms and a router that leads
    And the first order to each engine gets no answer and arrives 3 s later
    When the versions 2, 3 and 4 become the target 2 s apart
    Then within 14 s all engines have version 4
    And no engine returned to an older version

  Scenario: A leader whose lease is not renewed gives no order
    Given 4 engines that load weights in 500 ms and a router that leads
    When the store is unavailable for 4 s
    And the versions 2, 3 and 4 become the target 0 s apart
    Then no order is given during the outage

  Scenario: An order whose connection opens late is not sent after the lease
    Given 4 engines that load weights in 500 ms and a router that leads
    And the connection for each order opens after 1100 ms
    When the store is unavailable from a renewal on, and version 2 becomes the target 2 s later
    Then an order waits for its connection, but none is sent later than 2500 ms after the renewal

  Scenario: A leader keeps its lease when the answers to renewals are lost
    Given 4 engines that load weights in 500 ms and a router that leads
    When the answers to 1 renewals are lost
    Then the router gives an order within 2 s

  Scenario Outline: A new leader waits only for a former leader that may still give orders
    Given a router to which the leader announced an order 100 ms ago
    When it acquires the lease after the leader <end>
    Then it may give orders <when>

    Examples:
      | end                 | when               |
      | released it         | at once            |
      | stopped renewing it | only after 2900 ms |

  Scenario: A restarted leader gives its first order as soon as the directory is ready
    Given 4 engines that load weights in 500 ms and a router that leads
    When the router is killed, starts again and the directory is ready after 1 s
    Then the router gives an order within 0.5 s

  Scenario: A follower acquires the lease at the moment when it expires
    Given 4 engines that load weights in 500 ms and a router that leads
    When the router reads 0.3 s after a renewal is due that another router holds the lease
    Then the router holds the lease 3 to 3.1 s after it first read that record

  Scenario: A former process's record that the store writes late extends no lease
    Given 4 engines that load weights in 500 ms and a router that leads
    When the router is killed, starts again and its first read is answered 2 s later
    And the store writes a record of the former process during that read
    Then the router's lease ends within 3 s of the late record

  Scenario: A router that stops releases the leader lease
    Given 4 engines that load weights in 500 ms and a router that leads
    When the router stops
    Then the lease is free at once
