Feature: Answers that end with their connection
  An answer with neither a length nor chunks ends with its connection. The
  operating system closes the connections of a process that was killed in the
  same way, and a stream that is cut between two events lacks nothing that
  its bytes show. The end counts only if the process that wrote the answer is
  shown to have lived on.

  Scenario: A stream of a killed engine that ends between two events is not passed on as complete
    Given a relay with an engine that ends between two events as it is killed
    When a caller calls "talk"
    Then the caller has the events "0 1" and an incomplete answer

  Scenario: A resumable stream of a killed engine that ends between two events goes on elsewhere
    Given a relay with an engine that ends between two events as it is killed
    And a second model engine that streams 4 events
    When a caller calls "resume" and the first server is selected
    Then the caller has the events "0 1 2 3" and a complete answer
    And the second server was asked to resume after "1"

  Scenario: A stream of a killed engine whose port closes last is not passed on as complete
    Given a relay with an engine that ends between two events as it is killed, its port last
    When a caller calls "talk"
    Then the caller has the events "0 1" and an incomplete answer

  Scenario: A body without a length of a killed server is not passed on as complete
    Given a relay whose plain server is killed in an answer without a length
    When a caller calls "book"
    Then the caller gets status 502

  Scenario: A call that may run twice is repeated after a body without a length of a killed server
    Given a relay whose plain server is killed in an answer without a length
    And a second plain server that answers
    When a caller calls "read" and the first server is selected
    Then the caller gets the body "done" of the second server

  Scenario: An answer of a server that restarted meanwhile is not passed on as complete
    Given a relay with an engine that ends between two events as it restarts
    When a caller calls "talk"
    Then the caller has the events "0 1" and an incomplete answer

  Scenario: A server whose port accepts no connection in time proves no end
    Given a relay with an engine that ends between two events as its host fails
    When a caller calls "talk"
    Then the caller has the events "0 1" and an incomplete answer

  Scenario: One connection proves the ends of answers that come one after the other
    Given a relay with a plain server that ends an unframed answer
    When a caller calls "read" 3 times, one after the other
    Then all get the body "done", and the server had 4 connections

  Scenario: Streams of engine processes that are killed are never complete
    Given a relay with 2 engine processes that stream 60 events without framing
    When 20 callers call "talk" and the engine of the first one is killed
    Then no caller of the killed engine has a complete answer
    And all callers of the other engine have 60 events and a complete answer

  # Guards against a broken answer that looks complete because another process,
  # which states no id, answers at the port of its server.
  Scenario Outline: A body of a killed server is not passed on though another process answers at its port
    Given a relay whose plain server is killed in an answer, and another process answers <status> at its port
    When a caller calls "book"
    Then the caller gets status 502

    Examples:
      | status |
      | 503    |
      | 404    |
      | 421    |

  # Guards against the same at a model engine.
  Scenario: A stream of a killed engine is not complete though another process answers at its port
    Given a relay whose engine is killed in an answer, and another process answers 503 at its port
    When a caller calls "talk"
    Then the caller has the events "0 1" and an incomplete answer
