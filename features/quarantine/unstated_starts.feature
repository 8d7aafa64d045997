Feature: Requests whose connections break at servers that do not state their start
  A connection that breaks may be the end of its server. What shows that the server
  lives on need not be stated.

  Scenario Outline: A sound request whose connections broke is sent again later
    Given 3 routers before a server whose entry <states> its start
    When the connections of one request break 3 times while the server lives
    Then the request reaches the server 25 s later

    Examples:
      | states |
      | states |
      | lacks  |
