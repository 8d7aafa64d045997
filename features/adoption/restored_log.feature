Feature: The configuration when the log comes back from a copy
  The copy lacks the last records, and their offsets are given out again. What
  operators published is published again.

  # Guards against routers that wait for ever for records that the log has lost,
  # and that skip those which got their offsets.
  Scenario Outline: Routers learn what is published after the loss
    Given configuration routers "a, b" on a simulated log
    And versions with the deadlines 1000, 2000, 3000 and 4000
    When the log loses its last <lost> records, and <written> versions are written before routers read it
    Then configuration routers "a, b" have the last of these within 10 s

    Examples:
      | lost | written |
      | 1    | 1       |
      | 1    | 3       |
      | 2    | 2       |
      | 3    | 1       |
      | 4    | 1       |
      | 4    | 9       |

  # Guards against a router whose configuration goes back while it runs.
  Scenario Outline: A lost version stays in force until another one is published
    Given configuration routers "a, b" on a simulated log
    And versions with the deadlines 1000, 2000, 3000 and 4000
    When the log loses its last <lost> records, and 0 versions are written before routers read it
    And 30 s pass at the configuration routers
    Then configuration router "a" has deadline 4000 as version 3
    When version <found> is replaced with deadline 5000
    Then the publication is "accepted as <next>"
    And configuration router "a" has deadline 5000 as version <next>
    And configuration router "b" has deadline 5000 as version <next>

    Examples:
      | lost | found | next |
      | 1    | 2     | 3    |
      | 3    | 0     | 1    |
      | 4    | -1    | 0    |

  # Guards against a snapshot of lost records that makes a router skip those which
  # got their offsets.
  Scenario Outline: Peers that know a lost version do not hide the next one
    Given configuration routers "a, b" on a simulated log
    And versions with the deadlines 1000, 2000, 3000 and 4000
    And the version of configuration router "a" is saved
    When the log loses its last <lost> records, and 0 versions are written before routers read it
    And configuration router "b" restarts
    And configuration router "b" merges the saved version
    Then configuration router "b" has deadline 4000 as version 3
    When version <found> is replaced with deadline 5000
    Then configuration router "a" has deadline 5000 as version <next>
    And configuration router "b" has deadline 5000 as version <next>

    Examples:
      | lost | found | next |
      | 1    | 2     | 3    |
      | 3    | 0     | 1    |

  # Guards against a checkpoint that passes an old version off as a new one.
  Scenario: A checkpoint that is written after the loss does not bring a version back
    Given configuration routers "a, b" on a simulated log
    And versions with the deadlines 1000, 2000, 3000 and 4000
    When the log loses its last 2 records, and 0 versions are written before routers read it
    And configuration router "b" writes checkpoints
    And 10 s pass at the configuration routers
    And the configuration stream is trimmed to offset 2
    And the log loses its last 0 records, and 0 versions are written before routers read it
    And 30 s pass at the configuration routers
    Then configuration router "a" has deadline 4000 as version 3

  Scenario: A publication that is under way at the loss reports its own outcome
    Given configuration routers "a, b" on a simulated log
    And versions with the deadlines 1000, 2000, 3000 and 4000
    When the log loses its last 3 records as version 3 is replaced with deadline 5000
    Then the publication is "conflict with 0"

  Scenario: In any history routers never go back, and agree in the end
    Then no history of publications and losses takes a configuration router back
