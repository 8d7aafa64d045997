Feature: Calls leave engines with old weights

  # Guards against harm by calls that are withdrawn before they begin too late,
  # and against ways in which they begin nevertheless.

  Scenario Outline: An answer is whole if the silent engine is given up after its head
    Given 1 router before 2 engines, and a call that its engine never begins
    When the other engine sends its head before, and its first event after <end>
    Then the call has its whole answer

    Examples:
      | end                             |
      | the limit of the silent one     |
      | the silent one resets           |
      | the silent one rejects the call |

  Scenario Outline: An answer is whole if the silent engine ends the call after its head
    Given 1 router before 2 engines with the newest weights, and a call that its engine never begins
    When the other engine sends its head before, and its first event after <end>
    Then the call has its whole answer

    Examples:
      | end                             |
      | the silent one resets           |
      | the silent one rejects the call |

  Scenario: An engine is not blamed for a call that leaves it at the limit
    Given 1 router before 2 engines, and a call that its engine never begins
    When the silent engine is to begin after 11.9 s, and the other after 12.2 s
    Then the call has its whole answer
    And the silent engine is blamed for nothing

  Scenario: A call that a silent engine keeps does not begin there too late
    Given 1 router before 2 engines, and a call that its engine never begins
    When the silent engine is to begin after 12.1 s, and the other after 12.2 s
    Then the call has its whole answer
    And no engine has begun a call later than 12 s after the naming

  Scenario: A call whose answer has ended is not run again
    Given 1 router before 2 engines, and a call that may run once and that its engine never begins
    When the silent engine ends its answer without events just before the limit
    Then the call is neither refused as not run nor sent to the other engine

  Scenario Outline: Calls that were given up begin too late
    Given 5 routers before 6 engines of which none loads
    When weights are named, and 9 s later <trouble>, while 60 calls a second come by "stream"
    Then no engine has begun a call later than 12 s after the naming

    Examples:
      | trouble                                                   |
      | engines are slow, and keep requests of closed connections |
      | engines are slow, and half of the routers lose power      |
      | engines are slow, and the peers that reach them freeze    |

  Scenario Outline: Calls that have begun are answered
    Given 5 routers before 6 engines of which none loads
    When weights are named, and 9 s later <trouble>, while <rate> calls a second come by "once"
    Then at most 2 calls that an engine has begun in time were broken off

    Examples:
      | rate | trouble                                      |
      | 60   | half of the routers freeze for 1.2 s at 11 s |
      | 90   | all routers pause for 0.3 s at 10.9 s        |
      | 90   | nothing happens                              |

  Scenario: Retries are spent on calls that are sent again
    Given 5 routers before 6 engines of which none loads
    When weights are named, and 9 s later engines are slow, while 60 calls a second come by "stream"
    Then no retry was spent on a call that was not sent again
