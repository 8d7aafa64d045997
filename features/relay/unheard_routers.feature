Feature: Retries of routers that do not hear each other
  All routers share the retries of a service. That nothing is heard of a router
  does not show that it has ended: it may spend its part all the same.

  # Guards against more retries than the users allow because each router takes
  # those that it does not hear for gone.
  Scenario Outline: Routers that do not hear each other do not spend the parts of others
    Given <routers> routers before 6 servers that reset all calls
    And the routers do not hear each other for 16 s, <heard>
    When each of them gets <rate> requests a second
    Then no window has more retries than the budget allows

    Examples:
      | routers | rate | heard                    |
      | 8       | 3    | all heard                |
      | 8       | 3    | in two parts             |
      | 8       | 3    | each by itself           |
      | 16      | 2    | each by itself           |
