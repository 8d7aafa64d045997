Feature: Servers that end each connection with an answer
  Such a server ends the connection on which it was asked whether it lives.

  # Guards against whole answers that are lost because the check of another call
  # has ended the connection that would have proved them.
  Scenario Outline: Whole answers reach their callers though checks end connections
    Given 3 routers before servers that end each connection with an answer
    When 30 requests to "<route>" are sent, 0.02 s apart
    Then all their callers have whole answers of one run

    Examples:
      | route |
      | book  |
      | read  |

  # Guards against whole answers that are lost because the connection that would
  # have proved them was open a little later than that of the call.
  Scenario Outline: A first answer reaches its caller though connections open at different times
    Given 3 routers before servers that end each connection with an answer
    And every other connection to a server opens <delay> s later
    When 6 requests to "<route>" are sent, 1 s apart
    Then all their callers have whole answers of one run

    Examples:
      | route | delay |
      | book  | 0.002 |
      | book  | 0.05  |
