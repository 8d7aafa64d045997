Feature: Calls that are under way while their router is paused
  A router that was paused has heard nothing from any server. That says nothing
  about the servers, which have answered meanwhile.

  Scenario: A call is not sent to another server because its router was paused
    Given 3 routers before 4 engines, disturbed by nothing
    When 20 prompts are under way at a router that is paused for 1.2 s
    Then each of them has reached one engine, and is answered

  Scenario: A call whose server is gone after the pause goes on at another one
    Given 3 routers before 4 engines, disturbed by nothing
    When 20 prompts are under way at a router that is paused for 0.3 s while an engine loses power
    Then each of them is begun within 1.2 s after the pause
