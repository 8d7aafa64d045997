Feature: When a call that waits leaves an engine

  # Guards against calls that stay at an engine until they begin too late, and
  # against calls that leave without need. The limit is 12 s after the naming,
  # and a call leaves 0.5 to 0.4 s before it.

  Scenario Outline: A call leaves an engine shortly before it may no longer begin there
    Given weights that are superseded <ms> ms after a call was sent
    When <time> ms have passed since the send, and the call <state>
    Then the call <has left>

    Examples:
      | ms    | time  | state                 | has left                   |
      | -9000 | 2400  | waits                 | is still there             |
      | -9000 | 2650  | waits                 | has left the engine        |
      | 0     | 11400 | waits                 | is still there             |
      | 0     | 11650 | waits                 | has left the engine        |
      | 3000  | 14400 | waits                 | is still there             |
      | 3000  | 14650 | waits                 | has left the engine        |
      | -9000 | 2600  | has begun             | is still there             |
      | -9000 | 2600  | has ended             | is still there             |
      | -9000 | 2650  | waits, and is kept    | has left the silent engine |
      | -9000 | 2700  | begins after 2550 ms  | is still there             |

  Scenario: A call on the newest weights may wait
    Given weights that are not superseded
    When 60000 ms have passed since the send, and the call waits
    Then the call is still there
