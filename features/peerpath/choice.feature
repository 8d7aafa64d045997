Feature: Which peers are asked, and what is remembered of the direct way
  Pure decisions, for routers that are separated from servers that others reach.

  Scenario: A peer through which a path opened last is preferred
    Given path peers a1 a2 a3 a4 a5 of the own data centre
    When a path to server 1 opened through a3 and ended
    And a path to server 1 through a1 failed 2000 ms ago
    Then for server 1 the path peers begin with a3
    And for server 1 the path peers do not contain a1

  Scenario: Those that failed longest ago come first among those that failed
    Given path peers a1 a2 a3 of the own data centre
    When a path to server 1 through a2 failed 3000 ms ago
    And a path to server 1 through a1 failed 2000 ms ago
    And a path to server 1 through a3 failed 4000 ms ago
    Then for server 1 the path peers are a3 a2 a1

  Scenario: A peer that failed just now is not asked again for the same server
    Given path peers a1 a2 of the own data centre
    When a path to server 1 through a1 failed 500 ms ago
    Then for server 1 the path peers are a2
    And for server 2 the path peers are a2 a1

  Scenario: What a peer did for another server counts for one that is new
    Given path peers a1 a2 a3 of the own data centre
    When a path to server 1 opened through a2 and ended
    Then for server 2 the path peers begin with a2

  Scenario: Paths are spread over the peers that carry them
    Given path peers a1 a2 a3 a4 a5 a6 of the own data centre
    When a path to server 1 opened through a1 and ended
    And a path to server 1 opened through a2 and ended
    And a path to server 1 opened through a3 and ended
    And 300 paths to server 1 are opened
    Then each of a1 a2 a3 carries 100 of them

  Scenario: The own data centre comes first, but not only
    Given path peers a1 a2 a3 a4 of the own data centre
    And path peers b1 b2 b3 b4 of another data centre
    Then for server 1 the path peers come from the data centres a b a b

  Scenario: Peers of another data centre that work come before unknown ones
    Given path peers a1 a2 a3 a4 of the own data centre
    And path peers b1 b2 of another data centre
    When a path to server 1 opened through b2 and ended
    Then for server 1 the path peers begin with b2
    And for server 1 the path peers come from the data centres b a b a

  Scenario: Peers and servers that are gone are forgotten
    Given path peers a1 a2 of the own data centre
    When a path to server 1 through a1 failed 500 ms ago
    And path peer a1 is gone and comes back
    Then for server 1 the path peers contain a1

  Scenario: Separated routers do not probe at the same moment
    Given 100 routers that lose the direct way to a server at the same moment
    When they try to probe each millisecond for 5000 ms
    Then each has probed 7 to 14 times
    And no 20 ms have more than 30 probes

  Scenario: A direct way that comes and goes with each call does not fill the log
    When the direct way to a server is lost and regained 500 times in 5000 ms
    Then at most 12 lines are logged about it
