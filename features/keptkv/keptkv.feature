Feature: Kept KV cache
  An import must never bring blocks of another customer, model, adapter or
  weights version into an engine, and a failing store must cost time only.

  Background:
    Given a kept-KV transfer with a store and two engines

  Scenario: A level that one engine computed is imported by another
    When engine 1 computes the prefix of customer "namport" at version "w1"
    And the level is exported from engine 1
    And the level is imported into engine 2 for customer "namport" at version "w1"
    Then the import is "done"
    And engine 2 holds the level

  Scenario Outline: A kept level with another manifest is not imported
    When engine 1 computes the prefix of customer "namport" at version "w1"
    And the level is exported from engine 1
    And the stored manifest has "<field>" set to "<value>"
    And the level is imported into engine 2 for customer "namport" at version "w1"
    Then the import is "refused"
    And engine 2 does not hold the level

    Examples:
      | field           | value  |
      | customer        | walvis |
      | model           | other  |
      | adapter         | dock   |
      | weights_version | w0     |
      | tokens          | 16     |
      | digest          | 00ff   |

  Scenario: A level is not kept under a newer version than its blocks have
    When engine 1 computes the prefix of customer "namport" at version "w1"
    And the level is exported from engine 1 as of version "w2"
    Then nothing is in the store

  Scenario: A store in an outage is not waited for and not remembered
    When engine 1 computes the prefix of customer "namport" at version "w1"
    And the level is exported from engine 1
    And the kept-KV store has an outage
    And the level is imported into engine 2 for customer "namport" at version "w1"
    Then the import is "refused"
    And the catalogue holds 0 levels

  Scenario Outline: An import is chosen only where it saves time
    Then with <kept> kept and <expected> expected tokens at <rate> tokens per ms an import is "<choice>"

    Examples:
      | kept  | expected | rate | choice    |
      | 16000 | 0        | 20   | worth it  |
      | 16000 | 15000    | 20   | not worth |
      | 300   | 0        | 20   | not worth |
      | 16000 | 0        | 500  | not worth |

  Scenario: A level is due for export once, after repeated requests
    Then of 6 requests with the same prefix, request 3 alone is due for export
