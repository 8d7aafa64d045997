Feature: Reference page of the settings
  The page must not fall behind the code.

  Scenario: The page lists every key as the code has it
    When the settings reference is rendered
    Then it equals the file "docs/configuration.md"
