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
    Given 3 routers before 4 engines that are listed <entry> s after a start, seed <seed>
    And each engine in turn is down for <down> s, <gap> s before the next
    And the fleet is disturbed by routers that are killed
    When 10 streams a second begin for 13 s
    Then at most 0 streams have events of two versions
    And at least half as many streams that are taken up go on as new ones begin

    Examples:
      | down | gap | entry | seed |
      | 1.0  | 0.6 | 0.8   | 1    |
      | 0.4  | 0.6 | 0.4   | 1    |
      | 0.4  | 1.0 | 0.8   | 1    |
      | 2.0  | 1.0 | 1.2   | 1    |
      | 0.4  | 1.6 | 2.0   | 1    |
      | 0.4  | 1.6 | 2.0   | 2    |
      | 0.4  | 1.6 | 2.0   | 4    |
      | 1.0  | 0.6 | 0.8   | 2    |

  Scenario Outline: Engines that restart while no router has a connection are noticed
    Given <routers> routers before 4 engines that are listed 2.0 s after a start, seed <seed>
    And half of the engines are down for <down> s as all callers have left, and reset connections later
    When 30 streams a second begin for 6 s
    Then at most 0 streams have events of two versions
    And all streams whose callers stayed are complete

    Examples:
      | routers | down | seed |
      | 1       | 0.02 | 1    |
      | 3       | 0.02 | 1    |
      | 3       | 0.02 | 2    |
      | 3       | 0.02 | 3    |

  Scenario Outline: Routers that pause do not go on by what a server said before
    Given 3 routers before 4 engines that are listed 1.0 s after a start, seed <seed>
    And routers pause again and again, later than the first streams
    And each engine in turn is down for 0.02 s, <gap> s before the next
    When 10 streams a second begin for 6 s
    Then no stream has events of two versions

    Examples:
      | gap  | seed |
      | 0.03 | 1    |
      | 0.03 | 2    |
      | 0.20 | 2    |

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

  Scenario Outline: A clock that is off at a restart costs no stream
    Given 3 routers before 4 engines that are listed 0.8 s after a start
    And the clocks of engines that restart are off by <step> s
    And each engine in turn is down for 1.0 s, 0.6 s before the next
    When 10 streams a second begin for 13 s
    Then at most 0 streams have events of two versions
    And at least half as many streams that are taken up go on as new ones begin
    And the routers log "<line>" 1 to 12 times

    Examples:
      | step | line               |
      | -60  | server_start_falls |
      | 60   | server_start_ahead |

  Scenario: Start times that go back and forth are logged at a bounded rate
    Given 3 routers before 4 engines that are listed 0.8 s after a start
    When the entry of an engine alternates between two starts for 20 s
    And 10 streams a second begin for 1 s
    Then the routers log "server_start_falls" 3 to 9 times
    And all streams are complete
