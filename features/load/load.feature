Feature: Load of the engines
  Estimates combine late reports with the sends of this router and its peers.

  Scenario: A late report does not replace a newer one
    Given an engine table with a report of 500 queued tokens measured at 1000
    When the engine table gets a report of 9000 queued tokens measured at 400
    Then the engine table estimates a queue of 25 ms at 1000

  Scenario: Sends after the measurement are added to a late report
    Given an engine table with a report of 0 queued tokens measured at 0
    When 4000 tokens are sent by the engine table at 1000
    And the engine table gets a report of 0 queued tokens measured at 900
    Then the engine table estimates a queue of 200 ms at 1000
    And the engine table estimates a queue of 100 ms at 1100

  Scenario: A new incarnation starts with an empty queue
    Given an engine table with a report of 0 queued tokens measured at 0
    When 90000 tokens are sent by the engine table at 100
    And the engine table gets a report of another incarnation measured at 50
    Then the engine table estimates a queue of 0 ms at 200

  Scenario Outline: The table explains whether an engine gets work
    Given an engine table with a report of 0 queued tokens measured at 0
    When the load event "<event>" happens at 100
    Then at <time> the engine table says "<text>" and use is <use>

    Examples:
      | event     | time  | text                      | use |
      | none      | 200   | gets work                 | yes |
      | leaving   | 200   | it is leaving             | no  |
      | role      | 200   | it is leaving             | no  |
      | failed    | 200   | refused or broke          | no  |
      | failed    | 10200 | gets work                 | yes |
      | recovered | 200   | gets work                 | yes |
      | none      | 15001 | last load report is 15001 | no  |

  Scenario: Waits and fast answers lead to no implausible prefill speed
    Then the prefill speed stays within bounds for all answers with waits at 24 tokens/ms
