Feature: Traffic of the load tool
  A seed has to give the same requests, or a failure could not be repeated.

  Scenario Outline: The seed decides the traffic
    When <count> requests of "<profile>" are planned with seed 3 and seed 4
    Then the load plan of seed 3 is repeated exactly and that of seed 4 differs
    And the load plan has prompts that share levels and no equal prompts
    And the load plan has keys that are distinct UUIDv7 of the sending time
    And the documents of the load plan's "<profile>" are valid

    Examples:
      | profile   | count |
      | shiftline | 300   |
      | helvetreu | 300   |

  Scenario: Most requests of Shiftline come in bursts
    When 900 requests of "shiftline" are planned with seed 3 and seed 4
    Then at least 600 requests of the load plan fall into a third of the time
