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
