Feature: Peers that carry streams to engines that restart with other software
  A router that is partitioned from all engines asks them through a peer. The
  process that is asked has to be the one that gets the call.

  # Guards against streams that are joined from two software versions because a
  # connection that a peer carries is taken for one to another process.
  Scenario Outline: Streams that peers carry are not joined from two versions
    Given 3 routers before 4 engines that state their start in "<places>", and cache events with an epoch <epochs>
    And the engines are listed <entry> s after a start
    And <cut> routers are refused all connections to engines
    And each engine in turn is down for <down> s, <gap> s before the next
    When 10 streams a second begin for 13 s
    Then at most 0 streams have events of two versions
    And streams have events that only peers can have carried

    Examples:
      | cut | places                       | epochs | down | gap | entry |
      | 1   | the entry and the report     | yes    | 1.0  | 0.6 | 0.8   |
      | 2   | the entry and the report     | yes    | 0.4  | 0.6 | 0.8   |
      | 1   | the entry                    | yes    | 0.1  | 0.6 | 1.2   |
      | 2   | the report                   | yes    | 0.1  | 0.6 | 1.2   |
      | 2   | no place                     | yes    | 0.1  | 0.6 | 1.2   |
      | 2   | both, at every second engine | yes    | 0.4  | 0.6 | 0.8   |
