Feature: Streams that another server begins than the first that got them
  A server may reject a stream some time after it was sent, so that one of
  another software version begins it. Routers that keep the origin of a stream
  may miss a message about it.

  Scenario Outline: No router knows the version of a server that sent no event
    Given 8 routers before 6 engines of two versions that reject late, seed <seed>
    And links between routers are cut one by one, and routers are killed
    When 10 streams a second begin for 20 s
    Then at most 0 streams have events of two versions
    And at least half as many streams that are taken up go on as new ones begin

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |
