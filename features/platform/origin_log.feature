Feature: The log of stream origins in the platform's store
  After a restart of all routers it alone tells which software version began a
  stream.

  Scenario: All streams are read, also after old records have expired
    Given a log of origins with 3 streams of "v1" and 5000 of "v2", of which the first record has expired
    When a router reads the log
    Then it knows 5000 streams of "v2" and 0 of "v1"

  Scenario Outline: A malformed record loses only itself
    Given a log of origins with 2 streams of "v1" and 3 of "v2", and a record that <fault>
    When a router reads the log
    Then it knows 3 streams of "v2" and 2 of "v1"

    Examples:
      | fault                    |
      | is empty                 |
      | ends in its name         |
      | has no version           |
      | is not JSON              |
      | ends in a key            |

  Scenario Outline: A broken answer is an outage, and the log is read again
    Given a log of origins whose answer <fault>
    When a router reads the log
    Then the read fails as unavailable

    Examples:
      | fault                       |
      | is empty                    |
      | ends in a record            |
      | ends before its records     |
      | tells of a gap without JSON |

  Scenario: A log that cannot be read is tried a limited number of times
    Given a store of origins that is down
    When a router looks for what must be read 50 times
    Then the log was read 10 times, and nothing was raised

  Scenario Outline: Streams of an outage are appended after it
    Given a store of origins that is down
    And a router appends <streams> streams
    When the store is back after <seconds> s
    Then the log has the last <kept> of them, after at most <calls> calls

    Examples:
      | streams | seconds | kept   | calls |
      | 3       | 0       | 3      | 1     |
      | 3       | 4       | 3      | 10    |
      | 70000   | 0       | 70000  | 2     |
      | 140000  | 2       | 131072 | 8     |
