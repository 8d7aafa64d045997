Feature: Prefix levels
  Two prompts share exactly the levels of their common beginning.

  Scenario Outline: Prompts share the levels of their common beginning
    Then with the prefix scheme "<scheme>" equal beginnings give equal levels

    Examples:
      | scheme         |
      | messages       |
      | blocks         |
      | whole-messages |

  Scenario: A text that two long messages share is found
    Then with the prefix scheme "messages" all but one block or one fifth of a text shared inside one message is found

  Scenario: Customers, models, adapters and weights never share a prefix level
    Then prompts of cache scopes that differ in one field share no prefix level or cache salt

  Scenario: Content cannot imitate a message boundary
    Then one message and the same text in two messages end in different prefix levels

  Scenario: A long conversation keeps its first and last prefix levels
    Then a conversation of 300 messages has 64 prefix levels including the first and the last
