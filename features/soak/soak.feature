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

  # Guards against stand-ins that state their process in each run, so that a
  # router may rely on a statement that the users' machines do not make.
  Scenario: The seed decides what servers state of their process
    When the statements of the restart soak are chosen with seeds 1 to 50
    Then all processes of some runs state "entry,report" of their start
    And all processes of some runs state "entry" of their start
    And all processes of some runs state "report" of their start
    And all processes of some runs state "-" of their start
    And in some runs each statement is made by some servers only
    And in some runs each statement is made since an upgrade or until it
    And some runs remove entries of servers that live, and some do not

  # Guards against a statement that is switched off and made nevertheless.
  Scenario Outline: Stand-ins of the restart soak state what they are told to
    Given a stand-in of the restart soak of kind "engine" that states "<states>"
    Then its entry has a start: <entry>
    And its answers have "<answers>" of the start and the epoch

    Examples:
      | states             | entry | answers      |
      | entry,report,epoch | yes   | report,epoch |
      | entry              | yes   | -            |
      | report             | no    | report       |
      | epoch              | no    | epoch        |
      | -                  | no    | -            |

  # Guards against a plain server that states its start though it is not to.
  Scenario: Plain servers of the restart soak need not state their start
    Given a stand-in of the restart soak of kind "server" that states "-"
    Then its entry has a start: no

  # Guards against an epoch that stays the same over a restart.
  Scenario: The epoch of cache events is another one after a restart
    Given a stand-in of the restart soak of kind "engine" that states "epoch"
    Then no two starts of the stand-in have the same epoch

  # Guards against broken answers that look complete, and streams that are joined
  # wrongly, as servers of a real fleet restart while routers are paused.
  Scenario Outline: Answers hold while servers restart and routers are paused
    When the restart soak runs for <seconds> s with seed <seed> and statements "<states>"
    Then no answer of the restart soak is cut, joined or out of order
    And some answers of the restart soak were broken off

    Examples:
      | seconds | seed | states             |
      | 8       | 1    | entry,report,epoch |

  # Guards against the same where servers state their start in one place alone, or
  # state nothing of their process, or some of them do, and where the entries of
  # servers that live are removed and come again.
  Scenario Outline: Answers hold whatever servers state of their process
    When the restart soak runs for 12 s with seed <seed>
    Then servers of the restart soak state "<states>", otherwise "<otherwise>"
    And no answer of the restart soak is cut, joined or out of order
    And some answers of the restart soak were broken off

    Examples:
      | seed | states       | otherwise                 |
      | 96   | entry        | entry,epoch, by software  |
      | 33   | report,epoch | entry,epoch, by servers   |
      | 34   | -            | no                        |

  # Guards against whole answers that are refused, and streams that callers cannot
  # take up at another router. The ids of the events rise by 3.
  Scenario Outline: Each request is answered by a fleet without disturbance
    When the restart soak runs calm for <seconds> s with seed 2 and statements "<states>"
    Then no answer of the restart soak is cut, joined or out of order
    And each request of the restart soak is answered
    And each answer of the restart soak is whole

    Examples:
      | seconds | states             |
      | 4       | entry,report,epoch |
      | 2       | entry,epoch        |
      | 2       | report             |
      | 2       | -                  |

  # Guards against broken answers of plain services that look complete, on the
  # own interface.
  Scenario: Calls hold while plain services restart and routers are paused
    When the soak of the own interface runs for 8 s with seed 1 and faults "servers-restart"
    Then no promise of the own interface is broken
