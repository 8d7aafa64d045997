Feature: Engines that restart under their ids with other software
  An engine answers with its new software before its entry names it. A stream
  that breaks off goes on only where the version that began it still runs.

  Scenario Outline: Streams do not go on at an engine that was upgraded meanwhile
    Given 3 routers before 4 engines that are listed <entry> s after a start
    And each engine in turn is down for <down> s, <gap> s before the next
    When 10 streams a second begin for 13 s
    Then at most 0 streams have events of two versions
    And at least half as many streams that are taken up go on as new ones begin

    Examples:
      | down | gap | entry |
      | 1.0  | 0.6 | 0.8   |
      | 0.4  | 0.1 | 0.0   |
      | 0.4  | 0.6 | 0.4   |
      | 0.4  | 1.0 | 0.8   |
      | 1.0  | 0.3 | 0.3   |
      | 2.0  | 1.0 | 1.2   |
      | 0.4  | 0.3 | 0.0   |
      | 1.0  | 0.1 | 0.0   |
      | 2.0  | 0.1 | 0.0   |
      | 2.0  | 1.0 | 0.8   |

  Scenario Outline: Streams that began at an upgraded engine go on at its version
    Given 3 routers before 4 engines that are listed <entry> s after a start
    And each engine in turn is down for <down> s, <gap> s before the next
    And the fleet is disturbed by routers that are killed
    When 10 streams a second begin for 13 s
    Then at most 0 streams have events of two versions
    And at least half as many streams that are taken up go on as new ones begin

    Examples:
      | down | gap | entry |
      | 1.0  | 0.6 | 0.8   |
      | 0.4  | 0.6 | 0.4   |
      | 0.4  | 1.0 | 0.8   |
      | 2.0  | 1.0 | 1.2   |
      | 0.4  | 1.6 | 2.0   |

  Scenario Outline: Late entries of an engine that has ended mislead nobody
    Given 3 routers before 4 engines that are listed <entry> s after a start
    And entries of engines that have ended reach the store late
    And each engine in turn is down for <down> s, <gap> s before the next
    When 10 streams a second begin for 13 s
    Then at most 0 streams have events of two versions
    And at least half as many streams that are taken up go on as new ones begin

    Examples:
      | down | gap | entry |
      | 0.4  | 0.6 | 0.0   |
      | 0.1  | 0.6 | 0.0   |
      | 0.1  | 1.5 | 0.0   |
