Feature: Entries that lack the start of their server, or are missing for some time
  An entry may come from another writer and lack a field. What the process has said
  holds for it all the same.

  Scenario Outline: What a server has said holds although its entry lacks its start for some time
    Given a server that states its start
    When it names a limit, a time without calls and that it leaves
    And its entry <changes>
    Then what it has said holds

    Examples:
      | changes                                    |
      | lacks its start                            |
      | lacks its start, and states it again       |
      | is missing, and states its start again     |
      | is missing, and lacks its start            |

  Scenario: What a server says while its entry lacks its start holds when the start is stated again
    Given a server that states its start
    When its entry lacks its start
    And it names a limit, a time without calls and that it leaves
    And its entry states its start again
    Then what it has said holds

  Scenario Outline: What a server has said does not hold for its next process, though entries were partial
    Given a server that states its start
    When it names a limit, a time without calls and that it leaves
    And its entry <changes>
    Then nothing that it has said holds

    Examples:
      | changes                                |
      | states another start                   |
      | lacks its start, and states another    |
      | is missing, and states another start   |

  Scenario: What a server without a start has said does not hold once an upgrade states one
    Given a server that states no start
    When it names a limit, a time without calls and that it leaves
    And its entry states another start
    Then nothing that it has said holds
