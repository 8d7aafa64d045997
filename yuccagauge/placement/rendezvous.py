"""Policy that hashes the first prefix level to an engine."""

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
    """Sends prompts with the same first level to the same engine.

    Uses rendezvous hashing and ignores load.
    """

    name = 'rendezvous'

    def place_request(self, request: PlacementRequest, now: Millis) -> Decision:
        """Return the engines in rendezvous order of the first level."""
        levels = request.prefix.levels
        digest = levels[0].digest if levels else b''
        ranked = sorted(
            self._eligible_engines(request, now),
            key=lambda engine: _weight(digest, engine),
            reverse=True,
        )
        return self._build_decision(request, ranked[:MAXIMUM_CANDIDATES], now)


def _weight(digest: bytes, engine: EngineKey) -> bytes:
    name = str(engine).encode()
    return hashlib.blake2b(name, key=digest, digest_size=8).digest()
