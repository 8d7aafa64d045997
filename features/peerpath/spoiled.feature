Feature: Wrong bytes of servers on the way through a peer
  A router that does not reach a server has its connections carried by another
  one. Whether bytes are an answer is decided where the call is, not on the way.

  Scenario Outline: Wrong bytes that a peer has carried reach callers as a success
    Given <routers> routers before servers that spoil some answers
    And <choice> of them are partitioned from all servers, silent
    When 40 first attempts a second come for 12 s
    Then no caller has a foreign page
    And a request that may run once is answered 502 if its answer was spoiled

    Examples:
      | routers | choice |
      | 5       | 0      |
      | 5       | 2      |
      | 8       | 5      |
