Feature: Events of a stream reach its caller once and in order
  What an engine sends after another one is passed on only as far as it is the
  rest of what the caller has, whatever its line ends, ids and pieces are.

  Scenario Outline: A caller takes up a stream whose ids have gaps
    Given a stream caller with the events up to "<last>"
    When an engine sends the events "<events>" and ends
    Then the stream is "<taken>" and <state>

    Examples:
      | last | events  | taken   | state      |
      | 8    | 12 16   | 12 16   | complete   |
      | 8    | 12      | 12      | complete   |
      | 8    | 9 10    | 9 10    | complete   |
      | 8    | 11 12   |         | incomplete |
      | 8    | 8 12    |         | incomplete |
      | 8    | 12 12   |         | incomplete |
      | 8    | 4 8 12  |         | incomplete |

  Scenario Outline: A stream with gaps goes on after its first event
    Given a stream caller without events
    When an engine sends the events "4" and breaks off
    And an engine sends the events "<events>" and ends
    Then the stream is "<taken>" and <state>

    Examples:
      | events | taken  | state      |
      | 8 12   | 4 8 12 | complete   |
      | 5 6    | 4 5 6  | complete   |
      | 6 7    | 4      | incomplete |
      | 4 8    | 4      | incomplete |

  Scenario Outline: Events without a number do not show that they are the rest of a stream
    Given a stream caller without events
    When an engine sends the events "<first>" and breaks off
    And an engine sends the events "<second>" and ends
    Then the stream is "<taken>" and <state>

    Examples:
      | first | second   | taken   | state      |
      | 1 2   | x 1 2 3  | 1 2     | incomplete |
      | 1 2   | x y      | 1 2     | incomplete |
      | 1 2   | x 3      | 1 2 x 3 | complete   |
      | 1 2 x | x 3      | 1 2 x   | incomplete |
      | 1 x 2 | 3 x      | 1 x 2 3 x | complete |
      | 1 2   | [DONE]   | 1 2 [DONE] | complete |

  Scenario Outline: Line ends, ids and marks of an event
    Given a stream caller without events
    When an engine sends "<first>" and breaks off
    And an engine sends "<second>" and ends
    Then the stream is "<taken>" and <state>

    Examples:
      | first                          | second                          | taken | state      |
      | id: 1\rdata: 1\r\r             | id: 2\rdata: 2\r\r              | 1 2   | complete   |
      | id: 1\r\ndata: 1\r\n\r         | id: 1\r\ndata: 1\r\n\r\n        | 1     | complete   |
      | id: 1\ndata: 1\n\n             | \xef\xbb\xbfid: 1\ndata: 1\n\n  | 1     | incomplete |
      | id: 1\ndata: 1\n\n             | \xef\xbb\xbfid: 2\ndata: 2\n\n  | 1 2   | complete   |
      | id: 0\nid: 1\ndata: 1\n\n      | id: 1\ndata: 1\n\n              | 1     | incomplete |
      | id: 0\nid: 1\ndata: 1\n\n      | id: 1\nid: 2\ndata: 2\n\n       | 1 2   | complete   |
      | v: 3\nid: 1\ndata: 1\n\n       | v: 4\nid: 2\ndata: 2\n\n        | 1 2   | complete   |
      | id: 1\ndata: 1\n\n             | : waits\n\nid: 2\ndata: 2\n\n   | 1 2   | complete   |
      | id: 1700000000000000001\ndata: 1\n\n | id: 1700000000000000002\ndata: 2\n\n | 1 2 | complete |
      | id: 1\ndata: 1\n\n             | id: abc\ndata: 1\n\n            | 1     | incomplete |

  Scenario Outline: An engine is asked for the events after the last one as it named it
    Given a stream caller with the events up to "<last>"
    Then an engine is asked for the events after "<last>"

    Examples:
      | last                   |
      | 7                      |
      | 007                    |
      | 1700000000000000000001 |
      | a7                     |

  Scenario: An id that is too long for a number breaks off no router
    Given a stream caller without events
    When an engine sends an event whose id has 5000 digits
    Then the event is passed on and the stream cannot be continued

  Scenario: Whatever the pieces are, the caller has a prefix of the stream
    Then each event of any engines reaches the caller once and in order
