"""A router's share of the limits of one customer."""

from yuccagauge.admission.base import (
    TOO_MANY_REQUESTS,
    AdmissionRequest,
    build_refusal,
)
from yuccagauge.admission.bucket import TokenBucket
from yuccagauge.admission.demand import DemandMeter
from yuccagauge.clock import Millis
from yuccagauge.settings.document import CustomerSection
from yuccagauge.verdict import Refusal

#: Size of a bucket, as the time in which its rate refills it, in seconds.
BURST_SECONDS = 1.0

#: Retry delay for a customer with too many requests in flight, in ms.
CONCURRENCY_RETRY_MS = 500.0

#: Longest retry delay, in ms; a rate limit of zero also gets this one.
MAXIMUM_RETRY_MS = 60_000.0


class CustomerLimits:
    """Token buckets and requests in flight of one customer.

    Parameters
    ----------
    section
        Limits of the customer over all routers together.
    now
        Current time; the buckets are full at this time.
    """

    __slots__ = (
        'demand',
        'in_flight',
        '_request_bucket',
        '_section',
        '_share',
        '_token_bucket',
    )

    def __init__(self, section: CustomerSection, now: Millis) -> None:
        """Create full buckets, sized for the whole limits."""
        self.demand = DemandMeter()
        self.in_flight = 0
        self._section = section
        self._share = 1.0
        self._request_bucket = TokenBucket(
            section.requests_per_second,
            section.requests_per_second * BURST_SECONDS,
            now,
        )
        self._token_bucket = TokenBucket(
            section.tokens_per_second,
            section.tokens_per_second * BURST_SECONDS,
            now,
        )

    def set_share(
        self,
        section: CustomerSection,
        share: float,
        now: Millis,
    ) -> None:
        """Set the limits to this router's share of those in ``section``."""
        self._section = section
        self._share = share
        requests = section.requests_per_second * share
        tokens = section.tokens_per_second * share
        burst = max(1.0, requests * BURST_SECONDS) if requests else 0
        self._request_bucket.set_rate(requests, burst, now)
        self._token_bucket.set_rate(tokens, tokens * BURST_SECONDS, now)

    def check_request(
        self,
        request: AdmissionRequest,
        now: Millis,
    ) -> Refusal | None:
        """Return a refusal if the request exceeds a limit, else ``None``."""
        limit = self._section.concurrent * self._share
        if self._section.concurrent:
            limit = max(1.0, limit)
        if self.in_flight + 1 > limit:
            return build_refusal(
                TOO_MANY_REQUESTS,
                'too_many_in_flight',
                f'{request.customer} has too many requests in flight',
                CONCURRENCY_RETRY_MS,
            )
        wait = max(
            self._request_bucket.wait_ms(1, now),
            self._token_bucket.wait_ms(request.prompt_tokens, now),
        )
        if wait > 0:
            return build_refusal(
                TOO_MANY_REQUESTS,
                'rate_limited',
                f'{request.customer} is over its rate limit',
                min(wait, MAXIMUM_RETRY_MS),
            )
        return None

    def record_admitted(self, request: AdmissionRequest, now: Millis) -> None:
        """Count an admitted request against the limits."""
        self.in_flight += 1
        self._request_bucket.consume(1, now)
        self._token_bucket.consume(request.prompt_tokens, now)
