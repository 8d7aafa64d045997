Feature: Older connections of which nothing is heard
  An answer with neither a length nor chunks counts as whole if an older
  connection shows that its server lives. That nothing is heard of it shows
  nothing: a peer that carries it may be paused, or its link may lose packets.

  # Guards against parts of answers that look complete because the peer that
  # carries the older connection is paused as the server ends.
  Scenario Outline: A broken answer does not look complete though a peer is paused
    Given 3 routers before servers whose answers have no length
    And one of the routers has reached the servers through its peers for a while
    When a server ends amid its answers to "<route>", and its peers are paused for <pause> s
    Then none of their callers has a part of an answer that looks complete

    Examples:
      | route | pause |
      | book  | 0.4   |
      | book  | 1.3   |
      | read  | 0.4   |
      | read  | 1.3   |

  # Guards against the same because a link loses the end of the older connection.
  Scenario Outline: A broken answer does not look complete though a link loses an end
    Given 3 routers before servers whose answers have no length
    When a server ends amid its answers to "<route>", and its idle connections are lost
    Then none of their callers has a part of an answer that looks complete

    Examples:
      | route |
      | book  |
      | read  |
