Feature: Streams before engines of several software versions
  What two versions write does not fit together. A stream that breaks off goes
  on at the version that began it, whether its router goes on with it or its
  caller takes it up at another one. Bounds are the users'.

  Scenario Outline: A stream goes on only at the software version that began it
    Given <routers> routers before 6 engines of one software version
    And the software is rolled out <direction>, disturbed by <disturbance>
    When <rate> streams a second begin for 24 s
    Then at most 2 streams have events of two versions
    And at least half as many streams that are taken up go on as new ones begin

    Examples:
      | routers | rate | direction        | disturbance                              |
      | 5       | 10   | forward          | engines that crash                       |
      | 5       | 10   | forward          | routers that are killed                  |
      | 8       | 10   | forward and back | engines that crash                       |
      | 8       | 10   | forward and back | routers that are killed                  |
      | 8       | 10   | forward          | all of it, and routers in two parts      |
      | 8       | 10   | forward          | all of it, and late messages             |
      | 8       | 10   | forward          | all of it, and a store that is down      |
      | 8       | 10   | forward          | a restart of all routers                 |
      | 8       | 10   | forward          | all of it, and callers that come back after a minute |
      | 100     | 10   | forward          | engines that crash                       |

  Scenario Outline: With one software version nothing is written, and all streams go on
    Given 8 routers before 6 engines of one software version
    And the fleet is disturbed by <disturbance>
    When 8 streams a second begin for 20 s
    Then no stream that is taken up is refused
    And no router has told another one of a stream

    Examples:
      | disturbance              |
      | engines that crash       |
      | routers that are killed  |
      | a restart of all routers |

  Scenario Outline: Streams of a split route go on where they began
    Given <routers> routers before 3 engines of one software version
    And half of the streams go to another service with the versions "w1 w1 w1"
    And the fleet is disturbed by <disturbance>
    When 8 streams a second begin for 20 s
    Then no stream that is taken up is refused
    And at most 0 streams have events of two versions
    And no router has told another one of a stream

    Examples:
      | routers | disturbance              |
      | 3       | routers that are killed  |
      | 8       | routers that are killed  |
      | 8       | a restart of all routers |

  Scenario Outline: Streams of a split route go on if one of its services has two versions
    Given <routers> routers before 3 engines of one software version
    And half of the streams go to another service with the versions "w1 w1 w2 w2"
    And the fleet is disturbed by <disturbance>
    When 8 streams a second begin for 20 s
    Then at most 0 streams have events of two versions
    And no stream of "v1" that is taken up is refused
    And at least half as many streams that are taken up go on as new ones begin

    Examples:
      | routers | disturbance              |
      | 3       | routers that are killed  |
      | 8       | routers that are killed  |
      | 8       | a restart of all routers |
