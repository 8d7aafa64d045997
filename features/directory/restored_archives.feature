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

  # Guards against requests that are refused though they are sound.
  Scenario Outline: A crash that was cleared meanwhile does not come back
    Given a router that has stored crashes of a request
    When the request completes, and the store comes back from a copy <with> it
    Then the store has no crashes after 5 s

    Examples:
      | with    |
      | without |
      | with    |

  # Guards against streams that are joined from two versions, because the copy
  # names one that this router has forgotten.
  Scenario: Versions that the copy has are kept
    Given a router that has stored the software versions of a service
    When the store comes back from a copy with the versions "v1 v3"
    Then the store has the versions "v1 v2 v3" within 2 s
