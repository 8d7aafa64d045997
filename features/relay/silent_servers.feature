Feature: Silent servers
  A sound server may send nothing for a second or so and go on. Its silence is
  no reason to end an answer sooner: a call leaves its server only for one that
  takes its place.

  Scenario Outline: A call whose server is silent and goes on is answered
    Given a relay with a server that is silent for <silence> s <place>
    And a second server of it that <other>
    And a retry budget that is <budget>
    When a caller calls the silent server
    Then the caller gets the whole answer once

    Examples:
      | silence | place                 | other               | budget |
      | 0.3     | before a plain answer | is missing          | free   |
      | 0.9     | before a plain answer | is missing          | free   |
      | 0.9     | before a plain answer | is missing          | spent  |
      | 0.9     | before a plain answer | is sound            | free   |
      | 0.9     | before a plain answer | is sound            | spent  |
      | 0.9     | before a plain answer | is full             | free   |
      | 0.9     | before a plain answer | fails               | free   |
      | 0.9     | before a plain answer | resets              | free   |
      | 0.9     | before a plain answer | refuses connections | free   |
      | 0.9     | before a plain answer | accepts nothing     | free   |
      | 0.9     | before a plain answer | is silent as well   | free   |
      | 0.9     | before a plain answer | breaks after its head | free |
      | 1.3     | before a stream       | is missing          | free   |
      | 1.3     | before a stream       | breaks after its head | free |
      | 1.3     | before a stream       | is sound            | free   |
      | 1.3     | before a stream       | is sound            | spent  |
      | 1.3     | before a stream       | is full             | free   |
      | 1.3     | before a stream       | fails               | free   |
      | 1.3     | before a stream       | refuses connections | free   |
      | 1.3     | before a stream       | is silent as well   | free   |
      | 0.5     | between two events    | is missing          | free   |
      | 1.3     | between two events    | is missing          | free   |
      | 1.3     | between two events    | is missing          | spent  |
      | 1.3     | between two events    | is sound            | free   |
      | 1.3     | between two events    | is sound            | spent  |
      | 1.3     | between two events    | is full             | free   |
      | 1.3     | between two events    | fails               | free   |
      | 1.3     | between two events    | resets              | free   |
      | 1.3     | between two events    | refuses connections | free   |
      | 1.3     | between two events    | accepts nothing     | free   |
      | 1.3     | between two events    | is silent as well   | free   |
      | 1.3     | between two events    | answers JSON        | free   |
      | 1.3     | between two events    | starts at another event | free |
      | 1.3     | between two events    | breaks after its head | free |
      | 1.3     | inside an event       | breaks after its head | free |
      | 1.3     | before a stream       | ends inside its first event | free |
      | 1.3     | between two events    | ends inside its first event | free |
      | 1.3     | inside an event       | ends inside its first event | free |
      | 1.3     | between two events    | ends without an event | free   |
      | 1.3     | inside an event       | ends without an event | free   |
      | 1.3     | between two events    | ends its channel without an event | free |
      | 1.3     | between two events    | begins with an event without a number | free |
      | 1.3     | inside an event       | is missing          | free   |
      | 1.3     | inside an event       | is sound            | free   |
      | 1.3     | inside an event       | is full             | free   |

  Scenario Outline: A call of a silent server goes on at another one once that has taken it
    Given a relay with a server that is silent for 9.0 s <place>
    And a second server of it that <other>
    When a caller calls the silent server
    Then the caller gets the whole answer once
    And the silent server's connection is closed

    Examples:
      | place                 | other              |
      | before a plain answer | is sound           |
      | before a stream       | is sound           |
      | between two events    | is sound           |
      | inside an event       | is sound           |
      | before a plain answer | begins after 0.5 s |
      | before a stream       | begins after 0.5 s |
      | between two events    | begins after 0.5 s |

  Scenario Outline: A call leaves a silent server for a third one if the second cannot take it
    Given a relay with a server that is silent for 9.0 s <place>
    And a second server of it that is full
    And a third server of it that is sound
    When a caller calls the silent server
    Then the caller gets the whole answer once
    And the second server gets 1 request

    Examples:
      | place                 |
      | before a plain answer |
      | before a stream       |
      | between two events    |

  Scenario: A call that may run once waits for its silent server
    Given a relay with a server that is silent for 0.9 s before a plain answer
    And a second server of it that is sound
    When a caller calls the silent server by "book"
    Then the caller gets the whole answer once
    And the second server gets no request

  Scenario: A call whose caller reads slowly stays with its server
    Given a relay with a server that streams 12 MB at once
    And a second server of it that is sound
    When a caller calls the silent server and reads nothing for 1.2 s
    Then the caller gets all 12 MB
    And the second server gets no request
