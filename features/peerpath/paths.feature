Feature: Ways to a server, directly or through a peer
  Issue 34: a router that is partitioned from all servers rejects calls that
  others could serve.

  Scenario Outline: A router that is separated from a server reaches it through a peer
    Given a path network with 3 peers
    When the router is separated from the server, so that connections <face>
    And the router opens a connection
    Then it is open through a peer within <first> ms
    When the router opens 5 more connections
    Then each is open through a peer within 30 ms
    And the router asked 1 peer for each connection

    Examples:
      | face       | first |
      | hang       | 100   |
      | are refused | 30   |

  Scenario: A fleet without a partition sends nothing through peers
    Given a path network with 3 peers
    When the router opens 20 connections
    Then each is open directly within 10 ms
    And no peer was asked for a path

  Scenario Outline: Peers that are separated as well are passed over
    Given a path network with 4 peers
    When the router is separated from the server, so that connections hang
    And the first 3 peers are separated too, so that connections <face>
    And the router opens a connection
    Then it is open through a peer within 250 ms
    When the router opens 5 more connections
    Then each is open through a peer within 30 ms

    Examples:
      | face        |
      | hang        |
      | are refused |

  Scenario: A path has one hop
    Given a path network with 3 peers
    When the router is separated from the server, so that connections are refused
    And the first 2 peers are separated too, so that connections are refused
    And the router opens a connection
    Then it is open through a peer within 250 ms
    And only the router asked peers for paths

  Scenario Outline: The calls return to the direct way soon after a partition
    Given a path network with 3 peers
    When the router is separated from the server, so that connections <face>
    And the router opens a connection every 20 ms for 3000 ms
    Then it tried the direct way at most 9 times
    When the partition ends
    And the router opens a connection every 20 ms for 1000 ms
    Then the last is open directly
    And no connection has failed

    Examples:
      | face        |
      | hang        |
      | are refused |

  Scenario: A server that is down costs few requests to peers
    Given a path network with 8 peers
    When the server is down
    And the router opens a connection every 100 ms for 900 ms
    Then all connections have failed
    And the peers were asked at most 8 times

  Scenario Outline: Idle connections are used while connections are only refused
    Given a path network with 3 peers
    And the router keeps an idle connection to the server
    When the router is separated from the server, so that connections <face>
    And the router opens a connection
    And the router asks for any connection
    Then it <outcome> the idle connection

    Examples:
      | face        | outcome      |
      | hang        | does not get |
      | are refused | gets         |

  Scenario: A call that hung on an idle connection keeps others from them
    Given a path network with 3 peers
    And the router keeps an idle connection to the server
    When the router is separated from the server, so that connections hang
    And a call has hung on a connection to the server
    And the router asks for any connection
    Then it does not get the idle connection

  Scenario: Calls that break on a server that is reached cost few connections
    Given a path network with 3 peers
    When 1000 calls break on the server in 2000 ms
    Then it tried the direct way at most 5 times
    And the server counts as reached directly

  Scenario: A carried connection is not used again
    Given a path network with 3 peers
    When the router is separated from the server, so that connections are refused
    And the router opens a connection
    Then a carried connection cannot be used for a second call

  Scenario: A router whose own loop was late does not count a server as lost
    Given a path network with 3 peers
    When the router opens a connection, and its loop runs 200 ms late
    Then the server counts as reached directly

  Scenario Outline: An attempt that is cancelled leaves nothing open
    Given a path network with 3 peers
    When the router is separated from the server, so that connections hang
    And the first <cut> peers are separated too, so that connections hang
    And the router opens a connection and cancels it after <time> ms
    Then nothing is carried and no connection is open after 1000 ms

    Examples:
      | cut | time |
      | 0   | 1    |
      | 0   | 63   |
      | 0   | 65   |
      | 0   | 67   |
      | 3   | 130  |
      | 3   | 240  |

  Scenario: A peer that is reached again is found by a request for a path
    Given a path network with 1 peers
    When the router is separated from the server, so that connections hang
    And the first 1 peers are separated too, so that connections hang
    And the router opens a connection every 100 ms for 1000 ms
    And only the peers reach the server again
    And the router opens a connection every 100 ms for 4000 ms
    Then the last is open through a peer
