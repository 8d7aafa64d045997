Feature: Router processes
  P8 and the thin whole path: routers are processes of their own that serve by
  the documents in force, and a graceful stop cuts no request.

  Scenario: Two router processes serve the same document
    Given two router processes before an engine process
    When each router process is asked for a chat
    Then each of them answers with a whole stream
    And each of them shows the same version in force
    And each of them lists both as members

  Scenario: A router that is told to stop finishes its streams
    Given two router processes before an engine process
    When the first router process gets SIGTERM in the middle of a slow stream
    Then its health check answers 503 during the grace period
    And it still serves a new chat during the grace period
    And its slow stream is complete
    And it ends with exit code 0

  Scenario: An engine that gets no work is explained
    Given a routed model service with 1 engines
    When the engine takes the role "leaving"
    Then the admin interface explains that the engine gets no work as "it is leaving"
