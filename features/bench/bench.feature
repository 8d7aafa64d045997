Feature: Benchmark of the decisions
  The same seed gives the same output, and faults break what they name.

  Scenario: The same seed gives the same output byte for byte
    Given the bench workload "small.ini"
    Then two bench runs with seed 1 write the same bytes and seed 2 others

  Scenario Outline: Every request ends once under each fault
    Given the bench workload "small.ini"
    And the bench fault "<kind>" from 8000 for <time> ms hits <count>
    When the bench runs policy "cost" with seed 1
    Then every bench request has one outcome and at least <answered> % are answered
    And the bench counted "<counter>"

    Examples:
      | kind           | time | count | answered | counter               |
      | engine-crash   | 4000 | 1     | 97       | retries               |
      | router-restart | 1000 | 3     | 97       | notice_bytes          |
      | hot-shift      | 4000 | 1     | 99       | notice_bytes          |
      | event-loss     | 4000 | 1     | 99       | notice_bytes          |
      | log-outage     | 4000 | 1     | 99       | publications_deferred |
      | partition      | 4000 | 1     | 97       | retries               |
      | leaving        | 4000 | 1     | 97       | notice_bytes          |

  # The sessions that the overload opens send their last requests at 18000.
  Scenario: An overload with returning clients ends with its cause
    Given the bench workload "small.ini"
    And the bench load is 20 times as high from 6000 to 10000 and clients come back 5 times
    When the bench runs policy "cost" with seed 1
    Then in the bench at least 99 % of the requests sent after 28000 are in time

  Scenario: The bounds of the targets are those that were stated
    Then the bench checks hit rate 0.95, waste 1.15, tail 1.25 and recovery 10000

  Scenario Outline: Shipped workloads are complete
    Then the shipped bench workloads of "<user>" are calm or have one fault of each kind

    Examples:
      | user      |
      | shiftline |
      | helvetreu |

  Scenario: A mistake in a workload names its place
    Given the bench workload "small.ini"
    Then a bench fault of an unknown kind is refused with the known kinds
