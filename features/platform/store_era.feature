Feature: The era of the store
  The store names its era in all its answers. The era rises when the store comes
  back from a copy that is some seconds old.

  # Guards against offsets of an older era that pass for those of a newer one.
  Scenario Outline: The era of an answer
    Given a client of the store
    When answers to reads name the eras "<eras>", 1 s apart
    Then the reads have the eras "<found>"
    And <lines> log lines say that an era is not usable, the first <reason>

    Examples:
      | eras             | found          | lines | reason    |
      | 7 7 8            | 7 7 8          | 0     | not       |
      | 0 1              | 0 1            | 0     | not       |
      | none none        | -1 -1          | 1     | missing   |
      | none 3           | -1 3           | 1     | missing   |
      | 3 none none 4    | 3 3 3 4        | 1     | missing   |
      | 3 x4 -1 3.5 4    | 3 3 3 3 4      | 1     | malformed |
      | 3 9999999999999999999999 4 | 3 3 4 | 1    | malformed |
      | 3 2 3            | 3 rejected 3   | 1     | fallen    |
      | 5 4 4 6          | 5 rejected rejected 6 | 1 | fallen |

  Scenario: Log lines on eras that are not usable are few
    Given a client of the store
    When answers to reads name no era for 300 s, 10 times a second
    Then 5 log lines say that an era is not usable, the first missing

  Scenario: A listing of two eras has the records of the later one alone
    Given a client of the store
    When the second page of a listing is of a later era
    Then the listing has the records of the later era

  Scenario Outline: Records of the leader lease name eras
    Then the lease record "<value>" has the holder "<holder>" and the eras <eras>

    Examples:
      | value    | holder | eras  |
      | r1;      | r1     | -1 -1 |
      | r1       | r1     | -1 -1 |
      | r1;7,5   | r1     | 7 5   |
      | r1;7     | r1     | -1 -1 |
      | r1;7,x   | r1     | -1 -1 |
      | ;7,5     |        | 7 5   |
      | ;        |        | -1 -1 |

  Scenario Outline: Records of the leader lease are read as they were written
    Then a lease record of the holder "<holder>" and the eras <eras> is read as it was written

    Examples:
      | holder | eras  |
      | r1     | 7 5   |
      | r1     | 0 0   |
      | r1     | -1 -1 |
      |        | 7 5   |

  # An append may be judged after the store came back from a copy.
  Scenario Outline: An append of the lease counts in the era that it names
    Given a client of the store
    When an append that names the era 4 is answered in the era <era>
    Then the append counts: <counts>

    Examples:
      | era  | counts |
      | 4    | yes    |
      | 5    | no     |
      | none | yes    |

  # Guards against calls to the store whose purpose no metric shows.
  Scenario: Calls to the store are counted by purpose
    Given a client of the store
    When it reads the servers 3 times, and the operator's records once
    Then the metric of calls has grown by 3 for "servers" and by 1 for "operations"
