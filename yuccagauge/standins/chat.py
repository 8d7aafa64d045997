"""Parse a chat completion request as an engine receives it."""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from yuccagauge.standins.answers import (
    BLOCK_TOKENS,
    ChatTurn,
    answer_tokens,
    block_chain,
    count_tokens,
    parse_turns,
    prompt_bytes,
)
from yuccagauge.standins.base import BadRequestError
from yuccagauge.standins.batch import Sequence

_DEFAULT_MAXIMUM_TOKENS = 64
_DEFAULT_PRIORITY = 5


@dataclass(frozen=True, slots=True, kw_only=True)
class ChatRequest:
    """A checked request."""

    request_id: str
    model: str
    turns: tuple[ChatTurn, ...]
    cache_salt: str
    levels: tuple[tuple[str, int], ...]
    priority: int
    max_tokens: int
    seed: int
    customer: str
    adapter: str

    @property
    def sha256(self) -> str:
        """The digest of the prompt, for records."""
        return hashlib.sha256(prompt_bytes(self.turns)).hexdigest()

    def contains(self, text: str) -> bool:
        """Whether a text occurs in the prompt."""
        return any(text in turn.content for turn in self.turns)

    def sequence(self, weights_version: str) -> Sequence:
        """Return the work that the request is for an engine."""
        prompt = prompt_bytes(self.turns)
        scope = f'{self.cache_salt}\n{self.model}\n{weights_version}'
        return Sequence(
            request_id=self.request_id,
            priority=self.priority,
            prompt_tokens=count_tokens(prompt),
            answer=answer_tokens(
                self.turns,
                seed=self.seed,
                model=self.model,
                weights_version=weights_version,
                max_tokens=self.max_tokens,
            ),
            chain=block_chain(scope, prompt),
            levels=self.levels,
        )


def parse_chat(document: Mapping[str, Any]) -> ChatRequest:
    """Check the body of a request.

    Raises
    ------
    BadRequestError
        If a field is missing or of the wrong type.
    """
    if document.get('stream') is not True:
        raise BadRequestError('stream must be true')
    try:
        return _build(document)
    except (KeyError, TypeError, ValueError) as error:
        raise BadRequestError(f'bad field: {error!r}') from None


def level_blocks(tokens: int) -> int:
    """Return the number of full blocks in a level."""
    return tokens // BLOCK_TOKENS


def _build(document: Mapping[str, Any]) -> ChatRequest:
    maximum = document.get('max_tokens')
    if maximum is None:
        maximum = document.get('max_completion_tokens')
    return ChatRequest(
        request_id=str(document['request_id']),
        model=str(document['model']),
        turns=parse_turns(document['messages']),
        cache_salt=str(document.get('cache_salt') or ''),
        levels=tuple(
            (str(level['digest']), int(level['tokens']))
            for level in document.get('prefix_levels') or ()
        ),
        priority=int(document.get('priority', _DEFAULT_PRIORITY)),
        max_tokens=max(int(maximum or _DEFAULT_MAXIMUM_TOKENS), 1),
        seed=int(document.get('seed') or 0),
        customer=str(document.get('customer') or ''),
        adapter=str(document.get('adapter') or ''),
    )
