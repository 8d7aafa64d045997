"""Metrics and log lines of the origins of streams."""

from yuccagauge.telemetry.journal import log_decision
from yuccagauge.telemetry.meter import counter

REPORTED = counter(
    'yuccagauge.origins.reported_streams',
    'Streams whose software version was reported to other routers.',
    '{stream}',
)
_RESUMPTIONS = counter(
    'yuccagauge.origins.resumptions',
    'Streams that callers took up, by what is known of their version.',
    '{request}',
)


def log_resumption(
    request_id: str,
    resumed_request_id: str,
    source: str,
    software_version: str | None,
) -> None:
    """Log which version a stream that a caller takes up goes on at.

    Parameters
    ----------
    source
        Where the version is known from, or why it is not.
    software_version
        ``None`` if the call is refused.
    """
    _RESUMPTIONS.add(1, {'source': source})
    log_decision(
        'stream_taken_up',
        request_id,
        resumes=resumed_request_id,
        source=source,
        software=software_version,
    )
