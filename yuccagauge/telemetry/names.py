"""Names of the metrics that the semantic conventions define."""

from opentelemetry.semconv._incubating.metrics import gen_ai_metrics
from opentelemetry.semconv.metrics import http_metrics

#: Duration of a caller's request, in seconds.
REQUEST_DURATION = http_metrics.HTTP_SERVER_REQUEST_DURATION

#: Time from the request to the first token, in seconds.
TIME_TO_FIRST_TOKEN = gen_ai_metrics.GEN_AI_SERVER_TIME_TO_FIRST_TOKEN

#: Mean time between the tokens of one answer, in seconds.
TIME_PER_OUTPUT_TOKEN = gen_ai_metrics.GEN_AI_SERVER_TIME_PER_OUTPUT_TOKEN
