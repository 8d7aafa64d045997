Feature: First events that wait until peers know where their stream began
  A router that is killed takes with it what it knows of an engine that is not
  listed yet. So a peer knows of the stream before its caller does.

  # Guards against streams that do not begin, or whose events come in another
  # order, as a peer answers late or not at all.
  Scenario Outline: What was held back is passed on in order
    Given the first event of a stream at an engine that is not listed
    When a peer <keeps>, and another event follows after <event> ms
    Then its caller has the first event after <first> ms, and then the other

    Examples:
      | keeps               | event | first |
      | keeps it after 2 ms | 1     | 2     |
      | keeps it after 2 ms | 50    | 2     |
      | does not answer     | 1     | 100   |
      | keeps it at once    | 1     | 0     |

  # Guards against events for a caller that has left.
  Scenario: A call that ends takes what was held back with it
    Given the first event of a stream at an engine that is not listed
    When the call ends, and a peer keeps it then
    Then its caller has no event
