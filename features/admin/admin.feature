Feature: Commands that read running routers
  Operators see at a glance what is in force where, and scripts get codes.

  Scenario Outline: Status tells versions, drains and what is wrong
    Given two admin routers at versions <first> and <second>
    When the admin command "status" is run on <target>
    Then the admin command ends with code <code> and says "<words>"

    Examples:
      | first | second | target       | code | words                                              |
      | 7     | 7      | both         | 0    | 10.0.0.2:9102                                      |
      | 7     | 9      | both         | 1    | matcher-llm: the version in force differs          |
      | 7     | 7      | both, closed | 1    | no answer (connection refused)                     |
      | 7     | 7      | nonsense     | 2    | --admin=nonsense: expected an IP address and port  |

  Scenario: Scripts get JSON by address
    Given two admin routers at versions 7 and 7
    When the admin command "status --json=True" is run on both
    Then the admin command prints JSON with version 7 for both routers

  Scenario: Members shows where the views differ
    Given two admin routers at versions 7 and 7
    When the admin command "members" is run on both
    Then the admin command ends with code 0 and says "alive for one, suspect for two"

  Scenario: The report writes one file
    Given two admin routers at versions 7 and 7
    When the admin command "report --output=FILE" is run on both
    Then the admin command ends with code 0 and says "written"
    And the admin report file is an HTML page

  Scenario: A report to a place that cannot be written is a mistake
    Given two admin routers at versions 7 and 7
    When the admin command "report --output=/nonexistent/report.html" is run on both
    Then the admin command ends with code 2 and says "a file that can be written"
