Feature: Bookings that wait before they are sent
  A booking waits for its claim and for a connection. What permits it may end
  meanwhile: its deadline, its caller, and that nobody knows it to crash servers.

  Scenario Outline: A booking that was given up before it was sent is never sent
    Given a plain service to whose server a connection opens after 700 ms
    When a booking that may take <timeout> ms is made, and its caller <what>
    Then the booking ends as not run, and the server never gets it
    And its key may be used again

    Examples:
      | timeout | what                |
      | 300     | waits               |
      | 2000    | leaves after 200 ms |
      | 800     | waits               |
      | 2000    | leaves after 800 ms |

  Scenario: A booking whose connection opens in time is answered
    Given a plain service to whose server a connection opens after 700 ms
    When a booking that may take 2000 ms is made, and its caller waits
    Then the booking is answered

  Scenario: A booking that is quarantined while it waits for its claim is not sent
    Given a plain service whose claims are granted after 500 ms
    When a booking waits for its claim while such bookings crash servers
    Then the booking ends as not run, and the server never gets it
    And its key may be used again
