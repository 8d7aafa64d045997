Feature: What routers keep in a store that comes back from a copy
  The store loses what it got last. Nobody but the routers can write it again.

  # Guards against routers that start after such a loss and do not know of
  # crashes, software versions and named weights that all others knew.
  Scenario Outline: What the store has lost is written again
    Given a router that has stored <what>
    When the store comes back from a copy without it
    Then the store has <what> again within 2 s

    Examples:
      | what                                 |
      | crashes of a request                 |
      | the software versions of a service   |
      | when weights were named              |

  Scenario Outline: Nothing is written again while the store loses nothing
    Given a router that has stored <what>
    When 10 s pass at the archive
    Then the router has written once

    Examples:
      | what                                 |
      | crashes of a request                 |
      | the software versions of a service   |
      | when weights were named              |

  Scenario: A crash that was cleared meanwhile is not written again
    Given a router that has stored crashes of a request
    When the request completes, and the store comes back from a copy without it
    Then the store has no crashes after 5 s
