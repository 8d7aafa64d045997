Feature: A part of a prompt that crashes engines, at several routers
  An engine crashes as it begins to answer a prompt that has a certain part. No
  two prompts with it are alike, and sound ones share their other parts. They
  come at any router, and each scenario holds back one thing by which a router
  learns of a crash.

  Scenario Outline: Prompts with a part that crashes engines are kept away, and sound ones beside them are served
    Given <routers> routers before 5 engines, disturbed by <disturbance>
    When prompts come for 30 s, and 5 % of them have a part that crashes engines
    Then requests with the part reach engines at most 3 times later than 3 s after the fifth crash
    And sound prompts with the same first part or customer are begun at least half as often as before

    Examples:
      | routers | disturbance                                |
      | 5       | nothing                                    |
      | 8       | nothing                                    |
      | 8       | servers that return with a new id          |
      | 5       | servers that return at another address     |
      | 5       | servers that never return                  |
      | 5       | a store that is down                       |
      | 5       | a store that refuses all routers           |
      | 5       | a store that drops its history             |
      | 5       | a store that returns to a copy of the past |
      | 5       | heartbeats that arrive late                |
      | 5       | engines that end silently                  |
      | 5       | routers that cannot reach each other       |
      | 5       | routers that restart in turn               |
      | 5       | routers that restart all at once           |
      | 5       | engines that reset all connections in turn |
      | 5       | engines that reset all connections at once |
      | 5       | routers that pause as engines crash        |
      | 5       | links that hold the last bytes of engines  |

  Scenario: A request that crashes engines is kept away, and does not accuse the parts that others share
    Given 5 routers before 5 engines, disturbed by nothing
    When prompts come for 15 s, and one of them crashes engines again and again
    Then this prompt reaches engines at most 3 times later than 3 s after the third crash
    And prompts that share all its other parts are answered

  Scenario Outline: Other faults that break connections keep no sound prompts away
    Given 5 routers before 5 engines, disturbed by <disturbance>
    When prompts come for 24 s, and 0 % of them have a part that crashes engines
    Then sound prompts are begun at least half as often as before

    Examples:
      | disturbance                                |
      | engines that reset all connections in turn |
      | engines that reset all connections at once |
      | engines that crash by themselves           |
