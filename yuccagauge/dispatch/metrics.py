"""Metrics of the path to the backend servers."""

from yuccagauge.telemetry.meter import counter, histogram
from yuccagauge.telemetry.names import TIME_TO_FIRST_TOKEN

ATTEMPTS = counter(
    'yuccagauge.attempts',
    'Attempts on backend servers by kind and ending.',
    '{attempt}',
)
RETRIES = counter(
    'yuccagauge.retries',
    'Retries asked of the retry budget.',
    '{retry}',
)
HEDGES = counter(
    'yuccagauge.hedges',
    'Second attempts beside a slow first one.',
    '{attempt}',
)
CALLERS_LEFT = counter(
    'yuccagauge.callers_left',
    'Calls whose caller closed its connection.',
    '{request}',
)
VERDICTS = counter(
    'yuccagauge.verdicts',
    'Calls by final verdict.',
    '{request}',
)
FIRST_TOKEN = histogram(
    TIME_TO_FIRST_TOKEN,
    'Time from the request to the first token.',
    's',
)
PROMPT_TOKENS = counter(
    'yuccagauge.prompt_tokens',
    'Prompt tokens by whether the engine had them cached.',
    '{token}',
)
