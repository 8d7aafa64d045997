Feature: What shows which process of a server wrote its entries
  Engines restart under their ids with other software and state no start.

  # Guards against streams that are joined because the version of the next
  # process is recorded for one whose end a router has not noticed.
  Scenario: A process that has ended gets no version from the entries of the next one
    Given an engine whose process "e1" answered once, before it was listed
    When it has ended unnoticed, and the next process is listed twice with "v2"
    And a call is about to be sent on the open connection to process "e1"
    Then the version of process "e1" is not known

  # Guards against streams that are joined because no change of an entry is
  # taken for heartbeats, while the store was away and could take none.
  Scenario: An entry that stays while the store is away does not describe the next process
    Given an engine that is listed with "v1" until it ends
    When its next process answers from then on, the store is away for 4.6 s, and confirms that nothing has changed
    Then the next process has no version

  # Guards against streams that are joined because an entry that was written
  # twice, as the first write got no answer, is taken for two heartbeats.
  Scenario: Two copies of one late heartbeat do not describe the next process
    Given an engine that is listed with "v1" until it ends
    When its next process answers from then on, and one heartbeat of "v1" reaches the store late, twice
    Then the next process has no version

  # Guards against connections and memory that are never freed, as engines
  # restart under a new id each time.
  Scenario: Connections to engines that are gone are not kept
    Given an engine that states nothing of its process, and is asked for it
    When it is listed no more
    Then no connection to it is kept

  # Guards against streams that are joined after the store was away, as the
  # times after which it removes entries pause meanwhile.
  Scenario Outline: Streams are not joined once a store is back that has removed no entry meanwhile
    Given 3 routers before 4 engines that state their start in "no place", and cache events with an epoch yes
    And callers come back <pause> s after their stream breaks off
    And all engines restart with other software, and the store is away for 6.0 s, in which entries do not age
    When 10 streams a second begin for 4 s
    Then no stream has events of two versions, whether any goes on or not

    Examples:
      | pause |
      | 6.0   |
      | 6.4   |
      | 6.8   |

  # Guards against streams that are joined because one late entry alone is taken
  # for two in a row.
  Scenario: One late entry does not describe the next process
    Given an engine that is listed with "v1" until it ends
    When its next process answers from then on, and one heartbeat of "v1" reaches the store late
    Then the next process has no version

  # Guards against streams that are joined because a process that has run for
  # long is given a version that its server is listed with only now.
  Scenario: An entry that is new does not describe a process that has run for long
    Given an engine that is listed with "v1" until it ends
    When a late entry with "v2" comes for a process that has run for 4 heartbeats
    Then the next process has no version
