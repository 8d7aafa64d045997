Feature: Stand-in for a plain service
  Doubled bookings are counted from its record of executed calls.

  Background:
    Given a running plain stand-in

  Scenario Outline: What is recorded as executed
    Given the stand-in has the fault "<fault>" set to "<value>"
    When the plain stand-in gets a booking with key "k1"
    Then the plain stand-in answers "<answer>"
    And the stand-in has <executed> records of kind "executed"

    Examples:
      | fault             | value | answer  | executed |
      | delay_ms          | 1     | 200     | 1        |
      | status            | 500   | 500     | 1        |
      | not_run           | yes   | 503     | 0        |
      | cut_before_answer | 1     | nothing | 1        |
      | crash_on          | kasse | nothing | 1        |

  # Guards against checks after the end of an answer that run something.
  Scenario: A question to the server itself executes nothing
    When the plain stand-in is asked for the options of the whole server
    Then the plain stand-in answers "200"
    And the stand-in has 0 records of kind "executed"
