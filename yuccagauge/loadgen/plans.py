"""Planned requests."""

import hashlib
import uuid
from dataclasses import dataclass
from typing import Any

from yuccagauge.clock import Millis
from yuccagauge.standins.answers import (
    ChatTurn,
    answer_tokens,
    prompt_bytes,
)

#: Random bits of a UUIDv7, above and below its variant.
RANDOM_A_BITS = 12
RANDOM_B_BITS = 62

_UUID_VERSION = 7
_UUID_VARIANT = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class ChatPlan:
    """A streamed request to a model."""

    number: int
    at: Millis
    customer: str
    model: str
    turns: tuple[ChatTurn, ...]
    seed: int
    max_tokens: int

    @property
    def body(self) -> dict[str, Any]:
        """The body of the request."""
        return {
            'model': self.model,
            'stream': True,
            'stream_options': {'include_usage': True},
            'seed': self.seed,
            'max_tokens': self.max_tokens,
            'messages': [
                {'role': turn.role, 'content': turn.content}
                for turn in self.turns
            ],
        }

    @property
    def prompt_sha256(self) -> str:
        """The digest by which engines record the prompt."""
        return hashlib.sha256(prompt_bytes(self.turns)).hexdigest()

    def answer(self, weights_version: str) -> str:
        """Return the only right answer."""
        tokens = answer_tokens(
            self.turns,
            seed=self.seed,
            model=self.model,
            weights_version=weights_version,
            max_tokens=self.max_tokens,
        )
        return ''.join(tokens)


@dataclass(frozen=True, slots=True, kw_only=True)
class CallPlan:
    """A call of a plain service that must not run twice."""

    number: int
    at: Millis
    customer: str
    service: str
    path: str
    body: bytes
    #: The random bits of the idempotency key.
    key_bits: int
    #: When each copy is sent, after the time of the plan, in milliseconds.
    copies: tuple[Millis, ...]

    @property
    def body_sha256(self) -> str:
        """The digest by which plain services record the body."""
        return hashlib.sha256(self.body).hexdigest()

    def key(self, started: Millis) -> str:
        """Return the UUIDv7 of a plan that started at a wall time, in ms."""
        high = self.key_bits >> RANDOM_B_BITS
        low = self.key_bits & ((1 << RANDOM_B_BITS) - 1)
        number = (started + self.at) << 80
        number |= _UUID_VERSION << 76 | high << 64
        number |= _UUID_VARIANT << 62 | low
        return str(uuid.UUID(int=number))


Plan = ChatPlan | CallPlan
