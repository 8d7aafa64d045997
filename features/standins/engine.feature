Feature: Stand-in for a model engine
  The router's answers and cache figures are judged against this engine.

  Background:
    Given a running engine stand-in with 48 blocks

  Scenario: The answer is the deterministic function of the request
    When the engine stand-in is asked "r1" with prefix 1 and salt "x"
    Then answer "r1" of the engine stand-in is whole and exact
    And answer "r1" of the engine stand-in reports 0 cached tokens

  Scenario Outline: Blocks match by salt, prefix and weights version
    When the engine stand-in is asked "r1" with prefix 1 and salt "x"
    And the engine stand-in is asked "r2" with prefix <prefix> and salt "<salt>"
    Then answer "r2" of the engine stand-in reports <cached> cached tokens

    Examples:
      | prefix | salt | cached |
      | 1      | x    | 256    |
      | 2      | x    | 0      |
      | 1      | y    | 0      |

  Scenario: The least recently used prefix is evicted first
    When the engine stand-in is asked for prefixes "1, 2, 3, 1, 4, 1, 2"
    Then the engine stand-in reported "0, 0, 0, 256, 0, 256, 0" cached tokens
    And the engine stand-in sent "stored 1, stored 2, stored 3, evicted 2, stored 4, evicted 3, stored 2" as cache events

  Scenario: A crash empties the cache and changes the incarnation
    When the engine stand-in is asked "r1" with prefix 1 and salt "x"
    And the engine stand-in crashes and restarts
    And the engine stand-in is asked "r2" with prefix 1 and salt "x"
    Then answer "r2" of the engine stand-in reports 0 cached tokens
    And answers "r1" and "r2" of the engine stand-in have different incarnations
    And stream "r1" of the engine stand-in is unknown

  Scenario: A cut stream is completed by resuming it
    Given the stand-in has the fault "cut_after_events" set to "4"
    When the engine stand-in is asked "r1" with prefix 1 and salt "x", resuming until it is whole
    Then answer "r1" of the engine stand-in is whole and exact

  Scenario: A cancelled stream ends and is forgotten
    Given the stand-in has the fault "stall_after_events" set to "2"
    When the engine stand-in is asked "r1" with prefix 1 and salt "x", and it is cancelled
    Then stream "r1" of the engine stand-in is unknown
    And the stand-in has 1 records of kind "cancelled"

  Scenario Outline: Orders with an old fence
    Given the stand-in has the fault "check_fence" set to "<check>"
    When the engine stand-in is ordered to load version "w2" with fence 7
    And the engine stand-in is ordered to load version "w1" with fence 6
    Then the last order to the engine stand-in was answered <status>
    And the engine stand-in runs version "<version>"

    Examples:
      | check | status | version |
      | yes   | 409    | w2      |
      | no    | 200    | w1      |

  Scenario: New weights empty the cache
    When the engine stand-in is asked "r1" with prefix 1 and salt "x"
    And the engine stand-in is ordered to load version "w2" with fence 7
    And the engine stand-in is asked "r2" with prefix 1 and salt "x"
    Then answer "r2" of the engine stand-in reports 0 cached tokens
    And answer "r2" of the engine stand-in is whole and exact

  Scenario: Exported blocks serve another engine
    Given a second running engine stand-in with 48 blocks
    When the engine stand-in is asked "r1" with prefix 1 and salt "x"
    And prefix 1 is carried to the second engine stand-in
    And the second engine stand-in is asked "r2" with prefix 1 and salt "x"
    Then answer "r2" of the engine stand-in reports 256 cached tokens

  Scenario: Lost cache events leave gaps in the numbers
    Given the stand-in has the fault "event_loss" set to "0.5"
    When the engine stand-in is asked for prefixes "1, 2, 3, 4, 5, 6, 7, 8"
    Then the cache events of the engine stand-in have gaps

  Scenario: Batching loses, repeats and reorders no token
    Then every batch of the engine stand-in emits each answer once, in order

  Scenario: The cache keeps its bound and only matches what it stored
    Then every prefix cache of the engine stand-in keeps its bound
