Feature: A leader that does not reach the engines hands over
  An order has to come from the leader's own VM. The store and the other routers
  still reach a leader that is partitioned from engines.

  Scenario Outline: Engines get new weights though the leader is partitioned from them
    Given <routers> routers that elect a leader, before 6 engines, with <calls> calls a second
    When <who> is partitioned from <engines> engines for 12 s, <face>, and weights are named <delay> s later
    Then all engines have the newest weights within 8 s of the naming
    And orders come from the holders of the lease, and the fence never goes back
    And the lease gets at most <changes> new holders

    Examples:
      | routers | who                                 | engines | face    | calls | delay | changes |
      | 5       | the leader                          | all     | silent  | 10    | 0     | 2       |
      | 5       | the leader                          | all     | reset   | 10    | 0     | 2       |
      | 5       | the leader                          | all     | refused | 10    | 0     | 2       |
      | 5       | the leader                          | 2       | silent  | 10    | 0     | 2       |
      | 5       | the leader                          | 2       | reset   | 10    | 0     | 2       |
      | 5       | the leader                          | all     | silent  | 0     | 0     | 2       |
      | 5       | the leader                          | all     | reset   | 0     | 3     | 2       |
      | 8       | the leader and the 4 next in rank   | all     | silent  | 20    | 0     | 3       |
      | 8       | the leader and the 4 next in rank   | all     | reset   | 20    | 2     | 3       |
      | 40      | the leader and the 20 next in rank  | all     | silent  | 40    | 0     | 3       |

  # Guards against a lease that expires while the routers that may take it do
  # not know yet that a partition cuts them off from the engines.
  Scenario: The lease of a leader that ended goes to a router that reaches the engines
    Given 40 routers that elect a leader, before 6 engines, with 40 calls a second
    When the leader ends, the 20 next in rank are partitioned from all engines for 12 s, and weights are named
    Then all engines have the newest weights within 12 s of the naming
    And orders come from the holders of the lease, and the fence never goes back
    And the lease gets at most 2 new holders

  Scenario Outline: An order that waits for its connection is not sent after the lead has ended
    Given 5 routers that elect a leader, before 6 engines, with 0 calls a second
    When weights are named, and the leader <ending> while an order waits for its connection
    Then all engines have the newest weights within 8 s of the naming
    And orders come from the holders of the lease, and the fence never goes back

    Examples:
      | ending     |
      | hands over |
      | stops      |

  Scenario: A leader hands over where engines ignore fencing tokens
    Given 5 routers that elect a leader, before 6 engines that ignore fences, with 10 calls a second
    When the leader is partitioned from all engines for 12 s, silent, and weights are named 0 s later
    Then all engines have the newest weights within 12 s of the naming
    And orders come from the holders of the lease, and the fence never goes back
    And two holders never order the same engine within 3000 ms

  Scenario Outline: A leader keeps the lease when nobody else would do better
    Given 5 routers that elect a leader, before 6 engines, with <calls> calls a second
    When <fault> for 12 s, and weights are named
    Then the lease gets at most 0 new holders

    Examples:
      | fault                                                   | calls |
      | one engine ends silently                                | 10    |
      | one engine ends with a reset                            | 0     |
      | all routers are partitioned from all engines, silent    | 10    |
      | all routers are partitioned from all engines, reset     | 0     |

  Scenario: Routers that each miss other engines take turns at a bounded rate
    Given 3 routers that elect a leader, before 6 engines, with 10 calls a second
    When each router is partitioned from 2 other engines for 30 s, silent, and weights are named
    Then all engines have the newest weights within 16 s of the naming
    And the lease gets at most 6 new holders
    And orders come from the holders of the lease, and the fence never goes back

  Scenario Outline: A partition that ends or comes again leaves the lease with one router
    Given 5 routers that elect a leader, before 6 engines, with 10 calls a second
    When <who> is partitioned from all engines <times> times for <length> ms, <apart> ms apart, <face>
    Then the lease gets at most <changes> new holders
    And all routers may lead again
    And 1 version that is named then reaches all engines within 8 s

    Examples:
      | who        | times | length | apart | face   | changes |
      | the leader | 1     | 12000  | 12000 | silent | 1       |
      | the leader | 1     | 12000  | 12000 | reset  | 1       |
      | a follower | 1     | 12000  | 12000 | silent | 0       |
      | the leader | 12    | 500    | 1000  | silent | 1       |
      | the leader | 6     | 2000   | 4000  | reset  | 1       |
