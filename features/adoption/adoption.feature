Feature: Configuration in force
  Operators publish new versions concurrently; every router applies the same
  versions and never returns to an older one.

  Background:
    Given configuration routers "a, b" on a simulated log

  Scenario: Of two concurrent publications from one version, one is accepted
    When version -1 is replaced with deadline 1000
    Then the publication is "accepted as 0"
    When version 0 is replaced twice at once
    Then one publication is accepted and the other one conflicts with it
    And configuration routers "a, b" have the same version

  Scenario Outline: A publication is accepted despite a fault of its append
    Given the configuration log has the fault "<fault>"
    When version -1 is replaced with deadline 1000
    Then the publication is "accepted as 0"
    And configuration router "a" has deadline 1000 as version 0

    Examples:
      | fault           |
      | lose_answers=1  |
      | rate_limited=2  |
      | delay_appends=1 |

  Scenario: A second copy of a publication changes nothing
    Given the configuration log has the fault "delay_appends=1"
    When version -1 is replaced with deadline 1000
    And the delayed configuration appends take effect
    Then configuration router "a" has deadline 1000 as version 0

  Scenario Outline: An invalid publication is rejected with its reason
    When version -1 is replaced with deadline <deadline>
    Then the publication is "invalid: <reason>"

    Examples:
      | deadline | reason      |
      | 5        | deadline_ms |
      | soon     | deadline_ms |

  Scenario: Nothing is published during an outage of the log
    Given the configuration log has the fault "outage=1"
    When version -1 is replaced with deadline 1000
    Then the publication is "NotPublishedError"

  Scenario: A router that starts after trimming uses a checkpoint
    Given configuration router "a" writes checkpoints
    When version -1 is replaced with deadline 1000
    And 10 s pass at the configuration routers
    And the configuration stream is trimmed to offset 1
    And configuration router "b" restarts
    Then configuration router "b" has deadline 1000 as version 0
    When version 0 is replaced with deadline 2000
    Then the publication is "accepted as 2"
    And configuration router "b" has deadline 2000 as version 2

  Scenario: A late checkpoint does not hide a trimmed publication
    When version -1 is replaced with deadline 1000
    And a checkpoint of configuration router "a" is delayed
    And version 0 is replaced with deadline 2000
    And the delayed configuration appends take effect
    And the configuration stream is trimmed to offset 2
    And configuration router "b" restarts
    Then configuration router "b" has no document
    When configuration router "b" merges the version of "a"
    Then configuration router "b" has deadline 2000 as version 1

  Scenario: An older snapshot from a peer does not lower the version
    When version -1 is replaced with deadline 1000
    And the version of configuration router "a" is saved
    And version 0 is replaced with deadline 2000
    And configuration router "b" merges the saved version
    Then configuration router "b" has deadline 2000 as version 1

  Scenario: An outage of the log leaves the document in force
    When version -1 is replaced with deadline 1000
    Given the configuration log has the fault "outage=1"
    When 60 s pass at the configuration routers
    Then configuration router "a" has deadline 1000 as version 0

  Scenario Outline: The bootstrap document is used only if the log does not answer
    When version -1 is replaced with deadline 1000
    Given the configuration log has the fault "outage=<outage>"
    When configuration router "b" restarts with a bootstrap document
    And 20 s pass at the configuration routers
    Then configuration router "b" has deadline <deadline> as version 0

    Examples:
      | outage | deadline |
      | 1      | 20000    |
      | 0      | 1000     |

  Scenario: A failing listener does not stop the others from receiving a document
    Given a failing configuration listener on router "a"
    When version -1 is replaced with deadline 1000
    Then configuration router "a" has deadline 1000 as version 0
    And the later listener of configuration router "a" received version 0

  Scenario: No order of faults lowers a version or makes routers differ
    Then no interleaving of configuration faults breaks agreement

  Scenario Outline: The publish command reports the outcome
    Given a log stand-in with matcher-llm at version 0
    When the publish command replaces version <replaces> with "<document>"
    Then the publish command exits with <code> and prints "<words>"

    Examples:
      | replaces | document     | code | words                 |
      | 0        | changed      | 0    | accepted as version 1 |
      | -1       | changed      | 3    | lost to version 0     |
      | 0        | invalid      | 2    | priority              |
      | zero     | changed      | 2    | --replaces            |
