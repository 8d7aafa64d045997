Feature: The first streams at engines that state nothing of their process
  A connection that stays open names such a process. The first stream at an
  engine begins before there is one.

  # Guards against streams that can go on nowhere, not even at the router and the
  # engine that began them.
  Scenario Outline: The process of the first stream at an engine gets a name
    Given an engine that states nothing, and a connection that a stream is to be sent on
    When the connection that names the process <opens>
    Then the stream is sent to a process that <known>

    Examples:
      | opens                                  | known      |
      | opens                                  | has a name |
      | opens after the process has ended      | is unknown |
      | fails                                  | is unknown |
      | does not open for 250 ms               | is unknown |

  # Guards against two processes with one name.
  Scenario: A process that ends before it is asked again gets no name
    Given an engine that states nothing, and a connection that a stream is to be sent on
    When the process ends as the connection that names it opens
    Then the stream is sent on another connection
