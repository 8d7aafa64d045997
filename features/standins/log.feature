Feature: Stand-in for the append-only log
  Tests of at-most-once execution are only as strong as the log's faults.

  Background:
    Given a running log stand-in

  Scenario: Records are read back in order from any offset
    When the records "a, b, c" are appended to the log stand-in
    Then reading the log stand-in after -1 returns "a, b, c" with first 0 and next 3
    And reading the log stand-in after 1 returns "c" with first 0 and next 3
    And reading the log stand-in after 2 returns "" with first 0 and next 3

  Scenario: A lost answer hides an append that took effect
    Given the stand-in has the fault "lose_answers" set to "1"
    When the record "a" is appended 6 times to the log stand-in
    Then no append to the log stand-in was confirmed
    And reading the log stand-in after -1 returns "a, a, a, a, a, a" with first 0 and next 6

  Scenario Outline: A refused append has no effect
    Given the stand-in has the fault "<fault>" set to "<value>"
    When the record "a" is appended 3 times to the log stand-in
    Then the appends to the log stand-in were answered "<statuses>"
    And the stand-in has <count> records of kind "appended"

    Examples:
      | fault       | value | statuses      | count |
      | outage      | yes   | 503, 503, 503 | 0     |
      | append_rate | 0     | 429, 429, 429 | 0     |
      | append_rate | 0.001 | 200, 429, 429 | 1     |

  Scenario: Trimmed records are gone and offsets go on
    When the records "a, b, c" are appended to the log stand-in
    And the stand-in gets the fault "trim_to" set to "s:2"
    Then reading the log stand-in after -1 returns "c" with first 2 and next 3

  Scenario: A waiting reader gets the next record
    When a reader waits at the log stand-in for records after -1
    And the records "a" are appended to the log stand-in
    Then the waiting reader of the log stand-in gets "a"

  Scenario Outline: A wrong fault is refused and changes nothing
    When the stand-in gets the fault "<fault>" set to "<value>"
    Then the stand-in answers the fault with 400

    Examples:
      | fault        | value |
      | lose_answers | 1.5   |
      | outage       | maybe |
      | crash        | yes   |
