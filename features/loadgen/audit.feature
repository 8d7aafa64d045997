Feature: Audit of the load tool
  The demo and the soak test are worth what this audit notices.

  Scenario Outline: What a caller saw of a streamed answer
    Given a load plan of one chat
    When the load tool receives "<received>" with status <status>
    Then the load audit of the chat finds "<violation>"

    Examples:
      | received                     | status | violation           |
      | the whole answer             | 200    |                     |
      | the answer to another prompt | 200    | wrong answer        |
      | the answer of old weights    | 200    | wrong answer        |
      | an answer without one token  | 200    | wrong answer        |
      | an answer without one event  | 200    | stream out of order |
      | an answer with a token twice | 200    | stream out of order |
      | an answer without its end    | 200    | stream silently cut |
      | an empty body                | 200    | stream silently cut |
      | an answer and an error event | 200    |                     |
      | a broken connection          | 200    |                     |

  Scenario Outline: A refusal of a chat is compared with the engines
    Given a load plan of one chat
    And the engines' records for the load audit say it <started>
    When the load tool is refused the chat with verdict "<verdict>"
    Then the load audit of the chat finds "<violation>"

    Examples:
      | started       | verdict      | violation     |
      | was started   | not-run      | false not-run |
      | was started   | may-have-run |               |
      | never started | not-run      |               |

  Scenario Outline: Calls are compared with the executed ones
    Given a load plan of one call in copies
    When the copies of the call end as "<copies>" after <executed> executions
    Then the load audit of the call finds "<violation>"

    Examples:
      | copies                 | executed | violation                     |
      | answered               | 1        |                               |
      | answered               | 0        | acknowledged but not executed |
      | answered               | 2        | executed twice                |
      | answered, may-have-run | 1        |                               |
      | answered, not-run      | 1        |                               |
      | answered, lied-not-run | 1        | false not-run                 |
      | not-run                | 1        | false not-run                 |
      | not-run, not-run       | 1        | false not-run                 |
      | not-run, may-have-run  | 1        |                               |
      | not-run, not-run       | 0        |                               |
      | may-have-run           | 0        |                               |
      | may-have-run           | 2        | executed twice                |
      | broken                 | 1        |                               |
      | crossed                | 1        | crossed answer                |

  Scenario: Events are parsed the same however the bytes are cut
    Then the load tool parses any cut of a stream alike

  Scenario Outline: Recomputed tokens that an engine held are waste
    When engine "a" stored a level of 100 tokens and then "<event>"
    Then a prompt of that level with <cached> tokens cached wastes <waste> by the load tool

    Examples:
      | event   | cached | waste |
      | nothing | 0      | 96    |
      | nothing | 96     | 0     |
      | evicted | 0      | 0     |
      | crashed | 0      | 0     |
      | loaded  | 0      | 0     |
