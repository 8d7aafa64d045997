Feature: Engines that do not state when they started
  Engines restart under their ids with other software. Where neither the entry
  nor the report has their start, or only one of them, something else has to
  show which process an entry describes.

  # Guards against streams that are joined from two software versions because an
  # engine that states no start is taken for the one that is listed.
  Scenario Outline: Streams are not joined at engines that do not state their start
    Given 3 routers before 4 engines that state their start in "<places>", and cache events with an epoch <epochs>
    And the engines are listed <entry> s after a start
    And each engine in turn is down for <down> s, <gap> s before the next
    When 10 streams a second begin for 13 s
    Then at most 0 streams have events of two versions
    And at least half as many streams that are taken up go on as new ones begin

    Examples:
      | places                        | epochs | down | gap | entry |
      | the entry and the report      | yes    | 1.0  | 0.6 | 0.8   |
      | the entry                     | yes    | 1.0  | 0.6 | 0.8   |
      | the report                    | yes    | 1.0  | 0.6 | 0.8   |
      | no place                      | yes    | 1.0  | 0.6 | 0.8   |
      | the entry                     | yes    | 0.1  | 0.6 | 1.2   |
      | the report                    | yes    | 0.1  | 0.6 | 1.2   |
      | no place                      | yes    | 0.1  | 0.6 | 1.2   |
      | no place                      | yes    | 0.4  | 1.6 | 0.8   |
      | both since they were upgraded | yes    | 0.4  | 0.6 | 0.8   |
      | both until they were upgraded | yes    | 0.4  | 0.6 | 0.8   |
      | both, at every second engine  | yes    | 0.4  | 0.6 | 0.8   |

  # Guards against the same at engines without cache events, so that nothing but
  # the age of a connection shows which process it leads to.
  Scenario Outline: Streams are not joined at engines that state nothing of their process
    Given 3 routers before 4 engines that state their start in "<places>", and cache events with an epoch no
    And the engines are listed <entry> s after a start
    And each engine in turn is down for <down> s, <gap> s before the next
    When 10 streams a second begin for 13 s
    Then at most 0 streams have events of two versions
    And at least half as many streams that are taken up go on as new ones begin

    Examples:
      | places     | down | gap | entry |
      | the entry  | 1.0  | 0.6 | 0.8   |
      | the report | 0.1  | 0.6 | 1.2   |
      | no place   | 1.0  | 0.6 | 0.8   |
      | no place   | 0.1  | 0.6 | 1.2   |
      | no place   | 0.4  | 1.6 | 0.8   |

  # Guards against joined streams alone where few or none go on, which the rows
  # above count as a failure of their own.
  Scenario Outline: No stream is joined at engines that state nothing of their process
    Given 3 routers before 4 engines that state their start in "<places>", and cache events with an epoch no
    And the engines are listed <entry> s after a start
    And each engine in turn is down for <down> s, <gap> s before the next
    When 10 streams a second begin for <seconds> s
    Then no stream has events of two versions, whether any goes on or not

    Examples:
      | places     | down | gap | entry | seconds |
      | the entry  | 1.0  | 0.6 | 0.8   | 13      |
      | the report | 0.1  | 0.6 | 1.2   | 13      |
      | no place   | 1.0  | 0.6 | 0.8   | 13      |
      | no place   | 0.1  | 0.6 | 1.2   | 13      |
      | no place   | 0.4  | 1.6 | 0.8   | 13      |
      | no place   | 1.0  | 6.0 | 0.8   | 30      |

  # Guards against the same by entries that an engine wrote before its end and
  # that reach the store after those of the next process.
  Scenario Outline: Late entries mislead nobody though engines do not state their start
    Given 3 routers before 4 engines that state their start in "<places>", and cache events with an epoch <epochs>
    And entries of engines that have ended reach the store late
    And each engine in turn is down for <down> s, <gap> s before the next
    When 10 streams a second begin for 13 s
    Then at most 0 streams have events of two versions
    And at least half as many streams that are taken up go on as new ones begin

    Examples:
      | places    | epochs | down | gap |
      | the entry | yes    | 0.1  | 0.6 |
      | no place  | yes    | 0.1  | 0.6 |
      | no place  | no     | 0.1  | 1.5 |

  # Guards against the same while routers are killed, so that others have to know
  # which version began a stream.
  Scenario Outline: Other routers know where streams began though engines do not state their start
    Given 3 routers before 4 engines that state their start in "<places>", and cache events with an epoch yes
    And the engines are listed 0.8 s after a start
    And each engine in turn is down for <down> s, <gap> s before the next
    And the fleet is disturbed by routers that are killed
    When 10 streams a second begin for 13 s
    Then at most 0 streams have events of two versions
    And at least half as many streams that are taken up go on as new ones begin

    Examples:
      | places    | down | gap |
      | the entry | 0.4  | 0.6 |
      | no place  | 0.4  | 0.6 |
      | no place  | 1.0  | 1.6 |
