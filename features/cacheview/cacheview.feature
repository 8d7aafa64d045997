Feature: Expected cache contents
  The view is corrected by events that are late and have gaps.

  Scenario Outline: What a view expects after a history
    Given a cache view of a prompt with levels of 1000, 2000 and 3000 tokens
    When the cache view learns "<history>"
    Then the cache view expects <tokens> tokens

    Examples: p is a placement, sN and eN are events of level N, c is a crash, o is usage
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

  Scenario: Doubt about a deep level leaves the levels above it
    Given a cache view of a prompt with levels of 1000, 2000 and 3000 tokens
    When the cache view learns "p"
    And the engine computes 500000 tokens while the cache view sees level 2 used
    Then the cache view expects 2100 tokens

  Scenario: A view keeps to its bound and survives any history
    Then no history makes a cache view of 20 levels larger or its expectation exceed the prompt

  Scenario: Retained events that are read at a start teach no lifetime
    Given a cache view of a prompt with levels of 1000, 2000 and 3000 tokens
    When the cache view learns "s1 s2 s3 e3" 200 times
    And the cache view learns "s1 s2 s3"
    And the engine computes 2000 tokens for others
    Then the cache view expects 3000 tokens

  Scenario: Peers start with the hot prefixes of a router
    Given a cache view of a prompt with levels of 1000, 2000 and 3000 tokens
    When the cache view learns "p"
    Then a new cache view that takes its hot prefixes expects 3000 tokens
