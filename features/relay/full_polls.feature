Feature: Answers without a length of engines that take no further poll
  An engine takes a limited number of polls for cache events at once, most of
  which routers use, and refuses further ones with 429.

  # Guards against whole answers that are lost because the epoch, by which a
  # process is known from polls, cannot be asked for at their end.
  Scenario Outline: A whole answer reaches its caller while its engine takes no further poll
    Given 3 routers before servers that state their start in "<places>", with an epoch, which take no poll but those that wait
    When the servers answer requests of "<route>"
    Then their callers have whole answers of one run

    Examples:
      | route  | places     |
      | talk   | no place   |
      | talk   | the report |
      | talk   | the entry  |
      | stream | the entry  |

  # Guards against whole answers that are lost because their engine, whose
  # earlier answers had a length, has one older connection for all calls.
  Scenario Outline: A whole answer of an engine that takes no further poll reaches its caller though an earlier one had a length
    Given 3 routers before servers that state their start in "<places>", with an epoch, which take no poll but those that wait
    And an earlier answer of each server had a length
    When the servers answer requests of "<route>"
    Then their callers have whole answers of one run

    Examples:
      | route  | places     |
      | talk   | no place   |
      | talk   | the entry  |
      | stream | the entry  |
