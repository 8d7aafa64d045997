Feature: Routers that hear nothing of other software versions
  A caller takes a stream up at a router that does not know where it began. The
  router goes on with it if its service had one version only. That nothing is
  heard of another version shows nothing: the links to the store and to the other
  routers may be lost.

  # Guards against streams that are joined from two software versions because a
  # router that is cut off knows one of them only.
  Scenario Outline: Streams are not joined by a router that is cut off
    Given 4 routers before 4 engines that are listed <entry> s after a start
    And one router does not reach <cut>
    And half of the engines have restarted with other software <time> s before
    When streams begin at the other routers, one of which is killed then
    Then streams of the other version were taken up, and none is joined

    Examples:
      | cut                     | entry | time |
      | the store and its peers | 0.8   | 3.0  |
      | the store and its peers | 0.8   | 0.2  |
      | its peers               | 0.8   | 0.2  |
      | its peers               | 2.0   | 0.2  |
      | the store               | 2.0   | 0.2  |
      | the store               | 0.8   | 3.0  |
      | nothing                 | 2.0   | 0.2  |

  # Guards against the same as a router ends before it has told its peers of a
  # stream whose first event its caller has.
  Scenario Outline: Streams are not joined as a router ends with their first events
    Given 4 routers before 4 engines that are listed <entry> s after a start
    And one router does not reach <cut>
    And half of the engines have restarted with other software 0.2 s before
    When streams begin at the other routers, one of which is killed with their first events
    Then streams of the other version were taken up, and none is joined

    Examples:
      | cut     | entry |
      | nothing | 2.0   |
      | nothing | 0.8   |

  # Guards against routers that refuse what they could serve, as one that hears
  # enough knows that there is one software version.
  Scenario Outline: Streams go on at one software version though something is not heard
    Given 4 routers before 4 engines that are listed 0.8 s after a start
    And <routers> does not reach <cut>
    When streams begin at the other routers, one of which is killed then
    Then no stream that was taken up was refused

    Examples:
      | routers      | cut       |
      | one router   | the store |
      | every router | the store |
