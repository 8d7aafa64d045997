Feature: At which software version a stream that is taken up goes on
  The caller names the request that brought the first event. A router that
  cannot learn its version goes on only if no other one can have begun it.

  Scenario Outline: A stream that nobody knows goes on only if one version can have begun it
    Given a relay with engines of the versions "<versions>" that know how to go on
    When a caller takes up the stream of "<resumed>" after event 1
    Then the caller gets status <status> and the code "<code>"

    Examples:
      | versions | resumed | status | code           |
      | v1       | r0      | 200    |                |
      | v1       |         | 200    |                |
      | v1 v2    | r0      | 503    | stream_unknown |
      | v1 v2    |         | 503    | stream_unknown |

  Scenario Outline: A stream of a split route goes on only if its name tells the service
    Given a relay with engines of the versions "<versions>" that know how to go on
    And the route is split, and all its calls get these engines
    When a caller takes up the stream of "<resumed>" after event 1
    Then the caller gets status <status> and the code "<code>"

    Examples:
      | versions | resumed | status | code           |
      | v1       | r0      | 200    |                |
      | v1       |         | 503    | stream_unknown |
      | v1 v2    | r0      | 503    | stream_unknown |

  Scenario: A version that has left counts until its streams are forgotten
    Given a relay with engines of the versions "v1 v2" that know how to go on
    And the engine of "v1" has left
    When a caller takes up the stream of "r0" after event 1
    Then the caller gets status 503 and the code "stream_unknown"

  Scenario Outline: A stream goes on at an engine of its version
    Given a relay with engines of the versions "v1 v2 v2 v2" that know how to go on
    And the stream "r0" of the customer "anna" was begun by "<version>"
    When a caller takes up the stream of "r0" after event 1
    Then the caller gets status 200 and the code ""
    And an engine of "<version>" was asked to go on after "1"

    Examples:
      | version |
      | v1      |
      | v2      |

  # Guards against streams that are joined at the next router, because this one
  # has kept the version of a process that could not go on with the stream.
  Scenario: The origin of a stream is kept though the process that is asked cannot go on
    Given a relay with engines of the versions "v2" that know how to go on
    And the stream "r0" of the customer "anna" was begun by "?i0/5"
    And the process of the engines is "7"
    When a caller takes up the stream of "r0" after event 1
    Then the caller gets status 503 and the code "version_gone"
    And the stream "r0" of the customer "anna" is still known to be begun by "?i0/5"

  Scenario: A stream of another customer is not known
    Given a relay with engines of the versions "v1 v2" that know how to go on
    And the stream "r0" of the customer "ben" was begun by "v1"
    When a caller takes up the stream of "r0" after event 1
    Then the caller gets status 503 and the code "stream_unknown"

  Scenario: A stream whose version is gone is refused at once
    Given a relay with engines of the versions "v1 v2" that know how to go on
    And the stream "r0" of the customer "anna" was begun by "v3"
    When a caller takes up the stream of "r0" after event 1
    Then the caller gets status 503 and the code "version_gone"

  Scenario: A stream that began at another service is refused
    Given a relay with engines of the versions "v1 v2" that know how to go on
    And the stream "r0" of the customer "anna" was begun by "v1" of another service
    When a caller takes up the stream of "r0" after event 1
    Then the caller gets status 503 and the code "stream_gone"

  Scenario: A router goes on only at the version that brought the first event
    Given a relay with engines of the versions "v1 v2" whose streams break off
    When a caller calls "resume" and the first server is selected
    Then the caller has the events "1" and nothing else, and an incomplete answer

  Scenario: An engine that restarted with another version does not go on
    Given a relay with engines of the versions "v1 v2" that know how to go on
    And the stream "r0" of the customer "anna" was begun by "v1"
    And the engine of "v1" restarts as "v2" before it answers
    When a caller takes up the stream of "r0" after event 1
    Then the caller gets status 502 and the code "version_gone"

  Scenario: All tries of a stream go to the same service of a traffic split
    Given a relay whose route is split between two services
    When callers begin and take up 40 streams
    Then each stream is placed at one service, and both services get some

  Scenario: The versions of services pass through the messages of routers
    Given a history of the versions "v1 v2" and one of "v1"
    When the second one merges the message of the first one
    Then both know the versions "v1 v2", and how far back

  Scenario: What the store has of versions tells a router that starts of them
    Given an archive over a store with the versions "v1 v2"
    When a router starts with engines of "v2" only
    Then it knows that "v1 v2" may have begun a stream
    And it writes "nothing" once "v1" is forgotten

  Scenario: An unexpected error after the origin of a stream is found ends the call at once
    Given a relay with engines of the versions "v1 v2" that know how to go on
    And the origin of a stream is found after 50 ms, and the selection of a server then fails
    When a caller takes up the stream of "r0" after event 1
    Then the caller gets status 503 and the code "internal_error"
