Feature: All routers know for how long weights have been superseded

  # Guards against ages that are too low after a restart of all routers, because
  # clocks were wrong and servers wrote no heartbeats. The bound on calls is the
  # users' ``versionMs``, counted from the store's acknowledgement.

  Scenario Outline: Ages are not too low after a restart of all routers
    Given <routers> routers before <engines> engines and <others> servers of another service, which nobody orders to load
    When weights are named 0.3 s before a restart of all routers, and until the start <trouble>, while 15 calls a second come
    Then no router has counted less than the time since the naming
    And no call has begun later than 12 s after the naming at any router

    Examples:
      | routers | engines | others | trouble                                                         |
      | 5       | 6       | 0      | nothing happens                                                 |
      | 5       | 6       | 0      | clocks step                                                     |
      | 5       | 6       | 0      | clocks step, and routers restart twice                          |
      | 5       | 6       | 0      | servers freeze                                                  |
      | 5       | 6       | 0      | clocks step and servers freeze                                  |
      | 5       | 6       | 0      | clocks step, servers freeze, and routers restart twice          |
      | 5       | 10      | 0      | clocks step and four fifths of the servers freeze               |
      | 5       | 6       | 0      | clocks step and servers freeze until after the start            |
      | 5       | 6       | 20     | clocks step and servers of another service freeze               |
      | 5       | 6       | 0      | clocks step and servers are cut off from the store              |
      | 5       | 6       | 0      | clocks step, servers freeze, and others join                    |
      | 5       | 6       | 6      | clocks step, servers freeze, and others leave                   |
      | 5       | 6       | 0      | clocks step, servers freeze, and the store drops its history    |
      | 5       | 6       | 0      | clocks step, servers freeze, and the store is silent at the start |
      | 8       | 6       | 0      | clocks step and servers freeze                                  |
      | 24      | 6       | 0      | clocks step and servers freeze                                  |

  # Guards against counts of heartbeats that begin anew under the same id, where
  # entries do not show it.
  Scenario Outline: Ages are not too low after servers have started again too
    Given <routers> routers before 6 engines and <others> servers of another service, which nobody orders to load
    And servers that <state> when they started
    When weights are named 0.3 s before a restart of all routers, and until the start clocks step and servers start again after <down> s, while 15 calls a second come
    Then no router has counted less than the time since the naming
    And no call has begun later than 12 s after the naming at any router

    Examples:
      | routers | others | state        | down |
      | 5       | 0      | state        | 1    |
      | 5       | 0      | do not state | 1    |
      | 5       | 20     | do not state | 1    |
      | 8       | 0      | do not state | 1    |
      | 5       | 0      | state        | 3    |
      | 5       | 20     | do not state | 3    |

  Scenario Outline: Ages are little higher than the truth where servers do not state their start
    Given <routers> routers before 6 engines and 0 servers of another service, which nobody orders to load
    And servers that do not state when they started
    When weights are named 0.3 s before a restart of all routers, and until the start nothing happens, while 15 calls a second come
    Then from 3 s after the start on no router counts more than a heartbeat and the margin more than before

    Examples:
      | routers |
      | 5       |
      | 8       |
      | 24      |

  Scenario Outline: Ages are little higher than the truth after a restart of all routers
    Given <routers> routers before 6 engines and 0 servers of another service, which nobody orders to load
    When weights are named 0.3 s before a restart of all routers, and until the start nothing happens, while 15 calls a second come
    Then from 3 s after the start on no router counts more than a heartbeat and the margin more than before

    Examples:
      | routers |
      | 5       |
      | 8       |
      | 24      |

  # Guards against ages that get lost or mixed up among those of many versions,
  # several of which routers learn at once after a start.
  Scenario Outline: Routers that start late know the ages of all versions
    Given <routers> routers before 6 engines and 0 servers of another service, which nobody orders to load
    When 20 versions are named 3 s apart, and <restarted> restart every <pause> s
    Then no router has counted less than the time since the naming
    And from 4 s after its start on a router knows the ages of all weights that may be used

    Examples:
      | routers | restarted           | pause |
      | 5       | half of the routers | 7     |
      | 5       | all routers         | 7     |
      | 5       | all routers         | 25    |
      | 8       | half of the routers | 11    |
