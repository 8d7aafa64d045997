Feature: Calls begin on superseded weights after restarts

  # Guards against an age of weights that begins anew with each process, and
  # against engines that nobody orders to load after a restart. Bounds are the
  # users' ``versionMs``, ``versionAllMs`` and ``stableMs``.

  Scenario Outline: No call begins on weights that were replaced long before
    Given <routers> routers before 6 engines with the first weights
    And beside restarts <trouble>
    And weights are named 0.3 s before a restart of <restarted>, <again>
    When 15 calls a second come until all engines have loaded, or 19 s after the last start
    Then no call has begun on weights that were replaced more than 12 s before
    And all engines have the newest weights within 17 s of the last start
    And no two routers have ordered with one fence, or in turns

    Examples:
      | routers | restarted            | again         | trouble                             |
      | 5       | all routers          | once          | nothing happens                     |
      | 5       | all routers          | every 3 s     | nothing happens                     |
      | 5       | all routers          | every 5 s     | nothing happens                     |
      | 5       | all routers          | every 6 s     | nothing happens                     |
      | 5       | all routers          | every 9 s     | nothing happens                     |
      | 8       | all routers          | every 3 s     | nothing happens                     |
      | 8       | all routers          | every 5 s     | nothing happens                     |
      | 8       | all routers          | every 6 s     | nothing happens                     |
      | 8       | all routers          | every 9 s     | nothing happens                     |
      | 8       | half of the routers  | every 3 s     | nothing happens                     |
      | 8       | half of the routers  | every 5 s     | nothing happens                     |
      | 8       | the leader           | every 3 s     | nothing happens                     |
      | 8       | the leader           | every 5 s     | nothing happens                     |
      | 5       | all routers          | once          | the store is silent at each start   |
      | 8       | all routers          | every 6 s     | the store is silent at the last start |
      | 8       | all routers          | every 9 s     | the store is silent at each start   |
      | 5       | all routers          | every 5 s     | further weights are named           |
      | 8       | all routers          | every 6 s     | further weights are named           |
      | 8       | the leader           | every 3 s     | further weights are named           |
      | 8       | all routers          | every 5 s     | clocks step back                    |
      | 8       | all routers          | every 5 s     | clocks step forward                 |
      | 8       | all routers          | every 6 s     | clocks step apart                   |
      | 5       | all routers          | once for 11 s | nothing happens                     |
      | 100     | all routers          | once for 11 s | nothing happens                     |

  # Fences make a wait for the former leader needless when the same router
  # leads again: engines refuse what it may have sent before.
  Scenario Outline: Engines load soon after a restart of all routers
    Given <routers> routers before 6 engines with the first weights
    And weights are named 0.3 s before a restart of all routers, once
    When 15 calls a second come until all engines have loaded, or 8 s after the last start
    Then an engine has taken an order within 2 s of the last start
    And all engines have the newest weights within 7 s of the last start
    And no two routers have ordered with one fence, or in turns

    Examples:
      | routers |
      | 5       |
      | 8       |
      | 100     |

  # Guards against routers that refuse calls for lack of the newest weights.
  Scenario Outline: New weights before a restart cost few calls
    Given <routers> routers before 6 engines with the first weights
    And weights are named 0.3 s before a restart of all routers, once
    When 15 calls a second come until 16 s after the last start
    Then callers get at least 0.9 of the answers in 10 s that they get without new weights

    Examples:
      | routers |
      | 5       |
      | 8       |
