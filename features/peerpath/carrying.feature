Feature: What a peer carries
  Bytes, ends and pauses of a connection pass through a peer as they are, over
  real sockets.

  Scenario Outline: The end of a carried connection is told apart
    Given a server that a peer reaches
    When the router opens a path and sends "request"
    And the server answers "half" and then <ending>
    Then the router's connection has received "half"
    And the router's connection ends with "<outcome>"
    And the server's connection has ended, and the peer carries nothing

    Examples:
      | ending                            | outcome        |
      | closes the connection             | ConnectionDone |
      | resets the connection             | ConnectionLost |
      | the peer closes its connections   | ConnectionLost |
      | the peer's process ends           | ConnectionLost |

  Scenario Outline: An answer without length is complete only if its server ended it
    Given a server that a peer reaches
    When the router sends a request on a path
    And the server answers "HTTP/1.1 200 OK\r\n\r\nhalf" and then <ending>
    Then the answer is "<outcome>"

    Examples:
      | ending                          | outcome  |
      | closes the connection           | complete |
      | resets the connection           | lost     |
      | the peer closes its connections | lost     |

  Scenario Outline: The end of the router's side resets the connection to the server
    Given a server that a peer reaches
    When the router opens a path and sends "request"
    And the router <ending> its connection
    Then the server's connection ends with "ConnectionLost"
    And the server's connection has ended, and the peer carries nothing

    Examples:
      | ending |
      | aborts |
      | closes |

  Scenario: A request of several messages arrives whole
    Given a server that a peer reaches
    When the router opens a path and sends 1000000 bytes
    Then the server receives these 1000000 bytes

  Scenario: A router that does not read holds the server back
    Given a server that a peer reaches
    When the router opens a path and sends "request"
    And the router stops reading, and the server sends 96 MB for as long as it may
    Then the server is held back before 48 MB
    When the router reads again
    Then the router receives the 96 MB as they were sent
    And the router's connection ends with "ConnectionDone"

  Scenario: A server that does not read holds the router back
    Given a server that a peer reaches
    When the router opens a path and sends "request"
    And the server stops reading, and the router sends 96 MB for as long as it may
    Then the router is held back before 48 MB
    When the server reads again
    Then the server receives the 96 MB as they were sent

  Scenario Outline: A peer refuses what it must not or cannot carry
    Given a server that a peer reaches
    And the peer <state>
    When the router asks for a path to <target>
    Then the path is refused
    And the server has got no connection

    Examples:
      | state                      | target                       |
      | is as it was               | an address that is no server |
      | is as it was               | a server at another address  |
      | is stopping                | the server                   |
      | carries as many as it may  | the server                   |
      | has lost its direct way    | the server                   |
      | was told by it to wait     | the server                   |
      | knows that it was removed  | the server                   |

  Scenario Outline: A peer that carries no calls to a server still shows that it lives
    Given a server that a peer reaches
    And the peer <state>
    When the router probes the server on a path
    Then the path is opened

    Examples:
      | state                     |
      | was told by it to wait    |
      | knows that it was removed |

  Scenario Outline: A peer hears what a server states in an answer that it carries
    Given a server that a peer reaches
    When the router sends a request on a path
    And the server answers "<bytes>" in parts of <size> bytes
    Then the peer has heard "<heard>"

    Examples:
      | bytes                                                          | size | heard              |
      | HTTP/1.1 503 X\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n  | 100  | 503, retry after 2 |
      | HTTP/1.1 503 X\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n  | 1    | 503, retry after 2 |
      | HTTP/1.1 100 X\r\n\r\nHTTP/1.1 503 X\r\nRetry-After: 2\r\n\r\n | 30   | 503, retry after 2 |
      | HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\nHTTP                | 100  | 200, retry after - |
      | no bytes of an answer\r\n\r\n                                  | 100  | nothing            |

  Scenario: A peer gives up connecting to a server that does not answer
    Given a server that a peer reaches
    When the router asks for a path to an unresponsive port
    Then the path is refused

  Scenario: A path that gets another message than data is ended
    Given a server that a peer reaches
    When the router opens a path and sends "request"
    And the router sends a second request for a path on it
    Then the server's connection has ended, and the peer carries nothing

  Scenario: The end of the grace period ends what is carried
    Given a server that a peer reaches
    When the router opens a path and sends "request"
    And the peer ends all paths
    Then the router's connection ends with "ConnectionLost"
    And the server's connection has ended, and the peer carries nothing
