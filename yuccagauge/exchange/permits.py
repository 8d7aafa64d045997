"""Reserves permits for servers with a rate limit at the home of each."""

from collections.abc import Callable
from typing import Any

from twisted.python.failure import Failure

from yuccagauge.clock import Clock, Millis
from yuccagauge.exchange.homes import ServerHomes
from yuccagauge.exchange.merger import MessageMerger
from yuccagauge.exchange.parts import MAXIMUM_NUMBER, limit_report, rate_milli
from yuccagauge.ratelimit.limits import MAXIMUM_MESSAGE_DELAY, ServerLimits
from yuccagauge.ratelimit.permits import Permits
from yuccagauge.ratelimit.schedule import (
    PermitGrant,
    PermitSchedule,
    interval_ms,
)
from yuccagauge.settings.options import Endpoint
from yuccagauge.telemetry.journal import log_state_change
from yuccagauge.wire.base import Received
from yuccagauge.wire.client import PeerClient
from yuccagauge.wire.errors import PeerFailedError, PeerUnavailableError
from yuccagauge.wire.fleetmessages import PermitReply, PermitRequest

#: Time after a router becomes the home of a server in which it grants nothing.
#: The previous home, or a permit of it, may still be in use.
HANDOVER_PAUSE = Millis(2000)

#: Age of a limit below which no other router can have granted permits.
NEW_LIMIT_AGE = Millis(1000)

#: Time after which a router that reached no home asks again.
RETRY_PAUSE = Millis(300)

_US_PER_MS = 1000

#: Largest number of permits that one message asks for.
MAXIMUM_COUNT = 10_000


class PermitBroker:
    """Asks the homes of servers for permits, and grants them as a home.

    The first router of the rendezvous ranking is the home of a server. It
    grants the part of the limit that corresponds to the routers that it knows
    to live, of those that it knew lately: routers that it cannot reach may
    have a home of their own.

    Parameters
    ----------
    name
        Name of this router.
    merger
        Knows the other routers.
    limits, permits
        What this router knows of limits, and its permits.
    client
        Opens connections with other routers.
    clock
        The source of time.
    expected_peers
        Number of other routers that exist at least.
    random_fraction
        Returns a random number from 0 to 1.
    """

    def __init__(
        self,
        name: str,
        *,
        merger: MessageMerger,
        limits: ServerLimits,
        permits: Permits,
        client: PeerClient,
        clock: Clock,
        expected_peers: int,
        random_fraction: Callable[[], float],
    ) -> None:
        """Create a broker that answers nothing yet."""
        self._name = name
        self._merger = merger
        self._limits = limits
        self._permits = permits
        self._client = client
        self._clock = clock
        self._expected_peers = expected_peers
        self._random_fraction = random_fraction
        self._started_at = clock.now()
        #: The schedules of the servers whose home this router is.
        self._schedules: dict[str, PermitSchedule] = {}
        self._lost_homes: set[Endpoint] = set()
        self._homes = ServerHomes(name, merger, 'permits')

    def start(self) -> None:
        """Begin to ask."""
        self._started_at = self._clock.now()
        self._permits.on_request = self.request

    def request(self, server_id: str, count: int, within: Millis) -> None:
        """Ask the home of a server for permits."""
        now = self._clock.now()
        home = self._homes.home_of(server_id)
        if home is None:
            grant = self._reserve(server_id, count, within, now)
            self._permits.record_grant(server_id, grant, now)
            return
        report = self._limits.report_of(server_id, now)
        reply = self._client.request(
            home,
            PermitRequest(
                server=server_id,
                count=count,
                within_ms=max(0, within),
                rate_milli=rate_milli(report.per_second),
                age_ms=report.age,
            ),
            MAXIMUM_MESSAGE_DELAY,
        )
        reply.addCallbacks(
            self._handle_reply,
            self._handle_no_reply,
            callbackArgs=(server_id, home),
            errbackArgs=(server_id, home),
        )

    def drop_obsolete(self) -> None:
        """Drop permits and schedules that are of no use any longer."""
        self._permits.drop_unlimited()
        self._homes.keep(self._is_limited)
        self._schedules = {
            server_id: schedule
            for server_id, schedule in self._schedules.items()
            if self._is_limited(server_id)
            and self._homes.home_of(server_id) is None
        }

    def _is_limited(self, server_id: str) -> bool:
        return self._limits.limit_of(server_id) is not None

    def _reserve(
        self, server_id: str, count: int, within: Millis, now: Millis
    ) -> PermitGrant:
        """Reserve permits at this router, the home of the server."""
        limit = self._limits.limit_of(server_id)
        if limit is None:
            return PermitGrant(count=count, wait=Millis(0))
        members = self._merger.members
        share = members.live_share(self._expected_peers, now)
        schedule = self._schedules.get(server_id)
        if schedule is None:
            first_at = self._first_at(server_id, limit * share, now)
            if share < 1:
                first_at += self._random_fraction() * interval_ms(limit * share)
            schedule = PermitSchedule(first_at)
            self._schedules[server_id] = schedule
        return schedule.reserve(limit, count, within, now, share=share)

    def _first_at(self, server_id: str, limit: float, now: Millis) -> float:
        """Return when a new home may grant its first permit."""
        changed_at = self._limits.changed_at(server_id)
        is_new_limit = now - changed_at < NEW_LIMIT_AGE
        is_old_router = changed_at - self._started_at > HANDOVER_PAUSE
        if is_new_limit and is_old_router:
            return now + interval_ms(limit)
        return now + HANDOVER_PAUSE

    def handle_request(self, received: Received) -> PermitReply:
        """Grant permits to another router, if this one is the home."""
        message = received.message
        now = self._clock.now()
        server_id = message.server
        if message.rate_milli:
            self._limits.merge_report(
                limit_report(message), received.sender, now
            )
        if self._homes.home_of(server_id) is not None:
            self._schedules.pop(server_id, None)
            return PermitReply(count=0, wait_ms=RETRY_PAUSE)
        count = max(1, min(message.count, MAXIMUM_COUNT))
        within = Millis(message.within_ms)
        grant = self._reserve(server_id, count, within, now)
        interval_us = round(grant.interval_ms * _US_PER_MS)
        return PermitReply(
            count=grant.count,
            wait_ms=grant.wait,
            interval_us=min(interval_us, MAXIMUM_NUMBER),
        )

    def _handle_reply(self, reply: Any, server_id: str, home: Endpoint) -> None:
        if home in self._lost_homes:
            self._lost_homes.discard(home)
            log_state_change('permit_home_reached', home=home)
        grant = PermitGrant(
            count=min(reply.count, MAXIMUM_COUNT),
            wait=Millis(reply.wait_ms),
            interval_ms=reply.interval_us / _US_PER_MS,
        )
        self._permits.record_grant(server_id, grant, self._clock.now())

    def _handle_no_reply(
        self, failure: Failure, server_id: str, home: Endpoint
    ) -> None:
        """Wait before the next request; another home may be known by then."""
        failure.trap(PeerUnavailableError, PeerFailedError)
        self._client.drop(home)
        if home not in self._lost_homes:
            self._lost_homes.add(home)
            log_state_change(
                'permit_home_lost',
                home=home,
                server=server_id,
                reason=failure.getErrorMessage(),
            )
        self._permits.record_failure(server_id, RETRY_PAUSE, self._clock.now())
