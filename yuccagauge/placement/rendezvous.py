"""Rendezvous hashing on the first level."""

import hashlib

from yuccagauge.clock import Millis
from yuccagauge.load.base import EngineKey
from yuccagauge.placement.base import (
    MAXIMUM_CANDIDATES,
    Decision,
    PlacementPolicy,
    PlacementRequest,
    placement_policies,
)


@placement_policies.register
class RendezvousPolicy(PlacementPolicy):
    """Sends each first level to one engine, whatever the load."""

    name = 'rendezvous'

    def place_request(self, request: PlacementRequest, now: Millis) -> Decision:
        """Return the engines in rendezvous order of the first level."""
        levels = request.prefix.levels
        digest = levels[0].digest if levels else b''
        ranked = sorted(
            self._usable(request, now),
            key=lambda engine: _weight(digest, engine),
            reverse=True,
        )
        return self._decide(request, ranked[:MAXIMUM_CANDIDATES], now)


def _weight(digest: bytes, engine: EngineKey) -> bytes:
    name = str(engine).encode()
    return hashlib.blake2b(name, key=digest, digest_size=8).digest()
