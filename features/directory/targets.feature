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
