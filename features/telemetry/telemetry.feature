Feature: Telemetry
  Metrics follow the semantic conventions; log lines carry no caller's data.

  Scenario: Metrics are rendered in the Prometheus format without a thread
    Given a telemetry counter "yuccagauge.test.calls" in "{call}"
    When the telemetry counter adds 2 for customer "namport"
    Then the telemetry text has "yuccagauge_test_calls_total{customer="namport"} 2.0"
    And telemetry started no thread

  Scenario Outline: A metric against the conventions is refused
    Then the telemetry metric "<name>" in "<unit>" is refused

    Examples:
      | name           | unit      |
      | Requests.Total | {request} |
      | requests       | {request} |
      | a.requests     | requests  |

  Scenario: A state change is one JSON object on one line
    When telemetry logs "member_dead" with name "router-1" and count 3
    Then the telemetry line is JSON with event "member_dead", name "router-1" and count 3

  Scenario Outline: A field that could carry a caller's data is refused
    Then telemetry refuses to log "<field>" as "<value>"

    Examples:
      | field             | value              |
      | prompt            | Is Amupolo free?   |
      | last_answer       | yes                |
      | customer_token    | abc                |
      | request_body      | {}                 |
      | reason            | Bearer sk-12345    |
      | time              | noon               |
