Feature: Ages of named weights
  # Guards against weights that count as newer than they are, because a router
  # learned late of those that replaced them.

  Scenario Outline: Weights count from the last time at which newer ones were not named
    Given a router that <knows>
    When version <read> is read at 20000 ms, and the store had no newer record until <until> ms
    Then version <version> was superseded <when>

    Examples:
      | knows              | read | until | version | when                    |
      | knows no version   | 2    | 19000 | 1       | after 19000 ms          |
      | has read version 2 | 3    | 19000 | 2       | after 19000 ms          |
      | has read version 2 | 5    | 19000 | 2       | after 19000 ms          |
      | has just started   | 3    | none  | 1       | at an unknown time      |
      | has just started   | 3    | none  | 3       | never                   |
      | started at version 2 | 3  | 19000 | 2       | after 19000 ms          |
      | started at version 2 | 3  | 19000 | 1       | at an unknown time      |

  Scenario Outline: What others know makes no weights younger than they are
    Given a router that started at version 3
    When it hears that versions after <previous> up to <version> were named after <ms> ms
    Then version <asked> was superseded <when>

    Examples:
      | previous | version | ms    | asked | when               |
      | 2        | 3       | 15000 | 2     | after 15000 ms     |
      | 2        | 3       | 15000 | 1     | at an unknown time |
      | 0        | 3       | 15000 | 1     | after 15000 ms     |
      | 3        | 4       | 15000 | 2     | at an unknown time |

  # Guards against weights that are not used because nobody saw when the next
  # ones were named, although they were not named long before themselves.
  Scenario Outline: What was not named with one version was not named after it either
    Given a router that started at version 3
    When it hears that versions after 2 up to 3 were named after 15000 ms
    And version 5 is read at 20000 ms, and the store had no newer record until none ms
    Then version <asked> was superseded <when>

    Examples:
      | asked | when               |
      | 1     | at an unknown time |
      | 2     | after 15000 ms     |
      | 3     | after 15000 ms     |
      | 4     | after 15000 ms     |
      | 5     | never              |

  Scenario Outline: The time since a stored naming is the longer one of two estimates
    Given weights that were named <ago> ms before they were stored
    When all routers start 4000 ms later, and clocks have stepped by <step> ms
    And 10 servers have written <entries> entries since
    Then these weights count as named <ms> ms ago

    Examples:
      | ago | step  | entries | ms   |
      | 500 | 0     | 30      | 5500 |
      | 500 | -2000 | 33      | 5560 |
      | 500 | 2000  | 30      | 7500 |
      | 500 | 0     | 50      | 7600 |
      | 8000 | -5000 | 34     | 13120 |

  # Guards against ages that are too low, because clocks have stepped and most
  # servers were silent for a while.
  Scenario Outline: One server that has counted all its heartbeats decides on the age
    Given weights that were named <ago> ms before they were stored, by a router that had read heartbeats for 300 ms
    When all routers start 4000 ms later, and clocks have stepped by <step> ms
    And servers have counted <beats> heartbeats since, <restarted>
    Then these weights count as named <ms> ms ago

    Examples:
      | ago  | step  | beats               | restarted          | ms    |
      | 500  | -5000 | 3,3,3,3,3,3,3,3,3,3 | none has restarted | 6300  |
      | 500  | -5000 | 0,0,0,0,3,0,0,0,0,0 | none has restarted | 6300  |
      | 500  | -5000 | 3                   | none has restarted | 6300  |
      | 8000 | -5000 | 0,0,0,0,3,0,0,0,0,0 | none has restarted | 13800 |
      | 500  | 0     | 0,0,0,0,0,0,0,0,0,0 | none has restarted | 5500  |
      | 500  | 2000  | 0,0,0,0,0,0,0,0,0,0 | none has restarted | 7500  |
      | 500  | -5000 | 3,3,3,3,3,3,3,3,3,3 | all have restarted | 5200  |

  # Guards against ages that are too low, because servers have started again
  # under their ids and their entries do not say so.
  Scenario Outline: Counts of servers that may have restarted do not decide alone on the age
    Given servers whose entries state the start <before> until the naming and <after> after it
    And weights that were named 500 ms before they were stored, by a router that had read heartbeats for 300 ms
    When all routers start 4000 ms later, and clocks have stepped by -5000 ms
    And servers have written 30 entries since, and each has counted <count> heartbeats in all
    Then these weights count as named <ms> ms ago

    Examples:
      | before | after | count | ms   |
      | 0      | 0     | 1     | 5200 |
      | 0      | 0     | 7     | 5200 |
      | 0      | 0     | 8     | 5200 |
      | 0      | 0     | 10    | 6300 |
      | 0      | 2     | 8     | 5200 |
      | 1      | 0     | 8     | 5200 |
      | 1      | 1     | 0     | 5200 |
      | 1      | 1     | 6     | 5200 |
      | 1      | 1     | 10    | 6300 |

  Scenario: Servers that state no count do not decide on the age
    Given servers whose entries state the start 1 and no count
    And weights that were named 500 ms before they were stored, by a router that had read heartbeats for 300 ms
    When all routers start 4000 ms later, and clocks have stepped by -5000 ms
    And servers have written 30 entries since, and each has counted 0 heartbeats in all
    Then these weights count as named 5200 ms ago

  Scenario: Entries that are read after the start make the age more precise
    Given weights that were named 500 ms before they were stored, by a router that had read heartbeats for 300 ms
    When all routers start 4000 ms later, and clocks have stepped by -5000 ms
    And servers have counted 3 heartbeats since, none has restarted
    And after 850 ms without an entry the first server has counted 4
    Then these weights count as named 6550 ms ago

  Scenario: Heartbeats that were read long before are no measure
    Given weights that were named 500 ms before they were stored, by a router that had read heartbeats for 2000 ms
    When all routers start 4000 ms later, and clocks have stepped by -5000 ms
    And servers have counted 3,3,3,3,3,3,3,3,3,3 heartbeats since, none has restarted
    Then these weights count as named 5200 ms ago

  # Guards against counts that are too low at the start, or too high since the
  # naming, because a write that got no answer was done after later ones.
  Scenario: An entry that is written late takes no heartbeat back
    When entries of a server with 5, 7, 6 and 8 heartbeats are read, one every 1200 ms from 1000 ms on
    Then it had 5, 7, 7 and 8 heartbeats, read at 1000, 2200, 2200 and 4600 ms

  Scenario: Routers that know no heartbeats read and write the same records
    When a naming is stored with heartbeats, and again by a router without
    Then the later time is read, with the heartbeats
    And the record of the model has rows of five numbers

  Scenario Outline: A malformed record of heartbeats leaves the times
    When heartbeats are stored as <record>
    Then the naming is read without heartbeats

    Examples:
      | record                      |
      | x                           |
      | 7                           |
      | {"2": 5}                    |
      | [[2, 0]]                    |
      | [[2, 0, 1]]                 |
      | [[2, 0, [1]]]               |
      | [[2, 0, [["i-1", 1, 2]]]]   |
      | [[2, 0, [[1, 1, 2, 3]]]]    |
      | [[2, 0, [["i", -1, 2, 3]]]] |
      | [[2, 0, [["i", 1, "x", 3]]]] |
      | [[2, 0, [["i", 1, 2, null]]]] |
      | [[[], 0, [["i", 1, 2, 3]]]] |

  Scenario Outline: A malformed record of named weights says nothing
    When the store has the record <record>
    Then no time is taken from it

    Examples:
      | record                        |
      | x                             |
      | 7                             |
      | {"2": 5}                      |
      | [[2, 0]]                      |
      | [[2, 0, "x", 3, 4]]           |
      | [[2, 0, null, 3, 4]]          |
      | [[2, 3, 1000, 3, 4]]          |
      | [[-2, -3, 1000, 3, 4]]        |
      | [[2, 0, 1000, -3, 4]]         |
      | [[2, 0, 1e400, 3, 4]]         |
      | [[4294967296, 0, 1000, 3, 4]] |
