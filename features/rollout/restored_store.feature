Feature: The leader of a fleet whose store comes back from a copy
  The copy is some seconds old: records of the leader lease are lost, and their
  numbers are given out again.

  # Guards against routers that wait for ever for records that the store has
  # lost, and against fencing tokens that come twice.
  Scenario Outline: Some router leads soon after the store came back
    Given 5 routers that lead 6 engines which <check> fences
    When the store goes away for <away> s and loses <age> s, <beside>
    Then a router leads within <within> s of the store's return, and goes on
    And weights that are named then reach all engines within 12 s
    And no fencing token came twice or fell, and no two routers took turns

    Examples:
      | check  | away | age | beside                                             | within |
      | check  | 0.5  | 7   | and nothing else happens                           | 2      |
      | check  | 0    | 7   | and nothing else happens                           | 2      |
      | check  | 4    | 7   | and nothing else happens                           | 2      |
      | check  | 0.5  | 0.1 | and nothing else happens                           | 2      |
      | check  | 0.5  | 60  | and nothing else happens                           | 2      |
      | check  | 0.5  | 7   | and again 1 s later                                | 3      |
      | check  | 0.5  | 7   | while the leader is cut off from it                | 4      |
      | check  | 0.5  | 7   | and the leader is killed then                      | 5      |
      | check  | 0.5  | 7   | and all routers are killed then                    | 6      |
      | ignore | 0.5  | 7   | and nothing else happens                           | 4      |
      | ignore | 0    | 7   | and nothing else happens                           | 4      |
      | ignore | 4    | 7   | and nothing else happens                           | 4      |
      | ignore | 0.5  | 60  | and nothing else happens                           | 4      |
      | ignore | 0.5  | 7   | and again 1 s later                                | 5      |
      | ignore | 0.5  | 7   | while the leader is cut off from it                | 8      |
      | ignore | 0.5  | 7   | and all routers are killed then                    | 8      |

  Scenario Outline: Fencing tokens never come twice when routers restart after it
    Given 3 routers that lead 4 engines which <check> fences
    When the store goes away for 0.5 s and loses <age> s, and nothing else happens
    And 9 s later all routers restart one after the other, the leader last
    Then weights that are named then reach all engines within 17 s
    And no fencing token came twice or fell, and no two routers took turns

    Examples:
      | check  | age |
      | check  | 7   |
      | ignore | 7   |
      | ignore | 60  |

  # Guards against two leaders in the rare orders of events.
  Scenario Outline: In any history tokens rise from one leader to the next
    Then in any history of renewals, losses of records and <events>, with engines that <check> fences, tokens never fall
    And two routers never order within <gap> ms of each other if <heard>

    Examples:
      | events         | check  | gap  | heard                      |
      | nothing else   | check  | 2900 | they hear each other       |
      | restarts       | check  | 400  | they hear each other, and are in touch |
      | nothing else   | ignore | 2900 | they hear each other       |
      | nothing else   | ignore | 400  | they do not hear the other |
      | restarts       | ignore | 400  | they do not hear the other |

  # Guards against tokens that fall when routers of an older build, whose tokens
  # are the number of records, lead after newer ones.
  Scenario Outline: Tokens of routers that follow one of an older build
    Given <count> records of the lease by <holder>, of which the last names <eras>, in era 7
    When a router acquires the lease, and renews it in era 7
    Then its fencing token is <token>
    And after a loss of 5 records its token in era 8 is higher

    Examples:
      | count | holder | eras | token   |
      | 40    | r1     | none | 42      |
      | 40    | r1     | 7 7  | 42      |
      | 40    | r1     | 7 5  | 2097194 |
      | 40    | r1     | 6 5  | 2097194 |
      | 0     | nobody | none | 7340034 |
