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

  Scenario: A server that the VM list calls leaving gets no work until it is live
    Given a routed model service with 2 engines
    When the VM list calls the first engine "leaving"
    Then the router takes the first engine out of use
    And 6 routed chats all run on the second engine
    When the VM list calls the first engine "live"
    Then the router takes the first engine into use

  Scenario: A router without a document does not call a credential unknown
    Given a router whose services have no document
    When it is asked for a chat with a credential that it cannot know
    Then the chat is refused with 503, "not-run" and "no_document", to be retried

  Scenario: Ended calls count towards the objectives of the document
    Given a routed model service with an objective and 1 engines
    When 3 routed chats are answered
    Then the objective report of the router counts 3 requests

  Scenario: An engine elsewhere stays known while none here can be used
    Given a routed model service whose only engine is in another data centre
    When its load report is renewed
    Then a routed chat runs on it

  Scenario: A key in use does not count against the objectives
    Given a routed plain service with an objective and a slow server
    When a booking is sent twice with the same key
    Then the objective report of the router counts 1 requests
