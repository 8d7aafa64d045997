Feature: A few routers read the store for the fleet
  Whole routers in virtual time, at rest unless a scenario says otherwise.

  # Guards against reads of the store by each router of small data centres,
  # which cost a large fleet most of what it pays for calls to the store.
  Scenario: Small data centres share the reads of the whole fleet
    Given a fleet of 17 routers in 5 data centres
    When the fleet is at rest for 10 s
    Then they called the store at most 15 times a second

  # Guards against changes that reach the last routers some exchanges later,
  # since only two routers read them.
  Scenario Outline: A change by the operator reaches all routers at once
    Given a fleet of <routers> routers in <centres> data centres
    When weights are named to the fleet
    Then all routers know them within 250 ms
    And each has sent at most 16 messages on average

    Examples:
      | routers | centres |
      | 17      | 5       |
      | 45      | 3       |
      | 100     | 5       |

  # Guards against changes that stay unknown while the routers that read are
  # cut off from the store.
  Scenario: A change reaches all routers in time though the readers have lost the store
    Given a fleet of 17 routers in 5 data centres
    When the readers of the fleet lose the store, and weights are named
    Then all routers know them within 2000 ms

  Scenario Outline: When a change is passed on
    Given a router of a fleet that <shares> reads has passed on the offset 5 of era 1
    When it has the records up to the offset <offset> of era <era>
    Then it tells its partners: <tells>

    Examples:
      | shares         | offset | era | tells |
      | shares         | 6      | 1   | yes   |
      | shares         | 5      | 1   | no    |
      | shares         | 2      | 2   | yes   |
      | does not share | 6      | 1   | no    |

  Scenario Outline: When a router asks for a change
    Given a router of a fleet that shares reads has passed on the offset 5 of era 1
    When a peer has the offset <first> of era 1, and <later> ms later one has the offset <second> of era 1
    Then it asks the peers: <asks>

    Examples:
      | first | second | later | asks    |
      | 5     | 4      | 1     | no, no  |
      | 6     | 6      | 1     | yes, no |
      | 6     | 7      | 1     | yes, yes |
      | 6     | 6      | 201   | yes, yes |
