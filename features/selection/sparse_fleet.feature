Feature: Placement by many routers that know little of each other
  Each router sends about one call a second, and hears of the calls of a tenth
  of the others, most of which have ended by then. Bounds are the users': of the
  calls, 95 of 100 are served in time while there is room.

  Scenario Outline: Prompts find their subject cached, and start in time
    Given <routers> routers that hear little of each other, before <engines> engines
    When <rate> prompts a second about <subjects> subjects come for 12 s, <hot> % about one of them
    Then half of the prompts whose subject came before find it cached
    And at most 5 % of the prompts start late

    Examples:
      | routers | engines | rate | subjects | hot |
      | 195     | 62      | 140  | 1400     | 0   |
      | 195     | 38      | 140  | 1400     | 0   |
      | 195     | 38      | 140  | 1400     | 20  |
      | 195     | 62      | 140  | 1400     | 37  |
      | 50      | 20      | 45   | 360      | 0   |
      | 50      | 20      | 45   | 360      | 37  |
      | 450     | 140     | 320  | 3200     | 0   |

  Scenario Outline: How many engines a prompt is spread over
    Then prompts of <routers> routers are spread over <choices> of <engines> engines

    Examples:
      | routers | engines | choices |
      | 1       | 6       | 6       |
      | 10      | 9       | 9       |
      | 17      | 20      | 12      |
      | 50      | 20      | 4       |
      | 195     | 62      | 4       |
      | 450     | 6600    | 147     |
      | 450     | 2       | 2       |

  Scenario: Engines that look alike share the calls of many routers
    Given 3 engines of version 1
    When 60 prompts come, each to a router that knows of no other call
    Then each engine got from 10 to 30 of them
