Feature: Calls whose prompt has a part that crashes engines
  A run that breaks as its answer begins is evidence against the shared parts of
  its prompt. A call with a blamed part is refused at once.

  Scenario: A call with a blamed part reaches no engine, and is told that it has not run
    Given a relay with a model engine that streams 2 events
    And the part "aa" of prompts is blamed for crashes
    When a caller calls "talk"
    Then the caller gets status 503
    And the answer has no header "Retry-After"
    And the server got 0 requests

  Scenario: A call is not refused for its last part, which no other prompt has
    Given a relay with a model engine that streams 2 events
    And the part "bb" of prompts is blamed for crashes
    When a caller calls "talk"
    Then the caller has the events "0 1" and a complete answer

  Scenario: A run that breaks as its answer begins accuses the shared parts
    Given a relay with a model engine that streams 1 events and half of one, then resets
    When a caller calls "talk"
    Then the evidence on parts is a crash under "aa"

  Scenario: A run that breaks long after its answer began accuses no part
    Given a relay with a model engine that streams 1 event and resets 600 ms after another one
    When a caller calls "talk"
    Then there is no evidence on parts

  Scenario: A call that tests a blamed part is sent once
    Given a relay with a model engine that streams 0 events and half of one, then resets
    And a second model engine that streams 2 events
    And the part "aa" of prompts is blamed for crashes and may be tested
    When a caller calls "resume" and the first server is selected
    Then the caller gets status 502
    And the second server got 0 requests

  Scenario: Ids of parts are bounded, whatever a caller sends
    Given the prompt parts "aa", one of 5000 characters, one with a line break and "last"
    Then their shared ids are "aa" and two of 16 characters
