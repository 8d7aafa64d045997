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

  Scenario Outline: What a server states instead of its start decides whether its runs still count
    Given 3 routers before a server that states <statement>
    When the connections of one request break 3 times while the server lives
    Then the request <reaches> the server again 25 s later

    Examples:
      | statement                                   | reaches        |
      | its start                                   | reaches        |
      | its count                                   | reaches        |
      | its start in every second entry             | reaches        |
      | its count in every second entry             | reaches        |
      | neither start nor count                     | does not reach |
      | a count that is text                        | does not reach |
      | a count that is a fraction                  | does not reach |
      | a count that is true                        | does not reach |
      | a count below zero                          | does not reach |
      | a count that stays the same                 | does not reach |
      | a count that rises by 3 with each entry     | does not reach |
      | the time in seconds as its count            | does not reach |
      | its start since the last of the runs        | does not reach |

  Scenario Outline: A server that has ended under a request has not lived on, whatever it states
    Given 3 routers before a server that states <statement>
    When one request ends the server 3 times, which is back after <down> s
    Then the request does not reach the server again 25 s later

    Examples:
      | statement                                        | down |
      | its start                                        | 0.05 |
      | its count                                        | 0.05 |
      | its count                                        | 3    |
      | its start in every second entry                  | 0.05 |
      | its start in every second entry                  | 3    |
      | its count in every second entry                  | 0.05 |
      | neither start nor count                          | 0.05 |
      | its start since it was upgraded                  | 0.05 |
      | its start until it was upgraded                  | 0.05 |
      | its start until it was upgraded                  | 3    |
      | a count that rises by 3 with each entry          | 0.05 |
      | the time in seconds as its count                 | 0.05 |
      | a count that goes on, with its software          | 0.05 |

  Scenario Outline: A request that ends servers reaches few, whatever their counts show
    Given 5 routers before 3 servers that state <statement> and are back after <down> s
    When a request that ends servers comes again and again at any router for 60 s
    Then it reaches servers at most 3 times later than 3 s after the third end

    Examples:
      | statement                               | down |
      | a count that goes on                    | 0.05 |
      | a count that goes on                    | 1    |
      | a count that goes on                    | 3    |
      | a count that starts at 1000             | 0.05 |
      | its count                               | 0.05 |
      | its start in every second entry         | 0.05 |
      | its start since it was upgraded         | 1    |
