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
