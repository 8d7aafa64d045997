Feature: Expected cache contents
  Cache events that are late and have gaps correct the expectations.

  Scenario Outline: A view expects tokens according to a history
    Given a cache view of a prompt with levels of 1000, 2000 and 3000 tokens
    When the cache view records "<history>"
    Then the cache view expects <tokens> tokens

    Examples: p is a placement, sN and eN are stored and evicted events of level N, c is a crash, o is the usage of an answer
      | history        | tokens |
      |                | 0      |
      | p              | 3000   |
      | s1 s2          | 2000   |
      | s2             | 2000   |
      | s1 s2 s3 e3    | 2000   |
      | s1 s2 s3 e1    | 0      |
      | s1 e1 s2 s3    | 3000   |
      | s1 s2 e2 s2    | 2000   |
      | p e3           | 3000   |
      | p c            | 0      |
      | p c o          | 3000   |
      | p c c p        | 3000   |

  Scenario: A likely eviction of a deep level leaves the levels above it
    Given a cache view of a prompt with levels of 1000, 2000 and 3000 tokens
    When the cache view records "p"
    And the engine computes 500000 tokens while the cache view records a use of level 2
    Then the cache view expects 2100 tokens

  Scenario: A view stays within its maximum size for any history
    Then no history makes a cache view of 20 levels larger or its expectation exceed the prompt

  Scenario: Retained events that are read at a start do not change the lifetime
    Given a cache view of a prompt with levels of 1000, 2000 and 3000 tokens
    When the cache view records "s1 s2 s3 e3" 200 times
    And the cache view records "s1 s2 s3"
    And the engine computes 2000 tokens for others
    Then the cache view expects 3000 tokens

  Scenario: Peers start with the hot prefixes of a router
    Given a cache view of a prompt with levels of 1000, 2000 and 3000 tokens
    When the cache view records "p"
    Then a new cache view that adds its hot prefixes expects 3000 tokens
