Feature: Explaining a request by the logs
  On-call engineers have only the logs; one command follows a request through them.

  Scenario: The lines of a request come with what happened around it
    When the request "r1" is explained by the sample log
    Then the explanation has the lines in order
      | line                                                    |
      | * router-1 call_sent: send=1 server=i-1 cached_tokens=0 |
      |   router-1 weights_ordered: server=i-1 version=2        |
      |   router-1 server_silent: server=i-1                    |
      |   router-2 server_told_silent: server=i-1 peer=router-1 |
      | * router-1 attempt_failed: server=i-1 ending=broke      |
      | * router-1 call_ended: outcome=server_broke status=502  |
    And the explanation has no line of "i-2"

  Scenario: Lines that no router wrote are passed over
    When the request "r2" is explained by the sample log
    Then the explanation has the lines in order
      | line                                                   |
      | * router-2 call_refused: code=no_configuration         |

  Scenario: A request that no line names is said so
    Then explaining the request "r9" by the sample log fails with "no line names the request 'r9'"
