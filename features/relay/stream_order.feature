Feature: Events of a stream reach its caller once and in order
  What an engine sends after another one is passed on only as far as it is the
  rest of what the caller has, whatever its line ends, ids and pieces are.

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
      | id: 0\nid: 1\ndata: 1\n\n      | id: 1\ndata: 1\n\n              | 1     | incomplete |
      | id: 0\nid: 1\ndata: 1\n\n      | id: 1\nid: 2\ndata: 2\n\n       | 1 2   | complete   |
      | v: 3\nid: 1\ndata: 1\n\n       | v: 4\nid: 2\ndata: 2\n\n        | 1 2   | complete   |
      | id: 1\ndata: 1\n\n             | : waits\n\nid: 2\ndata: 2\n\n   | 1 2   | complete   |
      | id: 1700000000000000001\ndata: 1\n\n | id: 1700000000000000002\ndata: 2\n\n | 1 2 | complete |

  Scenario: An id that is too long for a number breaks off no router
    Given a stream caller without events
    When an engine sends an event whose id has 5000 digits
    Then the event is passed on and the stream cannot be continued
