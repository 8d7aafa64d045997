Feature: Quarantine of requests that crash backend servers
  After three crashes a request is refused for 10 minutes. After two, it shares
  no engine with other suspects. A run that ends without an answer counts as a
  crash at all routers until something later shows that its engine lives. A
  complete answer clears a request, so that one that only ran beside the cause
  of a crash is not refused.

  Scenario Outline: The number of crashes decides how a request is run
    Given a quarantine in which request "a" has <crashes> confirmed crashes
    Then the status of request "a" is "<status>" in the quarantine

    Examples:
      | crashes | status  |
      | 0       | clear   |
      | 1       | clear   |
      | 2       | suspect |
      | 3       | refused |

  Scenario: A broken connection counts only until the engine is known to live
    Given a quarantine in which request "a" has 2 confirmed crashes
    When a connection of request "a" to an engine of incarnation "i9" breaks
    Then the status of request "a" is "refused" in the quarantine
    When the engine reports incarnation "i9" again
    Then the status of request "a" is "suspect" in the quarantine

  Scenario: A crash that several routers saw counts once
    Given a quarantine in which request "a" has 2 confirmed crashes
    And another router's quarantine that saw the same crashes
    When both quarantines exchange their suspicions twice
    Then the status of request "a" is "suspect" in both quarantines

  Scenario: Two suspects do not share an engine
    Given a quarantine in which request "a" has 2 confirmed crashes
    And request "b" has 2 confirmed crashes in the same quarantine
    When request "a" runs on an engine
    Then the quarantine keeps request "b" from that engine and not request "a"

  Scenario: A complete answer clears a request at this router and at its peers
    Given a quarantine in which request "a" has 2 confirmed crashes
    And another router's quarantine that saw the same crashes
    When request "a" completes in the first quarantine
    And both quarantines exchange their suspicions twice
    Then the status of request "a" is "clear" in both quarantines

  Scenario: A refused request is run again after 10 minutes
    Given a quarantine in which request "a" has 3 confirmed crashes
    When 10 minutes pass in the quarantine
    Then the status of request "a" is "clear" in the quarantine

  Scenario: Memory is bounded
    Given a quarantine for at most 50 requests
    When the connections of 500 requests to 5 engines break
    Then the quarantine tracks at most 50 requests

  Scenario: A request that crashes every engine is refused, and others are not
    Given a routed model service with 3 engines
    And the engines crash on the poison prompt and restart at once
    When a caller repeats the poison prompt between other prompts
    Then the poison prompt is refused with code "quarantined"
    And at most 3 crashes are recorded by the engines
    And each other prompt was answered

  Scenario: A crash that nothing confirms counts at all routers
    Given 3 quarantines that each saw request "a" break on an engine of its own
    When these quarantines exchange their suspicions
    Then the status of request "a" is "refused" in each of these quarantines

  Scenario: An engine that ends twice before a router learns of its restart counts twice
    Given a quarantine without crashes
    When request "a" runs on an engine of incarnation "i1" and breaks, 3 times one after the other
    Then the status of request "a" is "refused" in the quarantine

  Scenario: One crash counts once for all runs of a request that it ends
    Given a quarantine without crashes
    When 3 runs of request "a" on an engine of incarnation "i1" break at once
    Then the status of request "a" is "clear" in the quarantine

  Scenario Outline: A run that a load of weights resets does not count once the engine has loaded
    Given a quarantine in which request "a" has 2 confirmed crashes
    When a run of request "a" breaks while the engine loads weights
    Then the status of request "a" is "refused" in the quarantine
    When the engine has loaded weights <ms> ms later
    Then the status of request "a" is "<status>" in the quarantine

    Examples:
      | ms   | status  |
      | 1500 | suspect |
      | 2500 | refused |

  Scenario: A suspect reaches other routers though many connections break
    Given a quarantine in which request "a" has 2 confirmed crashes
    When the connections of 500 requests to 5 engines break in the same quarantine
    Then the 20 suspicions that are sent first have request "a"

  Scenario: A refused request is kept though many connections break
    Given a quarantine for at most 50 requests
    And request "a" has 3 confirmed crashes in the same quarantine
    When the connections of 500 requests to 5 engines break in the same quarantine
    Then the status of request "a" is "refused" in the quarantine

  Scenario: Exchanges that take their time do not keep a request refused
    Given a quarantine in which request "a" has 3 confirmed crashes
    And another router's quarantine that saw the same crashes
    When both exchange their suspicions each second for 10 minutes, 100 ms late each time
    Then the status of request "a" is "clear" in both quarantines

  Scenario: Crashes that have expired cost no time in later exchanges
    Given a quarantine for at most 500 requests
    When the connections of 500 requests to 5 engines break
    And 10 minutes pass in the quarantine
    Then no suspicion is sent, and the quarantine tracks no request

  Scenario Outline: The log tells why a crash counts or no longer counts
    Given a quarantine in which request "a" has 2 confirmed crashes
    And the log of the quarantine is read
    When request "a" gets a crash that is <change>
    Then the last line of the quarantine is "<event>" with <count> crashes

    Examples:
      | change    | event           | count |
      | suspected | crash_suspected | 3     |
      | confirmed | crash_confirmed | 3     |
      | dismissed | crash_dismissed | 2     |
      | cleared   | crashes_cleared | 0     |
      | merged    | crashes_merged  | 3     |

  Scenario: An engine that restarts before its broken connection is noticed has crashed
    Given a scripted engine that restarts under a request and then breaks the connection
    When a chat request is sent to it and its load is reported again
    Then the quarantine of the router has 1 crash that counts

  Scenario Outline: Evidence is looked for only while it can come
    Given a quarantine with a run that ended without an answer
    Then its router <looks> for evidence <ms> ms later

    Examples:
      | ms    | looks         |
      | 9999  | does not look |
      | 10000 | looks         |
      | 14499 | looks         |
      | 14500 | does not look |
      | 19000 | does not look |
