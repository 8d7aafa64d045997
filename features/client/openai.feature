Feature: The published chat-completions client
  Callers use unmodified clients, so the stream has to be what they expect.

  Scenario: A streamed call through a router process
    Given a router process for the published client with two engine processes
    When the published client streams 4 answers with the same long prefix
    Then each answer to the published client is whole and exact
    And the last answer to the published client reports cached tokens

  Scenario: A wrong credential is an authentication error
    Given a router process for the published client with two engine processes
    When the published client calls with a wrong credential
    Then the published client raises an authentication error with verdict "not-run"
