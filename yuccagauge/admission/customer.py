"""The limits of one customer as one router holds them."""

from yuccagauge.admission.base import (
    TOO_MANY_REQUESTS,
    AdmissionRequest,
    refuse,
)
from yuccagauge.admission.bucket import TokenBucket
from yuccagauge.admission.demand import DemandMeter
from yuccagauge.clock import Millis
from yuccagauge.settings.document import CustomerSection
from yuccagauge.verdict import Refusal

#: Size of a bucket, as the time in which its rate fills it.
BURST_SECONDS = 1.0

#: Retry-After of a customer that has too many requests in flight, in ms.
CONCURRENCY_RETRY_MS = 500.0

#: Longest Retry-After, in ms, also of a limit of zero.
LONGEST_RETRY_MS = 60_000.0


class CustomerLimits:
    """Buckets and requests in flight of one customer.

    Parameters
    ----------
    section
        Limits over all routers.
    now
        Time at which the buckets are full.
    """

    __slots__ = (
        'demand',
        'in_flight',
        '_requests',
        '_section',
        '_share',
        '_tokens',
    )

    def __init__(self, section: CustomerSection, now: Millis) -> None:
        """Start with the whole limits; ``set_share`` cuts them down."""
        self.demand = DemandMeter()
        self.in_flight = 0
        self._section = section
        self._share = 1.0
        self._requests = TokenBucket(
            section.requests_per_second,
            section.requests_per_second * BURST_SECONDS,
            now,
        )
        self._tokens = TokenBucket(
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
        """Hold this share of the limits from now on."""
        self._section = section
        self._share = share
        requests = section.requests_per_second * share
        tokens = section.tokens_per_second * share
        burst = max(1.0, requests * BURST_SECONDS) if requests else 0
        self._requests.set_rate(requests, burst, now)
        self._tokens.set_rate(tokens, tokens * BURST_SECONDS, now)

    def refusal(
        self,
        request: AdmissionRequest,
        now: Millis,
    ) -> Refusal | None:
        """Return why the request is over a limit, or ``None``."""
        allowed = self._section.concurrent * self._share
        if self._section.concurrent:
            allowed = max(1.0, allowed)
        if self.in_flight + 1 > allowed:
            return refuse(
                TOO_MANY_REQUESTS,
                'too_many_in_flight',
                f'{request.customer} has too many requests in flight',
                CONCURRENCY_RETRY_MS,
            )
        wait = max(
            self._requests.wait_ms(1, now),
            self._tokens.wait_ms(request.prompt_tokens, now),
        )
        if wait > 0:
            return refuse(
                TOO_MANY_REQUESTS,
                'rate_limited',
                f'{request.customer} is over its rate limit',
                min(wait, LONGEST_RETRY_MS),
            )
        return None

    def take(self, request: AdmissionRequest, now: Millis) -> None:
        """Count an admitted request."""
        self.in_flight += 1
        self._requests.take(1, now)
        self._tokens.take(request.prompt_tokens, now)
