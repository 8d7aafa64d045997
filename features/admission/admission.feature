Feature: Admission
  Limits hold over several routers, refusals are correct, and retries do not prolong an overload.

  Scenario: The first request of a customer is admitted
    Given 1 router that admits 100 requests/s and 1000 tokens/s of a customer
    Then admission accepts 1 request of 900 tokens at 0

  Scenario Outline: A refusal has the verdict not-run and a retry delay
    Given 1 router that admits 10 requests/s and 1000 tokens/s of a customer
    When admission has accepted <accepted> requests of <tokens> tokens at 0
    Then admission refuses with <status> "<code>" after <wait> ms

    Examples:
      | accepted | tokens | status | code               | wait |
      | 10       | 10     | 429    | rate_limited       | 100  |
      | 2        | 500    | 429    | rate_limited       | 10   |

  Scenario: Requests that cannot meet their deadline are refused early, the least urgent first
    Then with a deadline of 1000 ms admission accepts these costs
      | priority | cost | accepted |
      | 0        | 990  | yes      |
      | 0        | 1010 | no       |
      | 5        | 740  | yes      |
      | 5        | 760  | no       |
      | 9        | 540  | yes      |
      | 9        | 560  | no       |

  Scenario Outline: The shares of several routers together keep the limit
    Then with <demand> demand <routers> routers admit at most <factor> times the limit beyond their bursts

    Examples:
      | demand | routers | factor |
      | fresh  | 4       | 1      |
      | fresh  | 8       | 1      |
      | old    | 4       | 2      |
      | old    | 8       | 2      |

  Scenario: A router's share of a limit follows the demand
    Then the one of two routers that has nine tenths of the demand gets at least 80 % of the limit

  Scenario: Requests in flight are limited until they finish
    Given 1 router that admits 2 requests in flight of a customer
    When admission has accepted 2 requests of 1 tokens at 0
    Then admission refuses with 429 "too_many_in_flight" after 500 ms
    And after one request finishes admission accepts 1 request of 1 tokens at 0

  Scenario: Retries stay within their share of the requests
    Then retries of 1000 requests in 10 s stay within the budget of 0.1 and a pause without requests earns none beyond the minimum
