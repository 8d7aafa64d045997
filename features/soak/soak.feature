Feature: Fault injection of the soak test
  A run that injects nothing, or other faults at each run, proves nothing.

  Scenario: The seed decides the faults
    When soak faults for 60000 ms are planned with seeds 1 to 12
    Then each soak plan is repeated exactly by its seed and no two are equal
    And all soak faults end before the time without faults
    And every kind of soak fault is in at least one plan

  Scenario: A cut relay passes nothing on until it is healed
    Given a soak relay in front of a log stand-in
    When "a" is appended through the soak relay
    And the soak relay is cut
    And "b" is appended through the soak relay without an answer
    And the soak relay is healed
    And "c" is appended through the soak relay
    Then the log behind the soak relay holds "a, c"

  Scenario: Overlapping faults of one target are not injected together
    When soak faults of one router overlap
    Then the soak injector ran one fault at a time

  # Guards against runs that cannot be repeated, or in which no router is
  # paused while a server restarts.
  Scenario: The seed decides requests, kills and pauses of the restart soak
    When the restart soak is planned with seeds 1 to 12
    Then each restart soak is repeated exactly by its seed and no two are equal
    And servers are down for "0 0.1 0.5 1.2" s, with the same and other software
    And in each plan a pause of a router covers the time a server is down
    And some pauses of two routers overlap

  # Guards against a check that passes broken answers. A piece may be of another
  # process (p), of other software (s), of another request (r) or cut inside (-).
  Scenario Outline: The restart soak judges the pieces of answers
    When the restart soak judges "<answers>" on route "<route>"
    Then the restart soak finds "<kinds>"

    Examples:
      | route | answers                | kinds                                       |
      | talk  | 1 2 3.                 | nothing                                     |
      | talk  | 1 2!                   | nothing                                     |
      | talk  | 1 2 3p.                | nothing                                     |
      | talk  | 1 2 3-! then 3p.       | nothing                                     |
      | talk  | 1 3.                   | piece missing                               |
      | talk  | 1! then 3p.            | piece missing                               |
      | talk  | 1 2 2 3.               | piece twice or out of order                 |
      | talk  | 1 2! then 2p 3p.       | piece twice or out of order                 |
      | talk  | 1 2 3s.                | pieces of two software versions             |
      | talk  | 1 2! then 3s.          | pieces of two software versions             |
      | talk  | 1 2.                   | end before the last piece                   |
      | talk  | 1! then 2p.            | end before the last piece                   |
      | talk  | 1 2 3-.                | event cut inside, end before the last piece |
      | talk  | 1 2r 3.                | piece of another request                    |
      | talk  | 1 2- 3p.               | bytes that are no piece, end before the last piece |
      | once  | 1 2 3p.                | pieces of two processes                     |
      | book  | 1 2 3.                 | nothing                                     |
      | book  | 1 2!                   | nothing                                     |
      | book  | 1 2.                   | plain body cut                              |
      | book  | 1 2 3-.                | plain body cut                              |
      | read  | 1 2! then 1p 2p 3p.    | nothing                                     |
      | read  | 1 2 3p.                | pieces of two processes                     |

  # Guards against broken answers that look complete, and streams that are joined
  # wrongly, as servers of a real fleet restart while routers are paused.
  Scenario Outline: Answers hold while servers restart and routers are paused
    When the restart soak runs for 8 s with seed <seed>
    Then no answer of the restart soak is cut, joined or out of order
    And some answers of the restart soak were broken off

    Examples:
      | seed |
      | 1    |

  # Guards against whole answers that are refused, and streams that callers cannot
  # take up at another router. The ids of the events rise by 3.
  Scenario: Each request is answered by a fleet without disturbance
    When the restart soak runs calm for 4 s with seed 2
    Then no answer of the restart soak is cut, joined or out of order
    And each request of the restart soak is answered

  # Guards against broken answers of plain services that look complete, on the
  # own interface.
  Scenario: Calls hold while plain services restart and routers are paused
    When the soak of the own interface runs for 8 s with seed 1 and faults "servers-restart"
    Then no promise of the own interface is broken
