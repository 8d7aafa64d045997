"""Metrics of the relay."""

from yuccagauge.telemetry.meter import counter, histogram

CALLS = counter(
    'yuccagauge.relay.calls',
    'Calls by route kind and outcome.',
    '{request}',
)
SENDS = counter(
    'yuccagauge.relay.sends',
    'Attempts handed to backend servers, by service and ending.',
    '{attempt}',
)
FIRST_OUTPUT = histogram(
    'yuccagauge.relay.first_output.duration',
    'Time from the request to the first byte of its answer.',
    's',
)
CALL_DURATION = histogram(
    'yuccagauge.relay.call.duration',
    'Time from the request to the end of its answer.',
    's',
)
END_CHECKS = counter(
    'yuccagauge.relay.end_checks',
    'Answers that ended with their connection, by what proved them whole.',
    '{answer}',
)
SUPERSEDED_AGE = histogram(
    'yuccagauge.relay.superseded_weights.age',
    'Time since newer weights were named, of answers that began on older ones.',
    's',
)
CACHED_TOKENS = counter(
    'yuccagauge.relay.cached_tokens',
    'Prompt tokens of placed calls, by whether they were expected in a cache.',
    '{token}',
)
