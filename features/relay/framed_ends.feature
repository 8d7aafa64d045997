Feature: Connections to engines whose answers come in chunks
  An answer with neither a length nor chunks ends with its connection, and an
  older connection may prove its end. Chunks tell the end themselves. An engine
  accepts a limited number of connections, and each new one has a price.

  # Guards against one connection more for each stream at engines whose answers
  # need no proof, so that streams take twice the connections of their engine.
  Scenario Outline: Streams in chunks have no older connection of their own
    Given 3 routers before engines that state their start in "<places>", with an epoch, and whose streams come in chunks
    When 150 streams begin at once, after earlier ones have ended
    Then the engines get no more connections than streams, and one from each router

    Examples:
      | places                   |
      | the entry and the report |
      | the entry                |
      | no place                 |
