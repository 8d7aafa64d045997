Feature: Service documents
  A mistake in a document is reported with its place, and never half-applied.

  Scenario: A complete document is read
    Given the sample document "matcher-llm.ini"
    When the document is parsed
    Then it has the model "matcher-70b" at weights version "w7"
    And it has 2 customers

  Scenario Outline: A mistake is reported with section, key and expectation
    Given the sample document "matcher-llm.ini"
    And "<key>" in section "<section>" is set to "<value>"
    When the document is parsed
    Then it is rejected for section "<section>" and key "<key>" expecting "<expected>"

    Examples:
      | section          | key               | value     | expected                       |
      | service          | kind              | engine    | one of model, plain            |
      | customer namport | priority          | 12        | a whole number from 0 to 9     |
      | customer namport | priority          | urgent    | a whole number from 0 to 9     |
      | customer namport | credential_sha256 | abc       | 64 hexadecimal digits          |
      | routing          | retry_budget      | 1.5       | a number from 0 to 1           |
      | routing          | deadline          | 5         | one of placement               |
      | service          | name              |           | a non-empty text               |

  Scenario: Two customers cannot share a credential
    Given the sample document "matcher-llm.ini"
    And customer "namport" has the credential of "walvis"
    When the document is parsed
    Then it is rejected for key "credential_sha256"

  Scenario: A change carries only the sections that differ
    Given the sample document "matcher-llm.ini"
    When the priority of customer "namport" changes to 1
    Then the change names only section "customer namport"
    And applying the change to the old document gives the new digest
