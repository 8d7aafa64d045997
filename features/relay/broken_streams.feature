Feature: Streams that their engines break off
  A stream that may be resumed goes on at another engine. Where it does not, the
  log tells why.

  Scenario Outline: The log tells why a broken stream went to no other engine
    Given a relay with a model engine that <engine>
    And a second model engine that <second>
    And the log of the calls is read
    And the retry budget of the engines is <budget>
    When a caller calls "<route>" and the first server is selected
    Then the log has a broken call that was not sent again for "<reason>"

    Examples:
      | route  | engine                                       | second                                                    | budget | reason     |
      | resume | streams 2 events and half of one, then resets | streams 4 events                                         | spent  | budget     |
      | talk   | streams 2 events and half of one, then resets | streams 4 events                                         | free   | runs_once  |
      | resume | streams 2 events without ids and resets      | streams 4 events                                          | free   | unnumbered |
      | resume | streams 1 events and half of one, then resets | streams 2 events and half of one, and ends by channel    | free   | attempts   |

  Scenario Outline: A broken stream stays unfinished only for want of retries or engines
    Given a fleet of which an engine ends every second, with <slack> more retries and the seed <seed>
    When streams are sent for 8 s
    Then the streams that ran <runs> are over because of "<reasons>"
    And each stream that is refused for crashes had 3 engines end under it
    And each stream has all events up to its last one

    Examples:
      | slack | seed | runs  | reasons                |
      | 50    | 1    | once  | budget crashes_servers |
      | 3000  | 1    | once  | crashes_servers        |
      | 3000  | 1    | twice | attempts               |
      | 3000  | 4    | twice | attempts               |
      | 3000  | 6    | twice | attempts               |
