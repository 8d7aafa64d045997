Feature: Plain servers that restart before the end of their answer is noticed
  An answer with neither a length nor chunks ends with its connection. A router
  that was paused reads that end late: the server may accept connections again
  by then. A booking may run once, a reading may be repeated.

  # Guards against a broken answer that looks complete because its server is back.
  Scenario Outline: A broken answer of a plain server does not look complete after a pause
    Given a plain service whose answers have no length
    When a <call> is answered by a server that is down for <down> s, and the router is paused for <pause> s
    Then the <call> ends as after a broken answer

    Examples:
      | call    | down | pause |
      | booking | 0.02 | 0.2   |
      | booking | 0.1  | 0.2   |
      | booking | 0.5  | 0.6   |
      | reading | 0.02 | 0.2   |
      | reading | 0.1  | 0.2   |
      | reading | 0.5  | 0.6   |

  # Guards against the same without a pause, by a server that is back at once.
  Scenario Outline: A broken answer of a plain server does not look complete though it is back at once
    Given a plain service whose answers have no length
    When a <call> is answered by a server that is down for 0.005 s
    Then the <call> ends as after a broken answer

    Examples:
      | call    |
      | booking |
      | reading |

  # Guards against a broken answer that looks complete because something else
  # accepts connections at the address of its server.
  Scenario Outline: The port of a plain server that another process keeps open proves nothing
    Given a plain service whose answers have no length
    When a <call> is answered by a server that is killed, and its port stays open
    Then the <call> ends as after a broken answer

    Examples:
      | call    |
      | booking |
      | reading |

  # Guards against whole answers that are lost for want of a proof, those to the
  # first call of a router too.
  Scenario Outline: A whole answer of a plain server is delivered though its router was paused
    Given a plain service whose answers have no length
    When a <call> is answered while the router is paused for <pause> s
    Then the <call> has a whole answer of one run

    Examples:
      | call    | pause |
      | booking | 0.2   |
      | booking | 0.6   |
      | reading | 0.2   |
      | reading | 0.6   |

  # Guards against whole answers that are lost because their server is silent.
  Scenario Outline: A whole answer is delivered though its plain server is silent after it
    Given a plain service whose answers have no length
    When a <call> is answered by a server that falls silent for <silence> s at its end
    Then the <call> has a whole answer of one run

    Examples:
      | call    | silence |
      | booking | 0.2     |
      | booking | 1.2     |
      | reading | 0.2     |

  # Guards against whole answers that are lost because the check of another call
  # has ended the connection that would have proved them.
  Scenario: Whole answers are delivered by a server that ends each connection with its answer
    Given a plain service whose answers have no length
    And its servers end each connection with an answer
    When 8 bookings are made, 0.02 s apart
    Then all bookings have whole answers of one run

  # Guards against whole answers that are lost because the connection that would
  # have proved them was open a little later than that of the call.
  Scenario Outline: A first answer is delivered though its connections open at different times
    Given a plain service whose answers have no length
    And the <number> connection to each server opens 0.1 s later
    When a <call> is answered
    Then the <call> has a whole answer of one run

    Examples:
      | call    | number |
      | booking | first  |
      | booking | second |
      | reading | first  |
      | reading | second |

  # Guards against calls that wait behind a connection which carries none.
  Scenario Outline: A plain server that serves one connection after the other answers calls
    Given a plain service whose answers have <framing>
    And its servers end each connection with an answer
    And its servers serve one connection after the other
    When a <call> is answered
    Then the <call> has a whole answer of one run

    Examples:
      | call    | framing   |
      | booking | a length  |
      | booking | no length |
      | reading | a length  |
      | reading | no length |

  # Guards against a proof that can't be had because earlier answers had a length.
  Scenario Outline: A plain server may leave out the length of some answers
    Given a plain service whose answers have a length
    When a <first> is answered, and later a <call> without a length
    Then the <call> has a whole answer of one run

    Examples:
      | first   | call    |
      | booking | booking |
      | reading | booking |
      | reading | reading |

  # Guards against a doubt about answers that end with their head.
  Scenario: An answer without a body needs no proof
    Given a plain service whose answers have no length
    When a request for the head of an answer is made
    Then it is answered after one run

  # Guards against a refusal that calls a request answered though its caller has
  # no answer.
  Scenario: A booking whose end is not proved by its deadline may have run
    Given a plain service whose answers have no length
    When a server loses power at the end of its answer to a booking with a deadline of 300 ms
    Then the booking ends as one that may have run
