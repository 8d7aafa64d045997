Feature: Servers that fall silent and go on
  P2 and P4: the silence of a server is no reason to end an answer sooner. A
  running attempt is given up only once something better takes its place.

  Scenario Outline: A stream whose engine falls silent and goes on is complete
    Given a scripted engine that is silent for <silence> s <state> and <keeping> streams
    And <second> scripted engine, and a retry budget that is <budget>
    When a routed <answer> is asked of the silent engine
    Then the routed <answer> is complete
    And at most <runs> runs of it were at work, one after the other

    Examples: Before the head
      | silence | state           | keeping | second       | budget | answer | runs |
      | 0.3     | before its head | keeps   | no second    | spent  | stream | 1    |
      | 1.2     | before its head | keeps   | no second    | spent  | stream | 1    |
      | 2.5     | before its head | drops   | no second    | spent  | stream | 1    |
      | 2.5     | before its head | drops   | no second    | free   | stream | 1    |
      | 2.5     | before its head | drops   | a rejecting  | spent  | stream | 1    |
      | 2.5     | before its head | drops   | a rejecting  | free   | stream | 1    |
      | 2.5     | before its head | drops   | a sound      | spent  | stream | 1    |
      | 2.5     | before its head | drops   | a sound      | free   | object | 1    |

    Examples: Between events
      | silence | state              | keeping | second       | budget | answer | runs |
      | 0.3     | between its events | drops   | no second    | spent  | stream | 1    |
      | 1.2     | between its events | drops   | no second    | spent  | stream | 1    |
      | 2.5     | between its events | keeps   | no second    | spent  | stream | 1    |
      | 2.5     | between its events | keeps   | a rejecting  | free   | stream | 1    |
      | 2.5     | between its events | keeps   | a sound      | spent  | stream | 1    |
      | 2.5     | between its events | drops   | no second    | spent  | stream | 1    |
      | 2.5     | between its events | drops   | no second    | free   | stream | 2    |
      | 2.5     | between its events | drops   | a rejecting  | spent  | stream | 1    |
      | 2.5     | between its events | drops   | a rejecting  | free   | stream | 2    |
      | 2.5     | between its events | drops   | a sound      | spent  | stream | 1    |
      | 2.5     | between its events | drops   | a sound      | free   | stream | 2    |
      | 2.5     | between its events | drops   | no second    | spent  | object | 1    |

  Scenario Outline: A stream whose engine refuses to go on with it stays with its run
    Given a scripted engine that is silent for <silence> s between its events, but answers resumes as unknown
    And <second> scripted engine, and a retry budget that is <budget>
    When a routed stream is asked of the silent engine
    Then the routed stream is complete

    Examples:
      | silence | second      | budget |
      | 2.5     | no second   | spent  |
      | 2.5     | a rejecting | spent  |
      | 2.5     | a sound     | spent  |
      | 2.5     | a sound     | free   |
      | 2.5     | a rejecting | free   |

  Scenario: A second silence has as much time as the first
    Given a scripted engine that falls silent for 2.5 s before each of its last 3 events and drops streams
    And no second scripted engine, and a retry budget that is spent
    When a routed stream is asked of the silent engine
    Then the routed stream is complete

  Scenario: A stream whose engine stays silent ends with an error
    Given a scripted engine that is silent for 60 s between its events and drops streams
    And no second scripted engine, and a retry budget that is spent
    When a routed stream is asked of the silent engine with 3000 ms
    Then the routed stream ends with an error event in 3 to 8 s

  Scenario Outline: A silent server does not count as crashed by its call
    Given a scripted engine that is silent for 2.5 s between its events and <keeping> streams
    And no second scripted engine, and a retry budget that is spent
    When a routed stream is asked of the silent engine
    Then the routed stream is complete
    And no request was suspected of a crash

    Examples:
      | keeping |
      | keeps   |
      | drops   |

  Scenario Outline: A plain call whose server falls silent and goes on is answered
    Given a scripted plain server that is silent for <silence> s <state>
    And <second> scripted server, and a retry budget that is <budget>
    When a <call> is asked of the silent server
    Then the <call> is answered by one run

    Examples:
      | silence | state             | second      | budget | call    |
      | 0.3     | before its answer | no second   | spent  | reading |
      | 1.2     | before its answer | no second   | free   | reading |
      | 2.5     | before its answer | a rejecting | free   | reading |
      | 2.5     | before its answer | a sound     | spent  | reading |
      | 2.5     | before its answer | a sound     | free   | booking |
      | 2.5     | in its answer     | no second   | spent  | reading |
      | 2.5     | in its answer     | a sound     | free   | booking |
