Feature: Answers without a length of servers that do not state their start
  An answer with neither a length nor chunks ends with its connection. Servers
  restart under their ids, and need not state when they started in their entry,
  in their report or in either.

  # Guards against a broken answer that looks complete because the next process
  # of its server, which states no start, has the same id.
  Scenario Outline: A broken answer does not look complete though its server states no start
    Given 3 routers before servers that state their start in "<places>", with an epoch <epoch>, and whose answers have no length
    When a server is down for <down> s amid its answers to "<route>", and the routers are paused for <pause> s
    Then none of their callers has a part of an answer that looks complete

    Examples:
      | route  | places     | epoch | down | pause |
      | talk   | no place   | yes   | 0.02 | 0.6   |
      | talk   | no place   | yes   | 0.5  | 0.6   |
      | talk   | the report | yes   | 0.02 | 0.6   |
      | talk   | the entry  | yes   | 0.02 | 0.6   |
      | talk   | no place   | no    | 0.02 | 0.6   |
      | talk   | no place   | no    | 0.5  | 0.6   |
      | stream | no place   | yes   | 0.5  | 0.6   |
      | stream | no place   | no    | 0.5  | 0.6   |
      | book   | no place   | no    | 0.02 | 0.2   |
      | book   | no place   | no    | 0.15 | 0.2   |
      | read   | no place   | no    | 0.15 | 0.2   |

  # Guards against the same without a pause, by a server that is back at once.
  Scenario Outline: A broken answer does not look complete though its server is back at once without a start
    Given 3 routers before servers that state their start in "<places>", with an epoch <epoch>, and whose answers have no length
    When a server is down for 0.005 s amid its answers to "<route>"
    Then none of their callers has a part of an answer that looks complete

    Examples:
      | route  | places                        | epoch |
      | talk   | no place                      | yes   |
      | talk   | no place                      | no    |
      | talk   | both since they were upgraded | yes   |
      | talk   | both until they were upgraded | yes   |
      | stream | no place                      | yes   |
      | book   | no place                      | no    |

  # Guards against whole answers that are all lost because their servers state
  # their start in one place alone, or in none.
  Scenario Outline: A whole answer reaches its caller wherever its server states its start
    Given 3 routers before servers that state their start in "<places>", with an epoch <epoch>, and whose answers have no length
    When the servers answer requests of "<route>"
    Then their callers have whole answers of one run

    Examples:
      | route  | places                       | epoch |
      | talk   | the entry and the report     | yes   |
      | talk   | the entry                    | yes   |
      | talk   | the report                   | yes   |
      | talk   | no place                     | yes   |
      | talk   | the entry                    | no    |
      | talk   | the report                   | no    |
      | talk   | no place                     | no    |
      | talk   | both, at every second engine | yes   |
      | stream | the entry                    | yes   |
      | stream | the report                   | no    |
      | stream | no place                     | no    |
      | book   | the entry                    | no    |
      | book   | no place                     | no    |
      | read   | no place                     | no    |
