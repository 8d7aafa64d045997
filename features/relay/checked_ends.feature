Feature: Whole answers whose servers answer health checks late or seldom
  An answer with neither a length nor chunks ends with its connection. Whether
  its server lived on is asked in a health check, which waits for a slot as any
  request does, on a connection that the server may close.

  # Guards against whole answers that are dropped and run again because their
  # server is busy, so that its health checks wait for a slot.
  Scenario Outline: A whole answer reaches its caller though health checks wait for a slot
    Given 3 routers before servers whose answers have no length
    And a health check waits <wait> s for a slot
    When the servers answer requests of "<route>"
    Then their callers have whole answers of one run

    Examples:
      | route | wait |
      | read  | 0.2  |
      | read  | 0.28 |
      | book  | 0.28 |

  # Guards against whole answers that are lost because the server closes the
  # connection of an earlier check; "Connection: close" may stand in any answer.
  Scenario Outline: A whole answer reaches its caller though a health check ends its connection
    Given 3 routers before servers whose answers have no length
    And the connection of a health check ends with its answer
    When the servers answer requests of "<route>"
    Then their callers have whole answers of one run

    Examples:
      | route |
      | read  |
      | book  |

  # Guards against whole answers that are lost because the server closes the
  # connection for checks as an idle one.
  Scenario Outline: A whole answer reaches its caller though it lasts longer than an idle connection
    Given 3 routers before servers whose answers have no length
    And idle connections are closed after <limit> s
    When the servers answer requests of "<route>"
    Then their callers have whole answers of one run

    Examples:
      | route | limit |
      | read  | 0.1   |
      | book  | 0.1   |

  # Guards against whole answers that are lost or late because the connection
  # for checks hangs, while peers carry the calls.
  Scenario Outline: A whole answer reaches its caller though its router was cut off since
    Given 3 routers before servers whose answers have no length
    And the routers have connections for checks
    And one of the routers reaches the servers through its peers alone
    When a server leaves while it answers requests of "<route>" that peers carry
    Then their callers have whole answers of one run

    Examples:
      | route |
      | read  |
      | book  |

  # Guards against whole answers that are dropped and run again because peers
  # carry the calls to busy servers.
  Scenario Outline: A whole answer of a busy server reaches its caller through a peer
    Given 3 routers before servers whose answers have no length
    And the routers have connections for checks
    And one of the routers reaches the servers through its peers alone
    And a health check waits <wait> s for a slot
    When a server leaves while it answers requests of "<route>" that peers carry
    Then their callers have whole answers of one run

    Examples:
      | route | wait |
      | read  | 0.2  |
      | read  | 0.28 |
      | book  | 0.2  |
      | book  | 0.28 |

  # Guards against whole answers that are lost after one with a length, as a
  # failure or a health check may have.
  Scenario Outline: A whole answer reaches its caller though an earlier one had a length
    Given 3 routers before servers whose answers have no length
    And an earlier answer of each server had a length
    When the servers answer requests of "<route>"
    Then their callers have whole answers of one run

    Examples:
      | route |
      | read  |
      | book  |

  # Guards against whole answers that are lost each time that one with a length
  # came before.
  Scenario Outline: A whole answer reaches its caller though only some answers have a length
    Given 3 routers before servers whose answers have no length
    And the routers have connections for checks
    And an earlier answer of each server had a length
    When the servers answer requests of "<route>"
    Then their callers have whole answers of one run

    Examples:
      | route |
      | read  |
      | book  |

  # Guards against whole answers that are lost because the entry of an engine
  # that has started again is not listed yet.
  Scenario: A whole answer of an engine that is not listed with its start reaches its caller
    Given 3 routers before servers whose answers have no length
    And an entry is listed 1.9 s after the start of its server
    And each server has started again 0.1 s ago
    When the servers answer requests of "talk"
    Then their callers have whole answers of one run
