Feature: Streams that are taken up as all routers have restarted
  Engines name their processes by the epochs of their cache events. Routers that
  have just started do not know yet which software version each process has.

  # Guards against calls that fail for an unexpected error as no engine is left
  # that a stream fits to.
  Scenario: No call fails unexpectedly as all routers have restarted
    Given 3 routers before 4 engines that state their start in "no place", and cache events with an epoch yes
    And the fleet is disturbed by a restart of all routers
    When 10 streams a second begin for 20 s
    Then no call has failed unexpectedly

  # Guards against streams that are refused until the versions are known.
  Scenario Outline: Streams go on after a restart of all routers
    Given 3 routers before 4 engines that state their start in "<places>", and cache events with an epoch <epochs>
    And the fleet is disturbed by a restart of all routers
    When 10 streams a second begin for 20 s
    Then at least half as many streams that are taken up go on as new ones begin

    Examples:
      | places                   | epochs |
      | no place                 | yes    |
      | the report               | yes    |
      | the entry                | yes    |
      | the entry and the report | yes    |
