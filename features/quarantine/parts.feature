Feature: Parts of prompts that crash engines
  Requests with a part that crashes engines are refused, and no others.

  Scenario: A part is blamed for crashes under different requests
    Given a part quarantine
    When engines crash under 2 requests with "hot,rare,bad"
    Then no part is blamed
    When engines crash under 1 request with "other,bad"
    Then "bad" is blamed

  Scenario: Requests that share the other parts of guilty ones are not refused
    Given a part quarantine
    And requests with "hot,rare" are answered
    When engines crash under 5 requests with "hot,rare,bad"
    Then "bad" is blamed

  Scenario: One request that crashes engines does not accuse its parts
    Given a part quarantine
    When engines crash under the same request with "hot,rare" 6 times
    Then no part is blamed

  Scenario: A fault that breaks all connections at once accuses no part
    Given a part quarantine
    When runs with "hot,rare" on 6 engines break at once
    Then no part is blamed

  Scenario: Answers settle the crashes that were noticed before
    Given a part quarantine
    When engines crash under 2 requests with "hot,rare"
    And requests with "hot,rare" are answered
    And engines crash under 2 requests with "hot,rare"
    Then no part is blamed

  Scenario: An answer that began before the crashes does not settle them
    Given a part quarantine
    When a run with "turned" begins to be answered
    And engines crash under 5 requests with "turned"
    And that run is answered to its end
    Then "turned" is blamed

  Scenario: A part that begins to crash engines is blamed though it was answered before
    Given a part quarantine
    And requests with "hot" are answered
    When engines crash under 4 requests with "hot"
    Then no part is blamed
    When engines crash under 1 request with "hot"
    Then "hot" is blamed

  Scenario: Of two parts that were always together, the one that is answered alone is released
    Given a part quarantine
    When engines crash under 3 requests with "rare,bad"
    Then "bad,rare" is blamed
    And a request with "rare" is no probe 2000 ms later
    And a request with "rare" is a probe 2000 ms later
    When requests with "rare" are answered
    Then "bad" is blamed

  Scenario: Probes of a guilty part become rare and end
    Given a part quarantine
    When engines crash under 3 requests with "bad"
    And requests with "bad" come each second for 20 minutes, and probes crash engines
    Then there were 3 probes, the first 30 s after the last crash

  Scenario: A rare part is tested by any router in the end, one after the other
    Given a part quarantine that tests parts as the fifth router
    When engines crash under 3 requests with "rare,bad"
    Then a request with "rare" is no probe 6000 ms later
    And a request with "rare" is a probe 1000 ms later

  Scenario: A part that no longer crashes engines is released by a probe
    Given a part quarantine
    When engines crash under 3 requests with "bad"
    And requests with "bad" come each second for 1 minute, and probes are answered
    Then no part is blamed

  Scenario: Routers that each see one crash blame the part together
    Given 3 part quarantines that each see a crash under a request with "hot,bad"
    When they exchange their evidence
    Then "bad,hot" is blamed by each of them

  Scenario: An answer at one router releases a part at all
    Given 3 part quarantines that each see a crash under a request with "hot,bad"
    When they exchange their evidence
    And 2000 ms later the first of them sees an answer on "hot"
    And they exchange their evidence
    Then "bad" is blamed by each of them

  Scenario: Evidence that is under way for long settles no later crash
    Given 5 part quarantines that each see a crash under a request with "turned"
    When they exchange their evidence
    And the first of them saw an answer on "turned" 100 ms before the crashes, and its message takes 900 ms
    Then "turned" is blamed by the second of them

  Scenario: A suspect is not crowded out of the messages, nor out of memory
    Given a part quarantine
    When engines crash under 2 requests with "bad"
    And one run each of 11000 other parts breaks
    Then the evidence that is sent first has "bad"
    And the part quarantine tracks at most 10000 parts

  Scenario: Crashes that an answer has settled accuse no part once the answer is forgotten
    Given a part quarantine that tracks 10 parts
    When engines crash under 4 requests with "hot"
    And requests with "hot" are answered
    And requests with 11 other parts are answered
    And engines crash under 1 request with "hot"
    Then no part is blamed

  Scenario: Crashes are evidence for 10 minutes
    Given a part quarantine
    When engines crash under 3 requests with "bad"
    And 10 minutes pass
    Then no part is blamed
    And no evidence is sent

  Scenario: Implausible evidence of a peer is ignored
    Given 3 part quarantines that each see a crash under a request with "bad"
    When a peer sends crashes of "odd" with ages that no run has
    Then no evidence on "odd" is sent

  Scenario: Evidence on a part that was answered long ago can be sent
    Given a part quarantine
    And requests with "old" are answered
    When 90 days pass
    And engines crash under 2 requests with "old"
    Then the message with the evidence can be encoded

  Scenario Outline: Guilty parts are found after few crashes, and sound requests are served
    When <routers> routers are simulated with <parts> guilty parts in <percent> % of the requests
    Then at most 3 guilty requests are sent later than 3 s after the fifth crash
    And less than 1 % of the sound requests are refused

    Examples:
      | routers | parts | percent |
      | 8       | 1     | 5       |
      | 8       | 1     | 1       |
      | 8       | 2     | 5       |
      | 8       | 1     | 0       |
