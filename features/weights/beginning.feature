Feature: Calls begin too late on superseded weights

  # Guards against calls that are sent while they may begin on the weights of an
  # engine, and begin only after a wait in its queue. The bound is the users'
  # ``versionMs``.

  Scenario Outline: Calls that wait at an engine begin on superseded weights
    Given <routers> routers before 6 engines with queues, which nobody orders to load
    And calls that may run <times>
    When new weights are named, and 9 s later <trouble>, while <rate> calls a second come
    Then no call has begun later than 12 s after the naming
    And no call that has run was refused as not run

    Examples:
      | routers | times     | rate | trouble                                           |
      | 5       | again     | 15   | nothing happens                                   |
      | 5       | again     | 90   | nothing happens                                   |
      | 5       | again     | 60   | engines are 4 times slower                        |
      | 5       | again     | 60   | engines are 8 times slower                        |
      | 8       | again     | 90   | engines are 8 times slower                        |
      | 5       | again     | 60   | half of the engines are 8 times slower            |
      | 5       | again     | 40   | engines fall silent again and again               |
      | 5       | again     | 60   | two routers reach slow engines through peers only |
      | 8       | again     | 60   | half of the routers freeze for 1.8 s              |
      | 5       | only once | 60   | engines are 4 times slower                        |
      | 5       | only once | 60   | engines are 8 times slower                        |
      | 5       | only once | 40   | engines fall silent again and again               |
