"""Routers before engines that keep the parts of prompts, in virtual time.

Engines find a part again under the same text only, after the same parts. The
configuration says which customers are isolated, and changes.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from twisted.internet.protocol import Protocol

from features.crash_fleet import CrashFleet
from features.crash_server import ServerProtocol, SimulatedServer
from features.engine_fleet import NoCacheEvents
from features.relay_fixture import configuration
from yuccagauge.clock import Millis

#: API key of each customer.
KEYS = {'anna': 'k1', 'ben': 'k2', 'cara': 'k3'}

_PART_TOKENS = 200


@dataclass(frozen=True, slots=True, kw_only=True)
class Read:
    """A shared part of a prompt that an engine needed."""

    at: Millis
    customer: str
    part: str
    #: The customer for whose request the engine had read the part; ``None`` if
    #: it reads the part now.
    made_by: str | None


class CachingEngine(SimulatedServer):
    """An engine that keeps each part that it has read."""

    def __init__(self, fleet: Any, number: int) -> None:
        """Create an engine that has read nothing."""
        super().__init__(fleet, number)
        #: Who had each part read, by the text and the parts up to it.
        self._made_by: dict[tuple[str, ...], str] = {}

    @property
    def is_silent(self) -> bool:
        """Whether it answers nothing for now."""
        return self._fleet.engines_are_silent

    def build_protocol(self) -> Protocol:
        """Return the engine's side of a new connection."""
        return _CachingProtocol(self)

    def entry_document(self) -> dict[str, Any]:
        """Return what the engine writes to the store."""
        return {
            **super().entry_document(),
            'service': 'model',
            'slots': 64,
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
        }

    def read_prompt(self, headers: Mapping[str, str]) -> None:
        """Find the shared parts of a prompt, and read those that it lacks."""
        customer = headers['x-yuccagauge-tenant']
        prefix = (headers['x-yuccagauge-cache-salt'],)
        *shared, _ = headers['x-yuccagauge-prefix-hash'].split(',')
        is_unbroken = True
        for entry in shared:
            prefix = (*prefix, entry)
            is_unbroken = is_unbroken and prefix in self._made_by
            made_by = self._made_by[prefix] if is_unbroken else None
            if made_by is None:
                self._made_by[prefix] = customer
            self._fleet.reads.append(
                Read(
                    at=self._fleet.clock.now(),
                    customer=customer,
                    part=entry.partition(':')[0],
                    made_by=made_by,
                )
            )


class _CachingProtocol(ServerProtocol):
    """A connection to an engine, for one request after the other."""

    def run_request(self, headers: dict[str, str], body: bytes) -> None:
        """Read the prompt, and answer at once unless engines are silent."""
        self._server.read_prompt(headers)
        if not self._server.is_silent:
            super().run_request(headers, body)


class WallFleet(CrashFleet):
    """Routers before engines that keep the parts of prompts."""

    server_type = CachingEngine
    cache_event_source = NoCacheEvents()

    def __init__(self, routers: int, servers: int, seed: int = 1) -> None:
        """Start a fleet whose customers are open."""
        self.reads: list[Read] = []
        self.engines_are_silent = False
        self._version = configuration()['version']
        super().__init__(routers, servers, seed)
        self.configure(dict.fromkeys(KEYS, False))

    def configure(self, isolated: Mapping[str, bool]) -> None:
        """Write a configuration with these customers.

        Parameters
        ----------
        isolated
            Whether each of the customers is isolated.
        """
        self._version += 1
        customers = [
            {'name': name, 'apiKeys': [KEYS[name]], 'isolated': is_isolated}
            for name, is_isolated in isolated.items()
        ]
        self.store.append_configuration(
            {
                **configuration(),
                'version': self._version,
                'tenants': customers,
            }
        )

    def send_prompt(self, customer: str, *parts: str) -> None:
        """Send a prompt with these parts, and one of its own, to any router."""
        own_part = f'{self.random.getrandbits(64):x}'
        prefix = ','.join(
            f'{part}:{_PART_TOKENS}' for part in (*parts, own_part)
        )
        tokens = _PART_TOKENS * (len(parts) + 1)
        headers = (
            f'X-Yuccagauge-Model: m\r\nX-Yuccagauge-Prefix-Hash: {prefix}\r\n'
            f'X-Yuccagauge-Token-Usage: {tokens},8\r\n'
        )
        name = self.random.choice(self.router_names)
        self.send(
            name, own_part.encode(), 'stream', headers, key=KEYS[customer]
        )
