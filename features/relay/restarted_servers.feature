Feature: Answers of servers that restart before their end is noticed
  An answer with neither a length nor chunks ends with its connection. A router
  that was paused, or whose link was slow, reads that end late: the server may
  accept connections again by then, and its entry may still be the old one.

  # Guards against a broken answer that looks complete because its server is back.
  Scenario Outline: A broken answer does not look complete after a pause of its router
    Given 3 routers before servers whose answers have no length
    And an entry is listed <lag> s after the start of its server
    When a server is down for <down> s amid its answers to "<route>", and the routers are paused for <pause> s
    Then none of their callers has a part of an answer that looks complete

    Examples:
      | route  | down | lag | pause |
      | book   | 0.02 | 0.0 | 0.2   |
      | book   | 0.02 | 0.8 | 0.2   |
      | book   | 0.15 | 0.0 | 0.2   |
      | book   | 0.15 | 0.8 | 0.2   |
      | read   | 0.15 | 0.8 | 0.2   |
      | talk   | 0.02 | 0.0 | 0.6   |
      | talk   | 0.02 | 0.8 | 0.6   |
      | talk   | 0.5  | 0.0 | 0.6   |
      | talk   | 0.5  | 0.8 | 0.6   |
      | talk   | 1.2  | 0.8 | 1.3   |
      | stream | 0.5  | 0.8 | 0.6   |
      | stream | 1.2  | 0.8 | 1.3   |

  # Guards against the same without a pause, by a server that is back at once.
  Scenario Outline: A broken answer does not look complete though its server is back at once
    Given 3 routers before servers whose answers have no length
    And an entry is listed <lag> s after the start of its server
    When a server is down for <down> s amid its answers to "<route>"
    Then none of their callers has a part of an answer that looks complete

    Examples:
      | route  | down  | lag |
      | book   | 0.005 | 0.8 |
      | talk   | 0.005 | 0.0 |
      | talk   | 0.005 | 0.8 |
      | stream | 0.005 | 0.8 |

  # Guards against a broken answer that looks complete because something else
  # accepts connections at the address of its server.
  Scenario Outline: A port that another process keeps open proves nothing
    Given 3 routers before servers whose answers have no length
    When a server is killed amid its answers to "<route>", and its port stays open
    Then none of their callers has a part of an answer that looks complete

    Examples:
      | route  |
      | book   |
      | talk   |
      | stream |

  # Guards against whole answers that are lost for want of a proof.
  Scenario Outline: A whole answer reaches its caller though its router was paused
    Given 3 routers before servers whose answers have no length
    When the routers are paused for <pause> s amid answers to "<route>"
    Then their callers have whole answers of one run

    Examples:
      | route  | pause |
      | book   | 0.2   |
      | talk   | 0.6   |
      | stream | 0.6   |

  # Guards against whole answers that are lost because their server is silent.
  Scenario Outline: A whole answer reaches its caller though its server is silent after it
    Given 3 routers before servers whose answers have no length
    When a server falls silent for 0.4 s at the end of its answers to "<route>"
    Then their callers have whole answers of one run

    Examples:
      | route |
      | talk  |
