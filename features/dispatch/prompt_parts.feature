Feature: Messages that crash engines, on the product's own interface
  A message at the head of a conversation may crash each engine that begins to
  answer on it. No two requests with it are alike.

  Scenario: Conversations with a message that crashes engines are kept away
    Given 3 scripted engines that restart under conversations with a guilty message
    When 20 different conversations begin with the guilty message
    Then at most 3 of them reach engines after the fifth restart
