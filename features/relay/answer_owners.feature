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
