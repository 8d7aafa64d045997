Feature: Answers of servers that leave
  An answer with neither a length nor chunks ends with its connection. The entry
  of a server that leaves may be removed while it serves on. Whether its answer
  is whole shows at the connection and at the server, not in the list.

  Scenario Outline: A whole answer reaches its caller though its server is no longer listed
    Given 3 routers before servers whose answers have no length
    When a server leaves while it answers requests of "<route>"
    Then their callers have whole answers of one run

    Examples:
      | route  |
      | book   |
      | read   |
      | talk   |
      | stream |

  Scenario Outline: A broken answer does not look complete, whether its server was listed or not
    Given 3 routers before servers whose answers have no length
    When a server <ends> while it answers requests of "<route>"
    Then none of their callers has an answer that looks complete

    Examples:
      | ends                   | route |
      | is killed              | book  |
      | is killed              | talk  |
      | leaves and is killed   | book  |
      | leaves and is killed   | talk  |
      | starts anew            | book  |
      | starts anew            | talk  |
      | leaves and starts anew | book  |
      | leaves and starts anew | talk  |

  # Guards against a broken answer that looks complete, because its server accepts
  # connections again before its next entry is read.
  Scenario Outline: A broken answer does not look complete though its server is back without an entry
    Given 3 routers before servers whose answers have no length
    When a server leaves and starts anew unlisted while it answers requests of "<route>"
    Then none of their callers has an answer that looks complete

    Examples:
      | route |
      | book  |
      | talk  |

  # Guards against whole answers that are taken for broken ones because another
  # router carries them, which may not list the server either.
  Scenario Outline: A whole answer that a peer carries reaches its caller though its server is no longer listed
    Given 3 routers before servers whose answers have no length
    And one of the routers reaches the servers through its peers alone
    When a server leaves while it answers requests of "<route>" that peers carry
    Then their callers have whole answers of one run

    Examples:
      | route  |
      | book   |
      | read   |
      | talk   |
      | stream |

  # Guards against a broken answer that looks complete because a peer carries it.
  Scenario Outline: A broken answer that a peer carries does not look complete
    Given 3 routers before servers whose answers have no length
    And one of the routers reaches the servers through its peers alone
    When a server <ends> while it answers requests of "<route>" that peers carry
    Then none of their callers has an answer that looks complete

    Examples:
      | ends                 | route |
      | is killed            | book  |
      | is killed            | talk  |
      | leaves and is killed | book  |
      | leaves and is killed | talk  |
