Feature: Server selection
  Each scenario replays a load pattern that one rule of the selection handles.

  Scenario: A burst fills all plain servers evenly
    Given 3 plain servers with 6 slots
    When 30 calls are placed at once
    Then no plain server got more than 10 calls

  Scenario: A failing plain server gets only a few calls
    Given 3 plain servers with 6 slots
    When server "s0" fails every call of 100 and the others answer in 20 ms
    Then server "s0" got at most 10 calls

  Scenario: Calls in flight of other routers count as load
    Given 3 plain servers with 6 slots
    And a peer has 20 calls at each of "s0 s1"
    Then the next call goes to "s2"

  Scenario: A server that does not respond gets no more calls
    Given 3 plain servers with 6 slots
    And server "s0" has not answered a call for 400 ms
    When 30 calls are placed at once
    Then server "s0" got at most 0 calls

  Scenario: A prompt goes to the engine that caches its parts, until another is cheaper
    Given 3 engines of version 1
    When a prompt of 6000 shared tokens is placed on engine "s1"
    Then 5 later prompts with the same parts go to "s1"
    And of 60 such prompts at once at most 45 go to one engine

  Scenario: Long prompts do not queue at one engine while another is idle
    Given 3 engines of version 1
    When 3 prompts of 9000 unshared tokens arrive at once
    Then each engine got 1 of them

  Scenario: Under overload some calls are on time instead of all being late
    Given 2 engines of version 1
    When 20 prompts of 9000 unshared tokens arrive at once, and 2 more every 90 ms for 3 s
    Then at least 8 calls a second start within their objective
    And no call waits for longer than 4000 ms

  Scenario Outline: A late call that would wait until its caller gives up is refused on arrival
    Given 1 engines of version 1
    And the engine has a backlog of 5000 ms of prompts
    And late calls <before>
    Then a prompt that waits at most 2000 ms <outcome>

    Examples:
      | before                              | outcome           |
      | have not waited lately              | waits             |
      | were refused after 2000 ms just now | is refused        |
      | were refused after 2000 ms 4 s ago  | waits             |
      | were sent after 200 ms just now     | waits             |

  Scenario Outline: Engines with superseded weights are used for a limited time
    Given 2 engines of version 1, and version 2 named <ms> ms ago
    Then a prompt is <outcome>

    Examples:
      | ms    | outcome |
      | 500   | placed  |
      | 5000  | placed  |
      | 11000 | refused |

  Scenario: An engine with the newest weights is preferred to an idle outdated one
    Given 2 engines of version 1, and version 2 named 3000 ms ago
    And engine "s1" reports version 2
    Then 3 later prompts with the same parts go to "s1"

  Scenario: Cached parts are never shared across weights or isolated customers
    Then cache scopes differ by weights version and by isolated customer

  Scenario: Only shared parts that the KV cache store lacks are saved
    Given 3 engines of version 1
    And a live KV cache store
    Then the first prompt of 6000 shared tokens is saved and the next is not
    And a prompt of 200 shared tokens is neither saved nor fetched

  Scenario Outline: An engine with unknown evictions asks the KV cache store
    Given 1 engines of version 1
    And a live KV cache store
    And the cache events of the engine <are received>
    Then the second prompt of 6000 shared tokens <is fetched>

    Examples:
      | are received     | is fetched     |
      | are received     | is not fetched |
      | are not received | is fetched     |

  Scenario Outline: A call waits for engines that load weights, or is refused with a retry time
    Given 2 engines of version 1
    And all of them load weights for <ms> ms
    Then a prompt with <left> ms left <outcome>

    Examples:
      | ms   | left | outcome                 |
      | 300  | 5000 | waits                   |
      | 1500 | 2000 | may retry after 1500 ms |

  # Guards against calls that would wait at an engine until its weights are too
  # old, and be withdrawn there.
  Scenario Outline: An engine at which a call would begin too late gets no call
    Given 2 engines of version 1, and version 2 named <ms> ms ago
    And each engine needs <wait> ms for the prompts ahead of the next one
    Then a prompt with an objective of 4000 ms <outcome>

    Examples:
      | ms    | wait | outcome            |
      | 9000  | 100  | is placed          |
      | 9000  | 3000 | finds no engine    |
      | 5000  | 3000 | is placed          |
      | 10400 | 100  | is placed          |
      | 10400 | 1500 | finds no engine    |

  # Guards against calls that are refused although an engine will have the
  # newest weights soon, because the other engines look free.
  Scenario Outline: A call waits for the only engine that loads, if none may begin it
    Given 3 engines of version 1, and version 2 named 11000 ms ago
    And engine "s1" loads weights for <ms> ms
    Then a prompt with <left> ms left <outcome>

    Examples:
      | ms   | left | outcome                         |
      | 300  | 5000 | waits until 300 ms have passed  |
      | 1600 | 5000 | waits until 1600 ms have passed |
      | 1400 | 2000 | may retry after 1400 ms         |

  Scenario: A call without any server is refused after a short wait
    Then without servers a prompt with an objective of 500 ms waits at most 80 ms

  Scenario Outline: All routers together stay within the retry budget
    Then for any traffic the retries of <routers> routers stay within ratio 0.2 and slack <slack>

    Examples:
      | routers | slack |
      | 7       | 54    |
      | 91      | 222   |

  Scenario: Routers without cache events send equal prompts to the same engine
    Given 40 routers and 20 idle engines
    When each router gets one prompt for each of 10 prefixes of 6000 shared tokens
    Then each prefix was prefilled by 1 engine
    And no engine got more than 4 prefixes

  Scenario: A preferred engine that is busier than others gets no more calls
    Given 20 engines of version 1
    When 200 prompts with one prefix of 6000 shared tokens arrive at once
    Then no engine got more of them than its 32 slots

  Scenario Outline: Calls of live peers without a recent report are estimated
    Given 3 plain servers with 6 slots
    And <alive> peers are alive, of which <known> reported <calls> calls each at "s0"
    Then <expected> calls of peers are counted at "s0"

    Examples:
      | alive | known | calls | expected |
      | 6     | 6     | 2     | 12       |
      | 90    | 30    | 1     | 90       |
      | 90    | 0     | 0     | 0        |
      | 1     | 2     | 3     | 6        |

  Scenario: The load that a peer reported expires
    Given 3 plain servers with 6 slots
    And a peer has 20 calls at each of "s0"
    Then 20 calls of peers are counted at "s0" after 1400 ms
    And 0 calls of peers are counted at "s0" after 1500 ms

  Scenario Outline: A server that peers report as unresponsive gets no calls
    Given 3 plain servers with 6 slots
    And <peers> peers reported <reported> ms ago that "s0" is unresponsive
    And server "s0" last responded to this router <responded> ms ago
    When 30 calls are placed at once
    Then server "s0" <outcome>

    Examples:
      | peers | reported | responded | outcome        |
      | 2     | 100      | 5000      | got no calls   |
      | 1     | 100      | 5000      | got some calls |
      | 2     | 100      | 50        | got some calls |
      | 2     | 1600     | 5000      | got some calls |

  Scenario: Calls go to an unresponsive server if there is no other
    Given 1 plain servers with 6 slots
    And 2 peers reported 100 ms ago that "s0" is unresponsive
    Then the next call goes to "s0"

  Scenario Outline: The KV memory that the calls of peers use counts as load
    Given 2 engines of version 1
    And the calls of peers use <tokens> tokens of KV memory at "s0", and none waits
    Then a prompt of 6000 shared tokens goes to "<server>"

    Examples:
      | tokens | server |
      | 0      | s0     |
      | 60000  | s0     |
      | 140000 | s1     |

  Scenario Outline: An engine whose weights were superseded long ago gets no call
    Given 2 engines of version 1
    And version 2 was named <ms> ms ago, and versions 3 and 4 followed 4000 ms apart
    Then a prompt is <outcome>

    Examples:
      | ms    | outcome |
      | 10400 | placed  |
      | 10600 | refused |
