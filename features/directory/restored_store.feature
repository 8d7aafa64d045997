Feature: What routers know when the store comes back from a copy
  The copy is some seconds old: the store gives offsets out again, and what the
  operator and the engines wrote is written again.

  # Guards against records that routers ignore because a lost one had a higher
  # offset: a key that was taken away would go on working.
  Scenario Outline: Changes by the operator are in force after the store came back
    Given <routers> routers before 6 engines, and <lost> configurations in the last 6 s
    When the store goes away for <away> s, loses 7 s, and the operator writes <again> of them again
    And 1 s later a configuration takes the key of a customer away
    Then all routers have that configuration within 2 s
    And no router went back to an older configuration or target

    Examples:
      | routers | lost | away | again      |
      | 5       | 5    | 0.5  | the newest |
      | 5       | 5    | 0    | the newest |
      | 5       | 5    | 0.5  | all        |
      | 12      | 5    | 0.5  | the newest |
      | 12      | 5    | 0    | the newest |
      | 12      | 5    | 4    | all        |

  # Guards against entries that routers keep or drop for want of a record that
  # the store has lost.
  Scenario Outline: Routers know the engines that live after the store came back
    Given <routers> routers before 6 engines, and <lost> configurations in the last 6 s
    And an engine that lives and one that has ended wrote their first entries 2 s ago
    When the store goes away for <away> s, loses 7 s, and the operator writes all of them again
    And 6 s pass
    Then no router has missed an engine that lives, and none has the one that ended
    And no router went back to an older configuration or target

    Examples:
      | routers | lost | away |
      | 5       | 1    | 0.5  |
      | 5       | 1    | 0    |
      | 12      | 1    | 0.5  |
      | 12      | 1    | 0    |
      | 12      | 1    | 4    |
