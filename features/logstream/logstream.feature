Feature: Client and follower of the log
  Callers learn whether an append had no effect or may have had one, and a
  follower delivers every retained record once and in order.

  Scenario: Records are read back as they were appended
    Given a log client of a log stand-in
    When the log client appends "one, two, three" to "s"
    Then the log client reads "two, three" from "s" after 0

  Scenario Outline: A failed append says what is known
    Given a log client of a log stand-in
    And the log stand-in has "<knob>" set to "<value>"
    When the log client appends "one" to "s"
    Then the log append fails with "<error>"

    Examples:
      | knob         | value | error               |
      | outage       | yes   | LogUnavailableError |
      | append_rate  | 0     | LogRateLimitedError |
      | lose_answers | 1     | AppendUnknownError  |
      | delay_ms     | 1500  | AppendUnknownError  |

  Scenario: A log that cannot be reached took nothing
    Given a log client of a closed port
    When the log client appends "one" to "s"
    Then the log append fails with "LogUnavailableError"

  Scenario: A follower reads on after an outage
    Given a log client of a log stand-in
    And a log follower of "s"
    When the log client appends "one" to "s"
    Then the log follower has "one"
    Given the log stand-in has "outage" set to "yes"
    Then the log follower is failing
    Given the log stand-in has "outage" set to "no"
    When the log client appends "two" to "s"
    Then the log follower has "one, two"

  Scenario: A follower reports what was trimmed before it read
    Given a log client of a log stand-in
    When the log client appends "one, two, three" to "s"
    Given the log stand-in has "trim_to" set to "s:2"
    And a log follower of "s"
    Then the log follower has "gap 0-2, three"

  Scenario: A reader that fails is not fed on
    # Going on would leave a hole in the reader's fold.
    Given a log follower whose reader fails on its second page
    Then the failed log follower has delivered 2 pages and stopped
