Feature: Servers that want no call from a VM for some time
  A server that turns a call away may state a time. It means the VM that the call
  came from, which may be a router that carries it for another one.

  Scenario Outline: A server gets no call from a VM that it told to wait, nor one that is carried
    Given <routers> routers before servers that in turn want no call for <wait> s
    And <choice> of them are partitioned from all servers, <face>
    When <rate> first attempts a second come for 16 s
    Then no server gets more than two calls from a VM that it told to wait
    And no request runs twice that may run once, or though it was refused
    And each request that was read whole is answered or refused

    Examples:
      | routers | choice | face    | wait | rate |
      | 5       | 0      | silent  | 2    | 60   |
      | 5       | 2      | silent  | 2    | 60   |
      | 8       | 5      | silent  | 2    | 60   |
      | 8       | 5      | reset   | 2    | 60   |
      | 8       | 5      | refused | 2    | 60   |
      | 8       | 6      | reset   | 3    | 90   |
