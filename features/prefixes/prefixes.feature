Feature: Prefix identity
  Levels have to agree wherever prompts agree, and nowhere else.

  Scenario Outline: Prompts share the levels of their common beginning
    Then by the prefix scheme "<scheme>" equal beginnings give equal levels

    Examples:
      | scheme         |
      | messages       |
      | blocks         |
      | whole-messages |

  Scenario: Nesting inside one long message is found
    Then by the prefix scheme "messages" all but a block or a fifth of a text shared inside one message is found

  Scenario: Customers, adapters and weights never share a prefix level
    Then prompts of identities that differ in one field share no prefix level or salt

  Scenario: Content cannot imitate a message boundary
    Then one message and the same text in two messages end in different prefix levels

  Scenario: A long conversation keeps its first and last prefix levels
    Then a conversation of 300 messages has 64 prefix levels with the first and the last
