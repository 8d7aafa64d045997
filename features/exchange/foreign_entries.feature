Feature: Entries of other writers
  An entry may come from another writer, with fields that are missing or of
  another type, or with bytes that can't be read. It names no engine to use,
  and the others hold.

  Scenario Outline: One entry ends the exchange between routers
    Given 3 routers before 4 engines of one software version
    And another writer keeps an entry with <version> as its version
    And the fleet is disturbed by routers that are killed
    When 6 streams a second begin for 10 s
    Then each router knows all others
    And at least half as many streams that are taken up go on as new ones begin

    Examples:
      | version                         |
      | a raw surrogate                 |
      | an escaped surrogate            |
      | another software version        |

  Scenario: Drawn entries end what routers tell each other
    Then after each of 400 drawn entries a peer learns of a router, its calls and its versions

  Scenario Outline: A text that is no Unicode is let in
    Then the <document> is rejected with a surrogate as <form>

    Examples:
      | document              | form   |
      | entry of a server     | raw    |
      | entry of a server     | escape |
      | configuration         | raw    |
      | configuration         | escape |
      | target of weights     | escape |
      | VM list               | raw    |
      | VM list               | escape |
      | adoption record       | escape |
      | record of versions    | escape |
      | record of an origin   | escape |
      | load of an engine     | escape |
      | report of an engine   | raw    |
      | report of an engine   | escape |

  Scenario: One item of a page or a poll ends all others
    Then a page with a key that is no Unicode has all its records
    And a poll with rows that are no events has the others

  Scenario: One part that cannot be packed ends a message
    Given a message to a peer with parts that cannot be packed
    When the message is packed 100 times
    Then each time the other parts arrive
    And the log names each field once, and a metric counts the parts

  Scenario: A duty that fails again and again shows only in the log
    Given a duty that fails
    When the duty was called 3 times
    Then the metrics count 3 failures of the duty

  Scenario: One step of a duty that fails ends those behind it
    Given a duty of three steps of which the second fails
    When the duty was called 3 times
    Then the third step was called 3 times
    And the metrics count 3 failures of the duty

  Scenario Outline: A number overflows where calls are placed
    Then an entry with <digits> digits as its <field> leaves calls of its service placed

    Examples:
      | digits | field |
      | 20     | slots |
      | 400    | slots |
      | 400    | born  |
      | 400    | seq   |
