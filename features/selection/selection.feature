Feature: Choice of servers
  Each decision is replayed with the load pattern that it answers.

  Scenario: A burst fills all plain servers evenly
    Given 3 plain servers with 6 slots
    When 30 calls are placed at once
    Then no plain server got more than 10 calls

  Scenario: A plain server that fails its calls is left after a few
    Given 3 plain servers with 6 slots
    When server "s0" fails every call of 100 and the others answer in 20 ms
    Then server "s0" got at most 10 calls

  Scenario: Calls of other routers count
    Given 3 plain servers with 6 slots
    And a peer has 20 calls at each of "s0 s1"
    Then the next call goes to "s2"

  Scenario: A server without a sign of life gets no more calls
    Given 3 plain servers with 6 slots
    And server "s0" has a call since 400 ms without an answer
    When 30 calls are placed at once
    Then server "s0" got at most 0 calls

  Scenario: A prompt goes where its parts are cached, until that costs more
    Given 3 engines of version 1
    When a prompt of 6000 shared tokens is placed on engine "s1"
    Then 5 later prompts with the same parts go to "s1"
    And of 60 such prompts at once at most 45 go to one engine

  Scenario: Long prompts do not queue behind each other beside an idle engine
    Given 3 engines of version 1
    When 3 prompts of 9000 own tokens arrive at once
    Then each engine got 1 of them

  Scenario: Under overload some calls are on time instead of all being late
    Given 2 engines of version 1
    When 20 prompts of 9000 own tokens arrive at once, and 2 more each 90 ms for 3 s
    Then at least 8 calls a second start within their objective
    And no call waits for longer than 4000 ms

  Scenario Outline: A late call whose wait would be in vain is refused on arrival
    Given 1 engines of version 1
    And the engine has 5000 ms of prompts before it
    And late calls <before>
    Then a prompt that waits at most 2000 ms <outcome>

    Examples:
      | before                              | outcome           |
      | have not waited lately              | waits             |
      | were refused after 2000 ms just now | is refused        |
      | were refused after 2000 ms 4 s ago  | waits             |
      | were sent after 200 ms just now     | waits             |

  Scenario Outline: Engines with older weights are used only for a while
    Given 2 engines of version 1 and the newest version 2 known for <ms> ms
    Then a prompt is <outcome>

    Examples:
      | ms    | outcome |
      | 500   | placed  |
      | 5000  | placed  |
      | 11000 | refused |

  Scenario: An engine with the newest weights goes before an idle older one
    Given 2 engines of version 1 and the newest version 2 known for 3000 ms
    And engine "s1" shows version 2
    Then 3 later prompts with the same parts go to "s1"

  Scenario: Cached parts are never found across weights or isolated customers
    Then scopes differ by weights version and by isolated customer

  Scenario: Only shared parts that the kept store lacks are kept
    Given 3 engines of version 1
    And a live kept store
    Then the first prompt of 6000 shared tokens is kept and the next is not
    And a prompt of 200 shared tokens is neither kept nor fetched

  Scenario Outline: An engine that may have dropped its cache asks the kept store
    Given 1 engines of version 1
    And a live kept store
    And the cache events of the engine <are heard>
    Then the second prompt of 6000 shared tokens <is fetched>

    Examples:
      | are heard     | is fetched     |
      | are heard     | is not fetched |
      | are not heard | is fetched     |

  Scenario Outline: A call waits for engines that load, or is told when to come back
    Given 2 engines of version 1
    And all of them load for <ms> ms
    Then a prompt with <left> ms left <outcome>

    Examples:
      | ms   | left | outcome                       |
      | 300  | 5000 | waits                         |
      | 1500 | 2000 | comes back after 1500 ms      |

  Scenario: A call without any server is refused after a short wait
    Then without servers a prompt with an objective of 500 ms waits at most 80 ms

  Scenario Outline: All routers together stay within the budget of second sends
    Then for any traffic the second sends of <routers> routers stay within ratio 0.2 and slack <slack>

    Examples:
      | routers | slack |
      | 7       | 54    |
      | 91      | 222   |

  Scenario: Routers that know no caches send equal prompts to the same engine
    Given 40 routers before 20 idle engines
    When each router gets one prompt of each of 10 subjects of 6000 shared tokens
    Then each subject was read by 1 engine
    And no engine got more than 4 subjects

  Scenario: A home that is busier than others is left
    Given 20 engines of version 1
    When 200 prompts of one subject of 6000 shared tokens arrive at once
    Then no engine got more than its 32 slots of them

  Scenario Outline: Calls of peers that were not heard lately are estimated
    Given 3 plain servers with 6 slots
    And <alive> peers are alive, of which <known> told <calls> calls each at "s0"
    Then <expected> calls of peers are counted at "s0"

    Examples:
      | alive | known | calls | expected |
      | 6     | 6     | 2     | 12       |
      | 90    | 30    | 1     | 90       |
      | 90    | 0     | 0     | 0        |
      | 1     | 2     | 3     | 6        |

  Scenario: What a peer told counts for a while only
    Given 3 plain servers with 6 slots
    And a peer has 20 calls at each of "s0"
    Then 20 calls of peers are counted at "s0" after 1400 ms
    And 0 calls of peers are counted at "s0" after 1500 ms

  Scenario Outline: A server that peers see silent is left before it costs a call
    Given 3 plain servers with 6 slots
    And <peers> peers told <told> ms ago that "s0" is silent
    And this router heard from "s0" <heard> ms ago
    When 30 calls are placed at once
    Then server "s0" <outcome>

    Examples:
      | peers | told | heard | outcome          |
      | 2     | 100  | 5000  | got no calls     |
      | 1     | 100  | 5000  | got some calls   |
      | 2     | 100  | 50    | got some calls   |
      | 2     | 1600 | 5000  | got some calls   |

  Scenario: Calls go to servers that all peers see silent if there is no other
    Given 1 plain servers with 6 slots
    And 2 peers told 100 ms ago that "s0" is silent
    Then the next call goes to "s0"

  Scenario Outline: Long prompts of peers that fill an engine's memory count
    Given 2 engines of version 1
    And peers have calls of <tokens> tokens of memory at "s0", of which none waits
    Then a prompt of 6000 shared tokens goes to "<server>"

    Examples:
      | tokens | server |
      | 0      | s0     |
      | 60000  | s0     |
      | 140000 | s1     |

  Scenario Outline: An engine whose weights were replaced long ago gets no call
    Given 2 engines of version 1
    And the versions 2, 3 and 4 were named <ms> ms ago and 4000 ms apart since
    Then a prompt is <outcome>

    Examples:
      | ms    | outcome |
      | 10400 | placed  |
      | 10600 | refused |
