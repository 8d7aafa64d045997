Feature: Rollout of weights
  One router orders engines to load, a few at a time, and a stale order does no harm.

  Scenario Outline: Two leaders never give orders at the same time
    Then in any history of renewals, two routers that <how> are never allowed to order within <gap> ms

    Examples:
      | how                  | gap  |
      | hear each other      | 2900 |
      | do not trust fences  | 2500 |
      | hear nothing         | 400  |

  Scenario Outline: Which engines begin to drain
    Given engines with weights "<weights>" and the newest version 3
    And of these "<loading>" load since 300 ms and "<draining>" drain
    Then the engines "<next>" drain next with a share of 0.4

    Examples:
      | weights       | loading | draining | next  |
      | 2 2 1 2 2     |         |          | 2 0   |
      | 3 3 3 3 3     |         |          |       |
      | 2 2 2 2 2     | 0 1     |          |       |
      | 2 2 2 2 2     | 0       |          | 2     |
      | 2 2 2 2 2     |         | 0        | 2     |
      | 1 3 2 3 3     |         |          | 0 2   |
      | 2             |         |          | 0     |

  Scenario Outline: How a draining engine swaps its weights
    Then an engine with <active> calls, <fixed> of them fixed, drained for <ms> ms swaps by "<mode>"

    Examples:
      | active | fixed | ms   | mode        |
      | 0      | 0     | 100  | wait        |
      | 0      | 0     | 250  | finish-runs |
      | 3      | 0     | 250  | reset-runs  |
      | 3      | 1     | 250  | wait        |
      | 3      | 1     | 1300 | reset-runs  |
      | 5      | 3     | 1300 | wait        |
      | 5      | 3     | 2600 | finish-runs |

  Scenario: Every engine gets the newest weights though versions follow each other
    Given 6 engines that load weights in 1300 ms and a router that leads
    When the versions 2, 3 and 4 are named 2 s apart
    Then within 12 s all engines have version 4
    And at most 2 engines loaded at any time

  Scenario: An unchanged drain is announced again only now and then
    Given 40 engines that load weights in 1300 ms and a router that leads
    When the versions 2, 3 and 4 are named 4 s apart
    Then no announcement repeats the one before it within 300 ms

  Scenario: An order without an answer is not carried out after a newer one
    Given 4 engines that load weights in 500 ms and a router that leads
    And the first order to each engine gets no answer and is carried out 3 s later
    When the versions 2, 3 and 4 are named 2 s apart
    Then within 14 s all engines have version 4
    And no engine went back to an older version

  Scenario: A router whose membership is not renewed gives no order
    Given 4 engines that load weights in 500 ms and a router that leads
    When the store is out for 4 s
    And the versions 2, 3 and 4 are named 0 s apart
    Then no order was given in the outage's last second

  Scenario: A leader whose renewals lost their answers leads on
    Given 4 engines that load weights in 500 ms and a router that leads
    When the answers to 1 renewals are lost
    Then the router leads again within 2 s

  Scenario Outline: A new leader waits only for a leader that may still order
    Given a router that heard an order of the leader 100 ms ago
    When it takes the lead after the leader <end>
    Then it may order <when>

    Examples:
      | end         | when            |
      | gave it up  | at once         |
      | fell silent | only after 2900 ms |

  Scenario: A router that stops gives the lead up
    Given 4 engines that load weights in 500 ms and a router that leads
    When the router stops
    Then the lead is free at once
