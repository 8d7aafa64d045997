Feature: Service-level burn rate
  Objectives are counted over all routers, and a restart loses little.

  Scenario: Copies of a router's counts merge alike in any order
    Then any burn states merge to one state in any order

  Scenario: Totals over a window equal a plain count
    Then any burn totals equal a plain count within the window

  Scenario Outline: A request is judged by each bound of the objective
    Then a burn sample <answered> with <first> ms, <between> ms and <waste> of 100 tokens misses <misses>

    Examples: the bounds are 620 ms, 60 ms and 20 %
      | answered   | first | between | waste | misses                     |
      | answered   | 620   | 60      | 20    | nothing                    |
      | answered   | 621   | 61      | 21    | first token, between, waste |
      | unanswered | none  | none    | 0     | availability               |

  Scenario Outline: Alerts need both windows over the factor
    Given burn counts at target 0.99 where <bad> % miss for the last <minutes> minutes
    Then the burn alerts are "<alerts>"

    Examples: 14.4 % misses are a burn rate of 14.4
      | bad | minutes | alerts             |
      | 0   | 4320    |                    |
      | 0.9 | 4320    |                    |
      | 1.5 | 4320    | slow               |
      | 7   | 360     | medium             |
      | 20  | 60      | fast               |
      | 20  | 3       |                    |
      | 100 | 60      | fast, medium, slow |

  Scenario: An alert ends soon after its cause
    Given burn counts at target 0.99 where 20 % miss for the last 60 minutes
    When 10 minutes of good burn counts follow
    Then the burn alerts are ""

  Scenario: Too many customers are counted together
    Then 300 burn customers take 256 series, and no request is lost

  Scenario: Bytes that are no counts are refused with one error type
    Then the burn decoder refuses damaged bytes cleanly

  Scenario: Counts survive the replacement of a router
    Given 3 burn routers of which the first has counted 10 requests
    When the first burn router has pushed its counts
    And the first burn router is replaced by a process that counts 5 requests
    Then the new burn process has counted 15 requests
    And a push of the new burn process gives every holder 15 requests

  Scenario: The report merges what several routers know, once
    Given 2 burn admin interfaces that share the counts of 10 requests, 4 of them late
    When the burn report is written from both
    Then the burn page has 10 requests and a spent budget, with one picture
    And the burn terminal view has 10 requests
