Feature: Directory
  Routers merge records from the store and from peers, and never return to an
  older version.

  Scenario: Records from the store and from peers give one state in any order
    Then any split and order of a topic's records gives the same newest records

  Scenario: A listing removes the keys that it lacks
    Given a topic with the keys "a b c" read up to offset 10
    When a listing begun at offset 10 has the keys "a c"
    Then the topic has the keys "a c"

  Scenario: A late copy of an older record changes nothing
    Given a topic with the keys "a b" read up to offset 10
    When a listing begun at offset 5 has the keys "a"
    Then the topic has the keys "a b"

  Scenario: A process never returns to an older configuration
    Given a directory with configuration 7
    When configuration 6 arrives at a later offset
    Then configuration 7 is in force

  Scenario Outline: When the removal of an entry removes the server
    Given a directory with server "s1"
    And the store <state> at 10000 ms
    When the entry of "s1" is removed at 10500 ms
    Then server "s1" is <at once> at 10500 ms
    And server "s1" is <later> at 14000 ms

    Examples:
      | state              | at once | later |
      | answers            | gone    | gone  |
      | is out             | known   | known |
      | is back from an outage | known | gone |

  Scenario: A server that writes its entry again after an outage stays
    Given a directory with server "s1"
    And the store is back from an outage at 10000 ms
    When the entry of "s1" is removed at 10500 ms
    And the entry of "s1" is written at 11500 ms
    Then server "s1" is known at 14000 ms

  Scenario: An entry that repeats the known values notifies no listener
    Given a directory with server "s1"
    When the entry of "s1" is written at 11500 ms
    Then the directory notified its listeners of 1 change

  Scenario: The follower lists all keys after a gap and reads on after an outage
    Given a follower of a store with the keys "a b"
    When the store drops its history and gets the key "c"
    Then the follower has the keys "a b c"
    When the store fails 3 times and gets the key "d"
    Then the follower has the keys "a b c d"
    When a read of the store raises an unexpected error between the keys "e" and "f"
    Then the follower has the keys "a b c d e f"

  Scenario: A late answer confirms the records as of the time when the read was sent
    Given a follower of a store with the keys "a b"
    When a read is answered 1500 ms after it was sent
    Then the store confirmed the topic 1500 ms ago

  Scenario: An entry of unknown age does not show that its server lives
    Given a follower of a store with the keys "a b", whose entries are noted
    Then no entry is noted
    When a read is answered 1500 ms after it was sent
    Then the entry of "c" is noted as written later than 1500 ms ago
    When the store drops its history and gets the key "d"
    Then the entry of "d" is not noted

  Scenario: A read that begins in an outage does not wait for records
    Given a follower of a store with the keys "a b"
    When the store fails 3 times and gets the key "c"
    Then the reads after a failure waited for 0 ms and the others for 2000 ms

  Scenario: A periodic task continues after an error
    Then a periodic task that fails in its first 3 calls is called again each time

  Scenario: A peer gets only the records that changed since its next offset
    Given a directory with server "s1"
    When the entries of "s1 s2" are written, and then "s1" 20 times with the same values
    Then a peer without records gets the entries of "s1 s2"
    And a peer that has all but the last 15 records gets none
    When the entry of "s1" is removed after all other records
    Then a peer that has all but the last 1 records gets the entries of "s1"

  Scenario Outline: Which routers read the servers' entries
    Given data centres of <routers> routers
    Then in each, <readers> routers read the store, and others replace them if they fail

    Examples:
      | routers | readers |
      | 1       | 1       |
      | 3       | 2       |
      | 8       | 2       |
      | 10      | 1       |
      | 30      | 1       |

  # Guards against namings that no router stores, or that are stored by routers
  # that know no heartbeats although others know them.
  Scenario Outline: Which routers record events in the store
    Given data centres of <routers> routers
    Then of <centres> such data centres, 2 routers record events, <readers> of which read the store

    Examples:
      | routers | centres | readers |
      | 2       | 1       | 2       |
      | 8       | 1       | 2       |
      | 10      | 1       | 1       |
      | 10      | 2       | 2       |
      | 50      | 9       | 2       |

  Scenario Outline: How long a router relies on its peers before it reads the store
    Given data centres of <routers> routers, and changes that must be in force after <bound> ms
    Then for <topic> a router that is <reader> reader and whose records were confirmed <age> ms ago reads after <ms> ms

    Examples:
      | routers | bound | topic      | reader | age  | ms   |
      | 30      | 2000  | SERVERS    | a      | 0    | 0    |
      | 30      | 2000  | SERVERS    | no     | 0    | 1500 |
      | 30      | 2000  | SERVERS    | no     | 1400 | 100  |
      | 30      | 2000  | SERVERS    | no     | 1500 | 0    |
      | 30      | 4000  | SERVERS    | no     | 1500 | 1500 |
      | 30      | 4000  | SERVERS    | no     | 3000 | 0    |
      | 3       | 2000  | SERVERS    | no     | 1400 | 100  |
      | 30      | 2000  | OPERATIONS | a      | 0    | 0    |
      | 30      | 2000  | OPERATIONS | no     | 1400 | 100  |
      | 30      | 2000  | OPERATIONS | no     | 1500 | 0    |
      | 30      | 4000  | OPERATIONS | no     | 1500 | 1500 |
      | 3       | 2000  | OPERATIONS | no     | 0    | 0    |

  Scenario Outline: How long a read waits at the store
    Given data centres of <routers> routers, and changes that must be in force after <bound> ms
    Then a read of <topic> waits <ms> ms

    Examples:
      | routers | bound | topic      | ms   |
      | 3       | 2000  | OPERATIONS | 1000 |
      | 30      | 2000  | OPERATIONS | 500  |
      | 30      | 4000  | OPERATIONS | 1000 |
      | 30      | 2000  | SERVERS    | 2000 |

  Scenario Outline: A fleet calls the store no more often when it grows
    Given data centres of <routers> routers, and changes that must be in force after <bound> ms
    Then all routers of a data centre read at most <calls> times a second while their records are recent

    Examples:
      | routers | bound | calls |
      | 9       | 2000  | 6     |
      | 9       | 4000  | 3     |
      | 39      | 4000  | 3     |
      | 450     | 4000  | 3     |

  # Guards against calls to the store by each data centre, and by each router
  # of a small one.
  Scenario Outline: A fleet calls the store no more often when it has more data centres
    Given <centres> data centres of <routers> routers, and changes that must be in force after <bound> ms
    Then all routers together read at most <calls> times a second while their records are recent

    Examples:
      | centres | routers | bound | calls |
      | 3       | 4       | 2000  | 9     |
      | 5       | 4       | 4000  | 4.5   |
      | 5       | 39      | 4000  | 4.5   |
      | 9       | 50      | 4000  | 4.5   |

  # Guards against records that become too old as the readers of the fleet are
  # cut off from the store, and against reads by hundreds of routers at once.
  Scenario Outline: Routers of each data centre replace the readers of the fleet
    Given <centres> data centres of <routers> routers, and changes that must be in force after <bound> ms
    Then as records of <topic> become old, <readers> of its routers read them after <early> ms, and all after <late> ms

    Examples:
      | centres | routers | bound | topic      | readers | early | late |
      | 3       | 4       | 2000  | SERVERS    | 6       | 900   | 1500 |
      | 5       | 39      | 4000  | SERVERS    | 5       | 1800  | 3000 |
      | 5       | 39      | 4000  | OPERATIONS | 5       | 1800  | 3000 |

  # Guards against entries that the routers of a small fleet know later because
  # others read them.
  Scenario Outline: In a small fleet the readers of each data centre always read
    Given <centres> data centres of <routers> routers, and changes that must be in force after 2000 ms
    Then <servers> routers always read SERVERS, and <operations> always read OPERATIONS

    Examples:
      | centres | routers | servers | operations |
      | 3       | 2       | 6       | 6          |
      | 3       | 3       | 6       | 9          |
      | 3       | 4       | 2       | 2          |
      | 1       | 9       | 1       | 1          |

  Scenario: A router that awaits evidence of a server reads its heartbeats, though peers move its offset
    Given a follower of a store with the keys "a b", whose entries are noted
    And it awaits evidence that servers live
    When the keys "s1 s2" are written and a peer sends all but their entries
    Then the next read notes the entries of "s1 s2"

  Scenario: The follower does not read while peers send recent records
    Given a follower of a store with the keys "a b"
    When peers send recent records for 4 s and the store gets the key "c"
    Then the follower made at most 1 read meanwhile
    And the follower has the keys "a b c"

  Scenario: A router that awaits evidence lists the servers once for each gap
    Given a follower of a store with the keys "a b", whose entries are noted
    And it awaits evidence that servers live
    When the store drops its history and gets the key "c"
    Then the follower has the keys "a b c"
    And the store was listed 2 times

  # Guards against servers that nobody can ask whether they live, because their
  # entries were removed while they serve on, and against a list that only grows.
  Scenario: Servers that were removed are remembered for a while
    Given an empty memory of removed servers
    When the servers "s1 s2" are removed at 0 s, and "s3" at 30 s
    Then the servers removed lately are "s3 s2 s1" at 59 s
    And the servers removed lately are "s3" at 60 s
    When the server "s3" is listed again
    Then the servers removed lately are "" at 60 s
