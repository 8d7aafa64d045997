Feature: Adapter to the platform
  Names and formats are decoded once; whatever cannot be read names nothing to use.

  Scenario Outline: A head is decoded into the fields of a call
    Then the header "<header>" decodes to <field> "<value>"

    Examples:
      | header                                            | field         | value   |
      | Authorization: Bearer abc                         | key           | abc     |
      | Authorization: bearer abc                         | key           | abc     |
      | Authorization: Basic abc                          | key           |         |
      | X-Yuccagauge-Deadline-Ms: 1500                    | client_timeout | 1500    |
      | X-Yuccagauge-Token-Usage: 1460,80                 | prompt_tokens | 1460    |
      | X-Yuccagauge-Token-Usage: 1460,80                 | output_tokens | 80      |
      | X-Yuccagauge-Model: daka                          | model         | daka    |
      | X-Yuccagauge-Prefix-Hash: 5c:800,91:410           | parts         | 5c 91   |
      | Last-Event-Id: 7                                  | last_event_id | 7       |

  Scenario Outline: A malformed head is refused
    Then the header "<header>" is refused

    Examples:
      | header                               |
      | X-Yuccagauge-Deadline-Ms: soon       |
      | X-Yuccagauge-Token-Usage: many,80    |
      | X-Yuccagauge-Prefix-Hash: 5c:x       |
      | X-Yuccagauge-Request-Id: twice       |
      | X-Yuccagauge-Model: a, X-Yuccagauge-Model: b |

  Scenario Outline: What a server's answer states
    Then an answer <status> with "<headers>" states <facts>

    Examples:
      | status | headers                                | facts               |
      | 200    | X-Yuccagauge-Server-Stamp: s           | signed              |
      | 503    | X-Yuccagauge-Not-Executed: 1           | not run             |
      | 429    | X-Yuccagauge-Not-Executed: 1           | not run             |
      | 503    |                                        | nothing             |
      | 421    | X-Yuccagauge-Instance-Id: other        | misdirected         |
      | 200    | X-Yuccagauge-Weight-Versions: 4        | weights 4           |
      | 200    | X-Yuccagauge-Weight-Versions: four     | nothing             |

  Scenario Outline: An entry that cannot be read names no server
    Then an entry with <change> names <outcome>

    Examples:
      | change                         | outcome   |
      | no change                      | a server  |
      | "born" set to 1700000000000    | a server  |
      | "born" set to "yesterday"      | no server |
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

  Scenario: The configuration of the pages is decoded whole
    Then the example configuration has its routes, services, customers and limits

  Scenario Outline: A malformed configuration changes nothing
    Then a configuration with <change> is not taken

    Examples:
      | change                       |
      | "routes" removed             |
      | "routes" set to 3            |
      | "services" set to "none"     |
      | "version" set to "seven"     |
      | bytes that are not JSON      |

  Scenario: Records of the log are decoded with their offsets
    Then a page from offset 840 has the keys "a b" and the next offset 842

  Scenario Outline: A torn page of records is refused
    Then a page that <fault> is refused

    Examples:
      | fault                |
      | ends in its head     |
      | ends in a length     |
      | ends in a record     |

  Scenario Outline: The store's answers decide between waiting and listing anew
    Then an answer <status> to a read raises <error>

    Examples:
      | status | error                 |
      | 410    | StoreGapError         |
      | 429    | StoreUnavailableError |
      | 503    | StoreUnavailableError |

  Scenario Outline: An unreadable listing counts as no answer
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

  Scenario: Of two routers that want the lead, one gets it
    Given a store without a record of the lead
    When two routers write the same next record
    Then one of them has written it, and both read its name
    And a lead that was given up has no holder

  Scenario: A connection to the store that goes silent is given up
    Given a store that answers nothing
    Then a read of it fails as unavailable within 2500 ms

  Scenario: Nothing outside the adapter knows the platform's names
    Then no module outside the adapter has a header, path or topic of the platform

  Scenario: A router imports neither numpy nor plots nor TLS
    Then importing the adapter's process loads none of "numpy matplotlib treq klein hypothesis yuccagauge.wire.tls"

  Scenario: The template has a value for every setting without a default
    Then the settings template, filled in, is accepted

  Scenario Outline: A mistake in a relay's settings is said in plain words
    Then the relay settings "<text>" are refused with "<message>"

    Examples:
      | text              | message                                             |
      | missing file      | No such file or directory: expected a readable UTF-8 file |
      | [relay] nam = x   | [relay] nam = 'x': expected one of name             |
      | [store] address=a | expected an IP address and port                     |
      | [other] a = b     | [other] = '': expected one of relay                 |

  Scenario: A topic that forgot its history is listed anew
    Given a store with the servers "a b a c"
    When the store forgets its history and gets the server "d"
    Then a read from offset 1 finds a gap
    And a listing has the servers "a b c d" and continues at offset 5
    And a read from offset 4 has the servers "d"

  Scenario: A record of the lead whose answer is lost is found at the next look
    Given a store without a record of the lead
    When the answer to a record of the lead is lost
    Then the writer gets no answer and reads its own name as the holder
    And a second record under the same condition is not written
