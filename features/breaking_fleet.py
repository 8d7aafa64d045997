"""Engines that end in turn while they stream, in virtual time."""

from collections import Counter

from features.upgrade_fleet import UpgradedEngine, UpgradeFleet

_ROUTERS = 3
_ENGINES = 4
_STREAMS_PER_S = 12

#: Time from the start of an engine to its entry, and for which one is down.
_ENTRY_S = 0.1
_DOWN_S = 1.0

#: Time until the routers know the engines, and for the last streams to end.
_SETTLE_S = 3.0
_END_S = 5.0


class _BreakingEngine(UpgradedEngine):
    """An engine that notes which streams it has got."""

    @property
    def process(self) -> str:
        """What tells its process from all others."""
        return f'{self.server_id}/{self._starts}'

    def record_arrival(self, request_id: str) -> None:
        """Note that the process has a stream."""
        super().record_arrival(request_id)
        self._fleet.runs[request_id] += 1
        stream = self._fleet.streams_by_request[request_id]
        stream.process = self.process


class BreakingFleet(UpgradeFleet):
    """Routers before engines of which one ends every second.

    Parameters
    ----------
    slack
        Second sends that the routers may have besides their share.
    seed
        Determines all random choices.
    """

    server_type = _BreakingEngine

    def __init__(self, slack: int, seed: int) -> None:
        """Start a fleet whose engines keep their version."""
        self._slack = slack
        #: How many engines have got each request, by its id.
        self.runs: Counter[str] = Counter()
        super().__init__(_ROUTERS, _ENGINES, _ENTRY_S, seed)
        self.down_s = _DOWN_S
        self.has_own_bodies = True

    def more_settings(self) -> dict[str, dict[str, str]]:
        """Return the budget of the routers."""
        return {'retries': {'slack': str(self._slack)}}

    def play(self, seconds: int) -> None:
        """Send streams while one engine ends every second."""
        self.run(_SETTLE_S)
        call_later = self.network.reactor.callLater
        for number in range(seconds * _STREAMS_PER_S):
            call_later(number / _STREAMS_PER_S, self.begin_stream)
        for second in range(seconds):
            engine = self.servers[second % _ENGINES]
            call_later(second + 0.5, engine.end)
        self.run(seconds + _END_S)

    def _install(self, engine: _BreakingEngine) -> None:
        """Note the streams of an engine that has ended; keep its version."""
        for stream in self.streams:
            if stream.process == engine.process and not stream.is_complete:
                stream.ended_processes.add(stream.process)
