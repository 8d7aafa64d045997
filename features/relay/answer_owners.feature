Feature: Which answers belong to a request
  Engines repeat the id of the request and add their stamp. A faulty one may
  send bytes that are no answer, and an answer to another request may come late.

  Scenario Outline: The log tells the marks of an answer that has no owner
    Given a relay before a plain server that answers <status> with <marks>
    And the log of answers without an owner is read
    When a caller calls "read" for each framing
    Then the log tells an answer of <owner> with "<summary>" for each framing

    Examples:
      | status | marks          | owner         | summary                              |
      | 200    | no marks       | nobody        | status 200, id missing, stamp missing |
      | 200    | own id         | nobody        | status 200, id own, stamp missing    |
      | 200    | stamp          | nobody        | status 200, id missing, stamp there  |
      | 503    | no marks       | nobody        | status 503, id missing, stamp missing |
      | 503    | own id, stamp  | nobody        | status 503, id own, stamp there      |
      | 200    | other id, stamp | other request | status 200, id other, stamp there   |

  Scenario Outline: Wrong bytes of an engine reach callers as a success
    An answer without the stamp or the id of its request may be anybody's. The
    request may have run all the same, so that no refusal may deny it.

    Given a relay before a plain server that answers <status> with <marks>
    When a caller calls "book" for each framing
    Then each caller gets status 502 and no byte of the server
    And the server got 3 requests on 3 connections
    And the failures of the server count

    Examples:
      | status | marks                             |
      | 200    | no marks                          |
      | 200    | own id                            |
      | 200    | stamp                             |
      | 200    | own id, empty stamp               |
      | 200    | two ids, stamp                    |
      | 200    | own id, not run                   |
      | 200    | own id, stamp, not run            |
      | 200    | own id, stamp, encoding           |
      | 200    | interim answer, own id            |
      | 302    | no marks                          |
      | 404    | no marks                          |
      | 404    | own id                            |
      | 404    | stamp                             |
      | 404    | own id, stamp, encoding           |
      | 500    | no marks                          |
      | 500    | own id                            |
      | 500    | stamp                             |

  Scenario Outline: A refusal without a statement promises that a call has not run
    Given a relay before a plain server that answers <status> with <marks>
    When a caller calls "book" for each framing
    Then each caller gets status 502 and no byte of the server
    And the server got 3 requests on 3 connections

    Examples:
      | status | marks          |
      | 503    | no marks       |
      | 503    | own id         |
      | 503    | stamp          |
      | 503    | own id, stamp  |
      | 503    | not run        |
      | 503    | stamp, not run |
      | 429    | no marks       |
      | 429    | own id, stamp  |
      | 429    | not run        |
      | 408    | no marks       |
      | 408    | own id, stamp  |
      | 421    | no marks       |
      | 421    | stamp          |
      | 421    | not run        |

  Scenario Outline: Whole answers of sound servers are turned away
    Given a relay before a plain server that answers <status> with <marks>
    When a caller calls "book" for each framing
    Then each caller gets status <status> and the body of the server

    Examples:
      | status | marks                             |
      | 200    | own id, stamp                     |
      | 200    | own id, stamp, no encoding        |
      | 200    | own id, stamp, instance           |
      | 200    | interim answer, own id, stamp     |
      | 404    | own id, stamp                     |
      | 500    | own id, stamp                     |
      | 504    | own id, stamp                     |

  Scenario Outline: A stated rejection counts as a run
    Given a relay before a plain server that answers <status> with <marks>
    When a caller calls "book" for each framing
    Then each caller gets status 503 and no byte of the server

    Examples:
      | status | marks                  |
      | 503    | own id, not run        |
      | 503    | own id, stamp, not run |
      | 429    | own id, not run        |
      | 400    | own id, not run        |
      | 421    | own id                 |
      | 421    | own id, stamp          |
      | 421    | instance               |

  Scenario Outline: A call that may run again ends with wrong bytes
    Given a relay before a plain server that answers <status> with <marks>
    And a second plain server that answers
    When a caller calls "read" and the first server is selected
    Then the caller gets status 200

    Examples:
      | status | marks         |
      | 200    | no marks      |
      | 200    | own id        |
      | 200    | stamp         |
      | 503    | no marks      |
      | 500    | no marks      |

  Scenario Outline: An answer to another request ends the wait for the own one
    Given a relay before a plain server that first answers <status> with <marks>, then the call
    When a caller calls "book"
    Then the caller gets status 200

    Examples:
      | status | marks           |
      | 200    | other id, stamp |
      | 200    | other id        |
      | 503    | other id, not run |

  Scenario Outline: Wrong bytes of an engine reach callers as a stream
    Given a relay before a model engine that answers <status> with <marks>
    And a second model engine that streams 3 events
    When a caller calls "resume" and the first server is selected
    Then the caller has the events "0 1 2" and a complete answer

    Examples:
      | status | marks           |
      | 200    | no marks        |
      | 200    | events          |
      | 200    | own id, events  |
      | 200    | stamp, events   |
      | 503    | no marks        |

  Scenario Outline: Wrong bytes of an engine take the place of a silent one
    Given a relay with a server that is silent for <silence> s <place>
    And a second server of it that <behaviour>
    When a caller calls the silent server
    Then the caller gets the whole answer once

    Examples:
      | silence | place                 | behaviour               |
      | 0.9     | before a plain answer | sends a foreign page    |
      | 0.9     | before a plain answer | sends a foreign 503     |
      | 0.9     | before a plain answer | answers without a stamp |
      | 1.3     | before a stream       | sends a foreign page    |
      | 1.3     | before a stream       | sends a foreign 503     |
      | 1.3     | before a stream       | answers without a stamp |

  Scenario: What wrong bytes state counts as a statement of the server
    Given a relay before a plain server that answers 200 with limit, leaving
    When a caller calls "book" for each framing
    Then the server has stated nothing
