"""What servers state about themselves in their answers."""

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from itertools import islice
from typing import Any

from yuccagauge.clock import Millis
from yuccagauge.directory.base import BackendServer, ServerState
from yuccagauge.relay.base import ResponseInfo
from yuccagauge.selection.starts import StatedStarts
from yuccagauge.settings.options import Endpoint
from yuccagauge.telemetry.journal import log_state_change

#: Servers whose statements are stored; the oldest is dropped first.
MAXIMUM_SERVERS = 10_000

#: Time after a server has said that it leaves within which its entry says so too,
#: or is removed.
_ENTRY_TIME = Millis(3000)


@dataclass(frozen=True, slots=True, kw_only=True)
class LeavingNotice:
    """What a server has said that leaves."""

    server_id: str
    #: Unix time of its start, in ms; 0 if it is not known.
    started_at: int
    #: When it last said so.
    known_at: Millis


@dataclass(frozen=True, slots=True, kw_only=True)
class _Refusal:
    """What a server has said that wants no call for some time."""

    #: Unix time of its start, in ms; 0 if it is not known.
    started_at: int
    until: Millis


class ServerStatements:
    """Tells which servers leave, and which want no call for some time.

    Load pattern: an engine is emptied before it ends, or is overloaded. Its
    entry in the store is still that of a ready server, or arrives late, and the
    calls that are sent to it meanwhile are lost or rejected.
    """

    def __init__(self) -> None:
        """Start without statements."""
        #: The notice of each server that leaves.
        self._leaving: OrderedDict[str, LeavingNotice] = OrderedDict()
        #: When each server was asked that said later that it does not leave.
        self._serving_at: OrderedDict[str, Millis] = OrderedDict()
        #: Which servers want no call for some time.
        self._refusals: OrderedDict[str, _Refusal] = OrderedDict()
        #: The starts that servers have stated.
        self.starts = StatedStarts()

    def record(
        self, server: BackendServer, info: ResponseInfo, now: Millis
    ) -> None:
        """Record the statements of an answer of a server."""
        if info.is_leaving:
            started_at = self.starts.of(server)
            self.record_leaving(server.server_id, started_at, now)
        if info.retry_after is not None:
            until = Millis(now + info.retry_after)
            latest = max(until, self.refused_until(server))
            refusal = _Refusal(started_at=self.starts.of(server), until=latest)
            _store(self._refusals, server.server_id, refusal)
            log_state_change(
                'server_refuses_calls',
                server=server.server_id,
                duration_ms=info.retry_after,
            )
        if info.malformed_retry_after:
            log_state_change(
                'retry_after_unreadable',
                server=server.server_id,
                value=info.malformed_retry_after[:40],
            )

    def record_answer(
        self,
        servers: Iterable[BackendServer],
        endpoint: Endpoint,
        info: ResponseInfo,
        now: Millis,
    ) -> None:
        """Record the statements of a server that answered the router itself."""
        for server in servers:
            if server.endpoint == endpoint:
                self.record(server, info, now)

    def record_leaving(
        self, server_id: str, started_at: int, known_at: Millis
    ) -> None:
        """Record that a server leaves, by its own answer or that of a peer."""
        serving_at = self._serving_at.get(server_id)
        if serving_at is not None and known_at <= serving_at:
            return
        notice = LeavingNotice(
            server_id=server_id, started_at=started_at, known_at=known_at
        )
        known = self._leaving.get(server_id)
        if known is None or known.started_at < started_at:
            _store(self._leaving, server_id, notice)
            log_state_change(
                'server_leaves', server=server_id, started_at=started_at
            )
        elif known.started_at == started_at and known.known_at < known_at:
            self._leaving[server_id] = notice

    def record_undated(
        self, server_id: str, started_at: int, now: Millis
    ) -> None:
        """Record that a server leaves, as a peer tells that dates nothing."""
        known = self._leaving.get(server_id)
        is_newer = known is None or known.started_at < started_at
        if is_newer and server_id not in self._serving_at:
            self.record_leaving(server_id, started_at, now)

    def record_serving(self, server_id: str, asked_at: Millis) -> None:
        """Record that a server has said that it does not leave.

        Parameters
        ----------
        asked_at
            When it was asked. What it said before, the process before has said.
        """
        known = self._leaving.get(server_id)
        if known is None or known.known_at >= asked_at:
            return
        self._leaving.pop(server_id)
        _store(self._serving_at, server_id, asked_at)
        log_state_change(
            'server_leaves_no_more',
            server=server_id,
            started_at=known.started_at,
            notice_age_ms=asked_at - known.known_at,
        )

    def is_leaving(self, server: BackendServer) -> bool:
        """Return whether a server leaves.

        Nothing ends that but a new start, or that the server says otherwise. An
        entry of the store that still calls the server ready may have been
        written before.
        """
        notice = self._leaving.get(server.server_id)
        return notice is not None and server.started_at <= notice.started_at

    def doubtful(
        self, servers: Mapping[str, BackendServer], now: Millis
    ) -> tuple[BackendServer, ...]:
        """Return the servers that may have started again since they left.

        Load pattern: engines that state no start leave and start again under
        their ids. Their entries stay those of ready servers, or become so again,
        while a server that still leaves has another entry, or none.
        """
        return tuple(
            server
            for notice in self._leaving.values()
            if now - notice.known_at >= _ENTRY_TIME
            and (server := servers.get(notice.server_id)) is not None
            and server.state is ServerState.READY
            and self.is_leaving(server)
        )

    def refused_until(self, server: BackendServer) -> Millis:
        """Return the time before which a server wants no call.

        That it has said so holds until its entry states another start.
        """
        refusal = self._refusals.get(server.server_id)
        if refusal is None or refusal.started_at != self.starts.of(server):
            return Millis(0)
        return refusal.until

    def leaving(self, limit: int) -> tuple[LeavingNotice, ...]:
        """Return the notices of the latest servers that leave."""
        return tuple(islice(reversed(self._leaving.values()), limit))


def _store(stored: OrderedDict[str, Any], name: str, value: Any) -> None:
    stored[name] = value
    stored.move_to_end(name)
    if len(stored) > MAXIMUM_SERVERS:
        stored.popitem(last=False)
