Feature: Quarantine of requests that crash backend servers
  Three crashes refuse a request for 10 minutes, two keep suspects apart, and
  an innocent neighbour is cleared by its own answer.

  Scenario Outline: The number of crashes decides how a request is run
    Given a quarantine in which request "a" saw <crashes> confirmed crashes
    Then the standing of request "a" is "<standing>" in the quarantine

    Examples:
      | crashes | standing |
      | 0       | clear    |
      | 1       | clear    |
      | 2       | suspect  |
      | 3       | refused  |

  Scenario: A broken connection counts only while the engine may have crashed
    Given a quarantine in which request "a" saw 2 confirmed crashes
    When a connection of request "a" to an engine of incarnation "i9" breaks
    Then the standing of request "a" is "refused" in the quarantine
    When the engine shows incarnation "i9" again
    Then the standing of request "a" is "suspect" in the quarantine

  Scenario: A crash that several routers saw counts once
    Given a quarantine in which request "a" saw 2 confirmed crashes
    And another router's quarantine that saw the same crashes
    When both quarantines tell each other twice
    Then the standing of request "a" is "suspect" in both quarantines

  Scenario: Two suspects do not share an engine
    Given a quarantine in which request "a" saw 2 confirmed crashes
    And request "b" saw 2 confirmed crashes in the same quarantine
    When request "a" runs on an engine
    Then the quarantine keeps request "b" from that engine and not request "a"

  Scenario: An answer clears a request here and at the peers
    Given a quarantine in which request "a" saw 2 confirmed crashes
    And another router's quarantine that saw the same crashes
    When request "a" completes in the first quarantine
    And both quarantines tell each other twice
    Then the standing of request "a" is "clear" in both quarantines

  Scenario: A refused request is run again after 10 minutes
    Given a quarantine in which request "a" saw 3 confirmed crashes
    When 10 minutes pass in the quarantine
    Then the standing of request "a" is "clear" in the quarantine

  Scenario: Memory is bounded
    Given a quarantine for at most 50 requests
    When 500 requests break on 5 engines
    Then the quarantine remembers at most 50 requests

  Scenario: A request that crashes every engine is refused, its neighbours are not
    Given a routed model service with 3 engines
    And the engines crash on the poison prompt and come back at once
    When a caller sends the poison prompt again and again beside others
    Then the poison prompt is refused with code "quarantined"
    And at most 3 crashes are recorded by the engines
    And each other prompt was answered
