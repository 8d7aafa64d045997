Feature: What a router knows of the rate limit of a server

  Scenario Outline: A limit is a positive decimal number
    When a server states the limits <stated>
    Then the limit is read as <limit>

    Examples:
      | stated   | limit     |
      | 1.7      | 1.7       |
      | 20       | 20.0      |
      | 0.25     | 0.25      |
      | nan      | malformed |
      | inf      | malformed |
      | -1       | malformed |
      | 0        | malformed |
      | 0.000    | malformed |
      | 1e3      | malformed |
      | 1_0      | malformed |
      | ²        | malformed |
      | 1,2      | malformed |
      | 1.7 1.7  | malformed |
      | empty    | malformed |
      | no       | none      |

  Scenario: A malformed limit keeps what is known
    Given a server that named a limit of 2 at 1000
    When it answers with a malformed limit
    Then its limit is 2

  Scenario: An answer to an earlier call does not end a limit
    Given a server that named a limit of 2 at 1000
    When an answer without a limit to a call of 900 arrives at 1200
    Then its limit is 2

  Scenario: An answer to a later call ends a limit
    Given a server that named a limit of 2 at 1000
    When an answer without a limit to a call of 1100 arrives at 1200
    Then its limit is none

  Scenario: A late answer does not renew a limit that has ended
    Given a server that named a limit of 2 at 1000
    When an answer without a limit to a call of 1100 arrives at 1200
    And a peer reports a limit of 2 named 150 ms before 1210
    Then its limit is none

  Scenario: A peer's report of an end counts from the time at which it is certain
    Given a server that named a limit of 2 at 1000
    When a peer reports that it named none 100 ms before 1300
    Then its limit is 2
    When a peer reports that it named none 100 ms before 2000
    Then its limit is none

  Scenario: Reports that go back and forth do not make a limit look newer
    Given a server that named a limit of 2 at 1000
    When peers report a limit of 2 named 0 ms before each ms from 1000 to 1500
    And an answer without a limit to a call of 1100 arrives at 1600
    Then its limit is none

  Scenario: A limit with many decimals is the same at all routers
    Given a server that named a limit of 1.66666 at 1000
    When a peer reports a limit of 1.667 named 0 ms before 3000
    Then its limit has changed once

  Scenario Outline: Which answers show that a server names no limit
    When an answer <status> with the headers <headers> arrives
    Then it shows a limit: <shows>

    Examples:
      | status | headers                                                 | shows |
      | 200    | X-Yuccagauge-Server-Stamp: s                            | yes   |
      | 200    | X-Yuccagauge-Server-Stamp: s; Server-Limit: 2           | yes   |
      | 200    | X-Yuccagauge-Server-Stamp: s; Server-Limit: nan         | no    |
      | 503    | X-Yuccagauge-Not-Executed: 1                            | no    |
      | 503    | X-Yuccagauge-Not-Executed: 1; Server-Limit: 2           | yes   |
      | 421    | X-Yuccagauge-Server-Stamp: s; Server-Limit: 2           | no    |
      | 200    | Server-Limit: 2                                         | no    |

  Scenario: A server that restarts has named nothing yet
    Given a server that named a limit of 2 at 1000
    When it restarts
    Then its limit is none
