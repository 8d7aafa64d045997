Feature: Adapter to the platform
  Malformed requests, records and responses are rejected and never used.

  Scenario Outline: Request headers are decoded into the fields of a call
    Then the header "<header>" decodes to <field> "<value>"

    Examples:
      | header                                  | field          | value |
      | Authorization: Bearer abc               | api_key        | abc   |
      | Authorization: bearer abc               | api_key        | abc   |
      | Authorization: Basic abc                | api_key        |       |
      | X-Yuccagauge-Deadline-Ms: 1500          | caller_timeout | 1500  |
      | X-Yuccagauge-Token-Usage: 1460,80       | prompt_tokens  | 1460  |
      | X-Yuccagauge-Token-Usage: 1460,80       | output_tokens  | 80    |
      | X-Yuccagauge-Model: daka                | model          | daka  |
      | X-Yuccagauge-Prefix-Hash: 5c:800,91:410 | parts          | 5c 91 |
      | Last-Event-Id: 7                        | last_event_id  | 7     |

  Scenario Outline: Malformed request headers are rejected
    Then the header "<header>" is rejected

    Examples:
      | header                               |
      | X-Yuccagauge-Deadline-Ms: soon       |
      | X-Yuccagauge-Token-Usage: many,80    |
      | X-Yuccagauge-Prefix-Hash: 5c:x       |
      | X-Yuccagauge-Request-Id: twice       |
      | X-Yuccagauge-Model: a, X-Yuccagauge-Model: b |

  Scenario Outline: The head of a server's response is parsed
    Then a response <status> with "<headers>" is parsed as <expected>

    Examples:
      | status | headers                                | expected            |
      | 200    | X-Yuccagauge-Server-Stamp: s           | stamped             |
      | 503    | X-Yuccagauge-Not-Executed: 1           | not run             |
      | 429    | X-Yuccagauge-Not-Executed: 1           | not run             |
      | 503    |                                        | nothing             |
      | 421    | X-Yuccagauge-Instance-Id: other        | misdirected         |
      | 200    | X-Yuccagauge-Weight-Versions: 4        | weights 4           |
      | 200    | X-Yuccagauge-Weight-Versions: four     | nothing             |
      | 200    | X-Yuccagauge-Weight-Versions: ²        | nothing             |

  Scenario Outline: A malformed server entry is decoded to no server
    Then an entry with <change> is decoded to <outcome>

    Examples:
      | change                         | outcome   |
      | no change                      | a server  |
      | "born" set to 1700000000000    | a server  |
      | "born" set to "yesterday"      | no server |
      | "seq" removed                  | a server  |
      | "seq" set to "many"            | a server  |
      | "seq" set to -1                | a server  |
      | "state" set to "draining"      | a server  |
      | "state" set to "sleeping"      | no server |
      | "state" removed                | no server |
      | "address" set to "nowhere"     | no server |
      | "address" set to 7             | no server |
      | "service" set to null          | no server |
      | "slots" set to true            | no server |
      | "slots" set to -1              | no server |
      | "models" set to 3              | no server |
      | "models" set to [{"name": 1}]  | no server |
      | "zone" set to ["a"]            | no server |
      | bytes that are not JSON        | no server |
      | a list in place of an object   | no server |
      | deep nesting                   | no server |

  Scenario: The example configuration of the platform is decoded completely
    Then the decoded example configuration has its routes, services, customers and limits

  Scenario Outline: A malformed configuration is rejected
    Then a configuration with <change> is rejected

    Examples:
      | change                       |
      | "routes" removed             |
      | "routes" set to 3            |
      | "services" set to "none"     |
      | "version" set to "seven"     |
      | bytes that are not JSON      |

  Scenario: Records of the log are decoded with their offsets
    Then a page from offset 840 has the keys "a b" and the next offset 842

  Scenario Outline: A truncated page of records is rejected
    Then a page that <fault> is rejected

    Examples:
      | fault                |
      | ends in its head     |
      | ends in a length     |
      | ends in a record     |

  Scenario Outline: The status of a failed read decides between a retry and a new listing
    Then a response <status> to a read raises <error>

    Examples:
      | status | error                 |
      | 410    | StoreGapError         |
      | 429    | StoreUnavailableError |
      | 503    | StoreUnavailableError |

  Scenario Outline: A malformed listing counts as an unavailable store
    Then a listing "<body>" raises StoreUnavailableError

    Examples:
      | body                                                  |
      | not JSON                                              |
      | []                                                    |
      | {}                                                    |
      | {"items": 3, "end": 1}                                |
      | {"items": [{"key": "a"}], "end": 1}                   |
      | {"items": [{"key": "a", "offset": 0, "value": 7}], "end": 1} |
      | {"items": [], "end": "last"}                          |

  Scenario: Only one of two competing routers acquires the leader lease
    Given a store without a lease record
    When two routers append a lease record under the same condition
    Then only the first record is written, and both routers read its holder
    And a released lease has no holder

  Scenario: A read from a store that does not respond times out
    Given a store that never responds
    Then a read from it raises StoreUnavailableError within 2500 ms

  Scenario: No module outside the adapter uses the platform's names
    Then no module outside the adapter contains a header, path or topic of the platform

  Scenario: A router imports neither numpy nor matplotlib nor TLS
    Then importing the relay process loads none of "numpy matplotlib treq klein hypothesis yuccagauge.wire.tls"

  Scenario: The settings template covers every setting without a default
    Then the settings template, filled in, is accepted

  Scenario Outline: An error in the relay settings says what was expected
    Then the relay settings "<text>" are rejected with "<message>"

    Examples:
      | text              | message                                             |
      | missing file      | No such file or directory: expected a readable UTF-8 file |
      | [relay] nam = x   | [relay] nam = 'x': expected one of name             |
      | [store] address=a | expected an IP address and port                     |
      | [other] a = b     | [other] = '': expected one of relay                 |

  Scenario: A topic whose old records were dropped can be listed again
    Given a store with the servers "a b a c"
    When the store drops its old records and gets the server "d"
    Then a read from offset 1 finds a gap
    And a listing has the servers "a b c d" and continues at offset 5
    And a read from offset 4 has the servers "d"

  Scenario: A lease record whose response is lost is found by the next read
    Given a store without a lease record
    When the response to an appended lease record is lost
    Then the append fails and the writer reads its own name as the holder
    And a second record under the same condition is not written

  Scenario: Crashes are listed as they were written, without those that were removed
    Given a store without a lease record
    When a router writes 3 crashes and removes 1 of them
    Then the store lists the other 2 crashes

  Scenario: A crash that cannot be decoded hides no other one
    Given a store without a lease record
    When a router writes 1 crash and another writer 2 malformed ones
    Then the store lists 1 crash
