Feature: Customers that become isolated
  An isolated customer shares no part of a prompt with another one. Engines keep
  parts longer than a configuration is in force, and routers that have just
  started know the newest configuration only.

  Scenario Outline: No part is found across the wall, whenever it was built
    Given 3 routers before engines that keep what they have read
    When prompts come while a customer is <states>, and the routers <routers>
    Then no part is found across the wall

    Examples:
      | states                         | routers |
      | open, isolated                 | run on  |
      | open, isolated                 | restart |
      | isolated, open                 | run on  |
      | open, isolated, open, isolated | run on  |
      | open, isolated, open, isolated | restart |
      | open, gone, isolated           | run on  |
      | isolated, gone, open, isolated | run on  |

  Scenario: A call that runs again after the change keeps to the new wall
    Given 3 routers before engines that keep what they have read
    When a customer becomes isolated while prompts run, and they run again
    Then no part is found across the wall

  Scenario: Open customers share what engines have read
    Given 3 routers before engines that keep what they have read
    When prompts come while a customer is open, isolated, and the routers run on
    Then open customers find the parts of each other

  Scenario: No part of the others is read again as a customer becomes isolated
    Given 3 routers before engines that keep what they have read
    When prompts come while a customer is open, isolated, and the routers run on
    Then what the others had read for themselves is found again
