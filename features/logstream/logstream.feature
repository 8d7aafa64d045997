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

  # Guards against followers that wait for ever for records that the log has lost,
  # and that skip those which got their offsets.
  Scenario Outline: A follower reads the log again after it came back from a copy
    Given a log client of a log stand-in
    And a log follower of "s"
    When the log client appends "one, two, three" to "s"
    Then the log follower has "one, two, three"
    Given the log stand-in has "restore_to" set to "s:<left>"
    When the log client appends "<appended>" to "s"
    Then the log follower has "one, two, three, era 1, <found>"

    Examples:
      | left | appended        | found                |
      | 2    | other           | one, two, other      |
      | 1    | other           | one, other           |
      | 1    | other, new, far | one, other, new, far |
      | 0    | other           | other                |

  # Guards against a follower that takes an answer of before the loss for a new one,
  # and against one that reads again though nothing was lost.
  Scenario Outline: Answers of older eras are dropped, and later ones begin anew
    Given a log follower of pages with one record each, in the eras "<eras>"
    Then the follower of eras has read "<found>"

    Examples:
      | eras        | found            |
      | 1 1 1       | 1 1 1            |
      | none none   | none none        |
      | none 3 3    | none 3 3         |
      | 3 none 3    | 3 none 3         |
      | 3 2 3       | 3 3              |
      | 3 4 4       | 3 anew-4 4       |
      | 3 4 3 4 5 5 | 3 anew-4 4 anew-5 5 |

  Scenario Outline: Malformed eras of the log count as missing
    Then a page that names the era <value> has the era <era>

    Examples:
      | value | era |
      | 7     | 7   |
      | 0     | 0   |
      | -1    | -1  |
      | -5    | -1  |
      | "7"   | -1  |
      | 1.5   | -1  |
      | true  | -1  |
      | null  | -1  |
      | [2]   | -1  |

  Scenario: A reader that fails is not fed on
    # Going on would leave a hole in the reader's fold.
    Given a log follower whose reader fails on its second page
    Then the failed log follower has delivered 2 pages and stopped
