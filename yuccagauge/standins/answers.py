"""The deterministic function from a request to the answer of an engine."""

import hashlib
import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

#: One token of a prompt is this many bytes of UTF-8.
TOKEN_BYTES = 4

#: Tokens in one block of the prefix cache.
BLOCK_TOKENS = 16

_BLOCK_BYTES = TOKEN_BYTES * BLOCK_TOKENS
_DIGEST_BYTES = 16
_SHORTEST_ANSWER = 16
_LENGTH_SPREAD = 32
_TOKEN_HEX_DIGITS = 5


@dataclass(frozen=True, slots=True, kw_only=True)
class ChatTurn:
    """One message of a prompt."""

    role: str
    content: str

    @property
    def text(self) -> str:
        """The text that the engine reads."""
        return f'<|{self.role}|>{self.content}'


def parse_turns(messages: Iterable[Mapping[str, str]]) -> tuple[ChatTurn, ...]:
    """Return the turns of a request's ``messages``.

    Raises
    ------
    KeyError, TypeError
        If a message has no role or content.
    """
    return tuple(
        ChatTurn(role=message['role'], content=message['content'])
        for message in messages
    )


def prompt_bytes(turns: Iterable[ChatTurn]) -> bytes:
    """Return the prompt, each turn padded to whole tokens."""
    parts: list[bytes] = []
    for turn in turns:
        encoded = turn.text.encode()
        parts.append(encoded + bytes(-len(encoded) % TOKEN_BYTES))
    return b''.join(parts)


def count_tokens(prompt: bytes) -> int:
    """Return the number of tokens of a padded prompt."""
    return len(prompt) // TOKEN_BYTES


def block_chain(scope: str, prompt: bytes) -> tuple[bytes, ...]:
    """Return the chained hashes of all full blocks of a prompt.

    Parameters
    ----------
    scope
        Salt and model; blocks of different scopes never match.
    prompt
        The padded prompt.
    """
    previous = _digest(scope.encode())
    chain: list[bytes] = []
    for start in range(0, len(prompt) - _BLOCK_BYTES + 1, _BLOCK_BYTES):
        previous = _digest(previous + prompt[start : start + _BLOCK_BYTES])
        chain.append(previous)
    return tuple(chain)


def answer_tokens(
    turns: Iterable[ChatTurn],
    *,
    seed: int,
    model: str,
    weights_version: str,
    max_tokens: int,
) -> tuple[str, ...]:
    """Return the tokens of the answer to a prompt.

    They depend on all arguments; ``max_tokens`` only cuts the answer.
    """
    parts = [seed, model, weights_version, [turn.text for turn in turns]]
    key = _digest(json.dumps(parts).encode())
    length = _SHORTEST_ANSWER + key[0] % _LENGTH_SPREAD
    return tuple(
        f'{_digest(key + index.to_bytes(2)).hex()[:_TOKEN_HEX_DIGITS]} '
        for index in range(min(length, max_tokens))
    )


def _digest(content: bytes) -> bytes:
    return hashlib.blake2b(content, digest_size=_DIGEST_BYTES).digest()
