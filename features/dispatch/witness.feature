Feature: Connections that show whether a process has lived on
  A server that closes a connection at the end of an answer looks like one that
  has ended. An older connection, which outlives the answer, tells.

  # Guards against whole answers that are lost because the check of another call
  # has ended or still uses the connection that would prove them.
  Scenario: Answers that end shortly after each other are proved
    Given a server that answers checks 50 ms late, and then closes
    And 2 calls that are sent to it
    When the answers to both end within 10 ms
    Then both are proved by an answer

  # Guards against a proof by a process that has started since.
  Scenario: A connection that was opened after the request proves nothing
    Given a server that answers checks 0 ms late
    When a request is sent, and a connection is opened after it
    Then the answer to it is not proved

  # Guards against a proof by a check that was sent before the end of the answer.
  Scenario: A server that ends between two checks proves only the first answer
    Given a server that answers checks 0 ms late
    And 2 calls that are sent to it
    When the answers to both end within 10 ms, and the server ends in between
    Then the first is proved, and the second is not

  # Guards against whole answers that are lost at a busy server, whose checks wait
  # for a slot.
  Scenario: A connection that stays open behind a check proves an answer
    Given a server that answers checks 400 ms late
    And 1 calls that are sent to it
    When the answers to both end within 10 ms
    Then it is proved by the open connection

  # Guards against a proof by the time in which the end of a process is on its way.
  Scenario: A connection that is reset behind a check proves nothing
    Given a server that answers checks 400 ms late
    And 1 calls that are sent to it
    When the answers to both end within 10 ms, and the server ends 50 ms later
    Then the answer to it is not proved

  # Guards against a part of an answer that looks complete as a link loses the end
  # of the connection behind a check, so that nothing is heard of it.
  Scenario: A connection of which nothing is heard behind a check proves nothing
    Given a server that answers checks 400 ms late
    And 1 calls that are sent to it
    When the answers to both end within 10 ms, and the server had ended unheard
    Then nothing proves the answer to it

  # Guards against a part of an answer that looks complete as a process closes
  # its connections one after the other, and the link loses the later end.
  Scenario: A connection whose end is lost after its host has the check proves nothing
    Given a server that answers checks 400 ms late
    And 1 calls that are sent to it
    When the server ends 50 ms after its host has the check, and its end is lost
    Then nothing proves the answer to it

  # Guards against the same as a link delays what is heard: the end of the process
  # is right behind the acknowledgement, and not yet there as that is looked at.
  Scenario Outline: A process whose end is right behind the acknowledgement proves nothing
    Given a server that answers checks 400 ms late
    And 1 calls that are sent to it
    When the acknowledgement of the check arrives after <delay> ms, and the end of the server <after> ms later
    Then nothing proves the answer to it

    Examples:
      | delay | after |
      | 60    | 5     |
      | 97    | 5     |
      | 97    | 40    |
      | 197   | 5     |

  # Guards against connections that stay open for as long as the router runs.
  Scenario: A check whose answer does not end keeps no connection
    Given a server that answers checks 0 ms late
    When the answer to a check has a head, and its body does not come
    Then it is proved by an answer, and the connection has ended

  # Guards against a part of an answer that looks complete because the process
  # that listens now answers for an earlier one that still served.
  Scenario: The next process at the port proves nothing for an idle connection's
    Given a server that answers checks 0 ms late
    When a call goes out on an idle connection to a process that the next one has replaced at the port, and the earlier one ends amid the answer
    Then nothing proves the answer to it

  # Guards against the same as a peer carries the connection, and is paused.
  Scenario Outline: A connection that a paused peer carries proves nothing
    Given an older connection that a peer carries to a server
    When the server <event>, a check is sent on the connection, and the peer is paused for <pause> ms
    Then the check of the carried connection has the result "<result>"

    Examples:
      | event        | pause | result           |
      | ends         | 200   | nothing          |
      | does nothing | 200   | nothing          |
      | does nothing | 0     | nothing          |
      | answers      | 200   | older_connection |
      | answers      | 0     | older_connection |

  # Guards against an answer that nobody asked for, which the peer passes on late.
  Scenario: An answer that a paused peer held back before the check proves nothing
    Given an older connection that a peer carries to a server
    When the server sends an answer that nobody asked for and ends, and a check is sent while the peer is paused
    Then the check of the carried connection has the result "nothing"

  # Guards against two connections for each call to servers that frame answers.
  Scenario: Calls to a server that frames its answers share one older connection
    Given a server that answers checks 0 ms late
    And 2 calls that are sent to it
    When an answer of the server has a length, and both calls end
    Then one of both connections carries the next call
    And 5 more calls open no other one

  # Guards against parts of answers that look complete: a pause makes the timer
  # of a check due before what arrived meanwhile is read.
  Scenario Outline: What arrived behind a check while the router was paused is read before the verdict
    Given an older connection to a process, by the operating system
    When a <kind> is sent on it, the process <event>, and the router is paused beyond the limit of the check
    Then the check has the result "<result>"

    Examples:
      | kind                 | event              | result           |
      | check                | ends               |                  |
      | check                | answers            | older_connection |
      | check                | answers and closes | older_connection |
      | check                | does nothing       | open_connection  |
      | check of a call      | ends               | not alive        |
      | check of a call      | answers            | alive            |
      | check of a call      | answers and closes | alive            |
      | check of a call      | does nothing       | not alive        |

  # Guards against the same by a pause after the acknowledgement was heard.
  Scenario Outline: What arrived in a pause behind the acknowledgement is read before the verdict
    Given an older connection to a process, by the operating system
    When a check is sent on it, its arrival is heard, the process <event>, and the router is paused
    Then the check has the result "<result>"

    Examples:
      | event              | result           |
      | ends               |                  |
      | answers            | older_connection |
      | answers and closes | older_connection |
      | does nothing       | open_connection  |

  # Guards against a proof, or an error, where the system does not tell what the
  # other host has acknowledged.
  Scenario Outline: An open connection proves nothing where the system does not tell of it
    Given an older connection to a process, by the operating system
    And the system tells <told> of connections
    When a check is sent on a connection that no process accepts
    Then nothing proves by it that a process lives

    Examples:
      | told       |
      | nothing    |
      | too little |

  # Guards against parts of answers that look complete: what a process sends on
  # an idle connection as it stops, or a second copy of an earlier answer, is
  # taken for the answer to a check that no process got.
  Scenario Outline: An answer that was sent before the check proves nothing
    Given an older connection to a process, by the operating system
    When the process sends an answer that nobody asked for and <event>, and then a <kind> is sent
    Then the check has the result "<result>"

    Examples:
      | kind            | event  | result    |
      | check           | closes |           |
      | check           | resets |           |
      | check of a call | closes | not alive |
      | check of a call | resets | not alive |

  # Guards against the same by the system, which accepts connections for a port
  # that outlives the process.
  Scenario: A connection that no process has accepted proves nothing
    Given an older connection to a process, by the operating system
    When a check is sent on a connection that no process accepts
    Then nothing proves by it that a process lives
