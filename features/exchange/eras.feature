Feature: Eras of the store in exchanges between routers
  Offsets of different eras are not comparable.

  # Guards against records that a peer lacks because offsets were given out again,
  # and against a listing for each message of a router of an older build.
  Scenario Outline: What a router sends to a peer that names its offset
    Given a router that knows the servers "a b c" from offset 0 on, in era 5
    When a peer names the offset <offset> of era <era>
    Then it gets the servers "<servers>", as a whole listing: <whole>

    Examples:
      | era | offset | servers | whole |
      | 5   | 2      | c       | no    |
      | 4   | 2      | a b c   | yes   |
      | 4   | 9      | a b c   | yes   |
      | -1  | 2      | c       | no    |
      | 6   | 0      | none    | no    |

  Scenario: A router of an older build names no era
    Then a mark that was encoded without an era has the era -1
