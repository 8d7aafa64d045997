Feature: Streams through faults
  P2 and P4: a stream reaches its caller complete, in order and byte for byte,
  whatever happens to the engine or its connection, or it ends without [DONE].

  Scenario: Connections that stall at every event boundary are resumed
    Given a routed model service with 2 engines
    When every engine connection stalls at each event boundary of a stream
    Then each routed stream equals what the engine produced

  Scenario: Connections that break at every event boundary are resumed
    Given a scripted engine that resumes its streams and a second that answers
    When every scripted connection is cut at each event boundary of a stream
    Then each routed stream equals the scripted events
    And no cut stream was run a second time

  Scenario: Another engine takes over at every event boundary
    Given a scripted engine that loses its streams and a second that repeats them
    When the first scripted engine is cut at each event boundary of a stream
    Then each routed stream equals the scripted events
    And each cut stream was asked of the first engine and then run on the second

  Scenario: A second run that differs ends the stream with an error
    Given a scripted engine that loses its streams and a second that differs
    When the first scripted engine is cut after 2 events of a stream
    Then the routed stream has the first 2 events and an error event "backend_mismatch"

  Scenario Outline: Events of another request or version are never passed on
    Given a scripted engine that <fault> and a second that answers
    When a routed stream is asked for until the first scripted engine was used
    Then the routed stream equals the scripted events

    Examples:
      | fault                           |
      | sends events of another request |
      | skips an event                  |
      | has other weights               |
      | sends no event stream           |

  # Guards against streams that are joined from two processes, because an engine
  # that states no incarnation is taken for the one that began the stream.
  Scenario Outline: A stream goes on only at the process that began it
    Given a scripted engine of incarnation <first> that restarts amid its streams as <second>, and a second that answers
    When a routed stream is asked for until the first scripted engine was used
    Then the routed stream equals the scripted events

    Examples:
      | first | second |
      | i1    | i2     |
      | i1    | none   |
      | none  | i2     |
      | none  | none   |

  # Guards against events that come twice, because an engine sends a stream from
  # its beginning where the rest is asked for, and numbers nothing.
  Scenario: Events without numbers are not taken for the rest of a stream
    Given a scripted engine that repeats a stream without numbers, and a second that does
    When a routed stream is asked for until the first scripted engine was used
    Then the routed stream equals the scripted events without numbers

  Scenario: Late events of a slow attempt are dropped after a hedge
    Given a scripted engine that answers late and a second that answers
    And the usual time to the first token of the routed service is known
    When a routed stream is asked for until the first scripted engine was used
    Then the routed stream equals the scripted events
    And the explanation of the routed stream names a hedge

  Scenario: Every answer has the weights that the document asked for
    Given a routed model service with 1 engines
    When the routed document asks for weights "w2" that no engine has
    Then the routed stream is refused as "not-run" with status 503 and code "no_backend_server"

  Scenario: A caller that leaves causes a cancel at the engine
    Given a routed model service with 1 engines
    When a caller leaves in the middle of a routed stream
    Then the engine records the cancel of the routed stream
    And the router runs no request any more

  Scenario: A slow caller holds the engine back
    Given a scripted engine that streams 64 MB as fast as it can
    When a caller reads nothing of the routed stream for a while
    Then less than 24 MB have left the scripted engine
    And the caller that reads on gets all of the routed stream
