Feature: Connections that show whether a process has lived on
  A server that closes a connection at the end of an answer looks like one that
  has ended. An older connection, on which it answers afterwards, tells.

  # Guards against whole answers that are lost because their ends are checked on
  # one connection while it still reads the answer to an earlier check.
  Scenario: Answers that end shortly after each other are proved by one connection
    Given a server that answers checks with their bodies 50 ms late
    And a connection to it that was opened before two requests
    When the answers to both end within 10 ms
    Then both are proved, by 2 checks on 1 connection

  # Guards against a proof by a process that has started since.
  Scenario: A connection that was opened after the request proves nothing
    Given a server that answers checks
    When a request is sent, and a connection is opened after it
    Then the answer to it is not proved

  # Guards against a proof by a check that was sent before the end of the answer.
  Scenario: A server that ends between two checks proves only the first answer
    Given a server that answers checks with their bodies 50 ms late
    And a connection to it that was opened before two requests
    When the answers to both end within 10 ms, and the server ends amid the first check
    Then the first is proved, and the second is not

  # Guards against two connections to each server for as long as both live.
  Scenario: A server that frames its answers gets its older connection for calls
    Given a server that answers checks
    And a connection to it that was opened before two requests
    When an answer of the server has a length
    Then the next call uses that connection
    And no other one is opened beside a call
