Feature: Messages between routers
  Routers exchange bounded, versioned messages; a broken one harms nobody.

  Scenario: Every message survives encoding and decoding
    Then any wire message is equal after a round trip

  Scenario: Bytes that are no message are refused with one error type
    Then the wire decoder refuses arbitrary and damaged bytes cleanly

  Scenario: A datagram of an unknown kind or version is ignored
    Given two wire datagram endpoints
    When a wire datagram of an unknown kind, one of another version and a ping arrive
    Then only the ping reaches the wire handler

  Scenario: A message that exceeds one MTU is not sent
    Given two wire datagram endpoints
    Then sending a wire message of 2000 bytes raises "MessageTooLongError"

  Scenario Outline: A request gets its answer or a named error
    Given a wire server that "<behaviour>"
    When a wire request is sent with <timeout> ms to answer
    Then the wire request ends with "<outcome>"

    Examples:
      | behaviour              | timeout | outcome              |
      | answers                | 10000   | DocumentReply        |
      | answers later          | 10000   | DocumentReply        |
      | fails                  | 10000   | PeerFailedError      |
      | has no handler         | 10000   | PeerFailedError      |
      | never answers          | 50      | PeerUnavailableError |
      | closes the connection  | 10000   | PeerUnavailableError |
      | is down                | 10000   | PeerUnavailableError |

  Scenario: Answers that arrive crossed reach their own requests
    Given a wire server that "answers in reverse"
    When 5 wire requests are sent at once
    Then each wire request gets its own answer

  Scenario: A frame that announces too great a length closes the connection
    Given a wire server that "answers"
    When a raw connection announces a frame of 16777216 bytes
    Then the wire server closes the raw connection

  Scenario Outline: Certificates are checked on both sides
    Given wire certificates where the <side>'s is "<certificate>"
    And a wire server that "answers"
    When a wire request is sent with 10000 ms to answer
    Then the wire request ends with "<outcome>"
    And the wire error says "<words>"

    Examples:
      | side   | certificate | outcome                 | words             |
      | server | good        | DocumentReply           |                   |
      | server | expired     | CertificateRefusedError | has expired       |
      | server | wrong host  | CertificateRefusedError | does not name     |
      | server | wrong CA    | CertificateRefusedError | unknown authority |
      | client | expired     | CertificateRefusedError | ours has expired  |
      | client | wrong CA    | CertificateRefusedError | authority of ours |
      | client | wrong host  | PeerUnavailableError    | closed            |

  Scenario: Settings that name only some certificate files are a mistake
    Then wire settings with only a certificate are refused
    And wire settings without any file mean plain connections

  Scenario: Certificates are replaced without a restart
    Given wire certificates where the server's is "expired"
    And a wire server that "answers"
    When the wire server's certificate files are replaced by good ones
    And a wire request is sent with 10000 ms to answer
    Then the wire request ends with "DocumentReply"

  Scenario: Unusable certificate files keep the old ones in use
    Given wire certificates where the server's is "good"
    And a wire server that "answers"
    When the wire server's certificate files are damaged
    And a wire request is sent with 10000 ms to answer
    Then the wire request ends with "DocumentReply"
