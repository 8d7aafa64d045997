Feature: Calls to servers that name a rate limit
  One router schedules the calls of all routers to a server. A call to it needs
  a permit.

  Scenario: A server with a limit gets no call without a permit, though it has the prompt cached
    Given 2 engines of version 1, of which s0 has the prompt cached and takes 2 calls a second
    When a call is decided upon
    Then it goes to s1
    And a permit for s0 is asked for

  Scenario: A server with a limit gets the call for which it granted a permit
    Given 2 engines of version 1, of which s0 has the prompt cached and takes 2 calls a second
    And a permit for s0 that is usable now
    When 2 calls are decided upon and sent
    Then they go to s0, s1

  Scenario: A call waits for a permit that comes in time
    Given 1 engine of version 1, of which s0 has the prompt cached and takes 2 calls a second
    And a permit for s0 that is usable in 300 ms
    When a call is decided upon
    Then it waits, because of rate_limit_soon

  Scenario: A call that cannot get a permit in time is refused at once with the true wait
    Given 1 engine of version 1, of which s0 has the prompt cached and takes 2 calls a second
    And no permit for s0 is to be had before 4000 ms
    When a call is decided upon
    Then it is refused, because of rate_limit_later, for 4000 ms

  Scenario: Calls that wait precede a call that arrives later
    Given 1 engine of version 1, of which s0 has the prompt cached and takes 2 calls a second
    And a permit for s0 that is usable in 300 ms
    When a call is decided upon
    And the first call is decided upon again 290 ms later
    And 20 ms later another call is decided upon
    Then it waits, because of rate_limit_soon
    When the first call is decided upon again 0 ms later
    Then it goes to s0

  Scenario: Many calls at one router are told waits that grow with their number
    Given 1 engine of version 1, of which s0 has the prompt cached and takes 2 calls a second
    And a permit for s0 that is usable in 300 ms
    When 12 calls are decided upon and sent
    Then those that wait expect at most half of their remaining time, and the others are refused

  Scenario: A permit that is not used in time is lost
    Given 2 engines of version 1, of which s0 has the prompt cached and takes 2 calls a second
    And a permit for s0 that is usable now
    When 500 ms later another call is decided upon
    Then it goes to s1

  Scenario: Permits from before a fall of the limit are lost
    Given 2 engines of version 1, of which s0 has the prompt cached and takes 2 calls a second
    And a permit for s0 that is usable now
    When s0 lowers its limit to 1 a second
    And a call is decided upon
    Then it goes to s1

  Scenario: A home that loses other routers does not grant reserved times again
    Given a schedule of 2 calls a second
    When 4 calls are reserved at once, and then the share of the home falls to a half
    Then the next call is scheduled after them

  Scenario Outline: A schedule spaces calls evenly and makes up for nothing
    Given a schedule of <limit> calls a second
    When calls are reserved one by one over <seconds> s, with a pause of <pause> s
    Then any 4 s have at most <most> calls

    Examples:
      | limit | seconds | pause | most |
      | 1.7   | 60      | 0     | 8    |
      | 1.7   | 60      | 20    | 8    |
      | 0.2   | 60      | 20    | 2    |
      | 50    | 20      | 5     | 201  |
