"""Profiles of users, which plan their traffic and their documents."""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass
from random import Random
from typing import ClassVar

from yuccagauge.clock import Millis
from yuccagauge.errors import NotFoundError
from yuccagauge.loadgen.plans import (
    RANDOM_A_BITS,
    RANDOM_B_BITS,
    CallPlan,
    ChatPlan,
    Plan,
)
from yuccagauge.registry import Registry
from yuccagauge.settings.options import Endpoint
from yuccagauge.settings.reader import RawSections
from yuccagauge.standins.answers import ChatTurn

_RANDOM_A_BITS = 12
_RANDOM_B_BITS = 62
_UUID_VERSION = 7
_UUID_VARIANT = 2
#: Most callers send once; some repeat at once, or after losing patience.
_COPIES = (
    (Millis(0),),
    (Millis(0),),
    (Millis(0),),
    (Millis(0),),
    (Millis(0), Millis(0)),
    (Millis(0), Millis(400)),
    (Millis(0), Millis(2500)),
)
_WORDS = tuple(
    'dock shift crane berth pallet night crew line treaty clause ceded '
    'premium claim share layer limit stamp gate lorry cold clerk ledger'.split()
)


class ProfileNotFoundError(NotFoundError):
    """No traffic profile has this name."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Volume:
    """How much traffic is planned."""

    requests: int
    duration: Millis


class Profile:
    """The traffic of one user.

    Parameters
    ----------
    seed
        Decides everything about the traffic.
    """

    name: ClassVar[str] = ''
    aliases: ClassVar[tuple[str, ...]] = ()
    #: Names of the two services and of the model.
    model_service: ClassVar[str] = ''
    plain_service: ClassVar[str] = ''
    model: ClassVar[str] = ''
    #: The call of the plain service that must not run twice.
    plain_path: ClassVar[str] = ''
    customers: ClassVar[tuple[str, ...]] = ()
    #: Share of plain calls.
    plain_share: ClassVar[float] = 0.15
    #: Tokens of the two shared levels of a prompt.
    file_tokens: ClassVar[int] = 0
    person_tokens: ClassVar[int] = 0
    #: Distinct values of the two levels for each customer.
    files: ClassVar[int] = 0
    persons: ClassVar[int] = 0

    def __init__(self, seed: int) -> None:
        """Start the random stream."""
        self._seed = seed
        self._random = Random(f'{self.name}/{seed}')
        self._texts: dict[str, str] = {}

    def plans(self, volume: Volume) -> list[Plan]:
        """Return all requests in the order of their times."""
        times = self.times(volume)
        return [self._plan(number, at) for number, at in enumerate(times)]

    def times(self, volume: Volume) -> list[Millis]:
        """Return the sending times, from 0 to the duration."""
        uniform = (self._random.random() for _ in range(volume.requests))
        return sorted(Millis(int(one * volume.duration)) for one in uniform)

    def question(self, number: int) -> str:
        """Return the last message of a prompt; no two are equal."""
        raise NotImplementedError

    def documents(
        self,
        engines: Mapping[Endpoint, str],
        servers: Mapping[Endpoint, str],
        weights_version: str,
    ) -> dict[str, RawSections]:
        """Return the documents of both services by name.

        Parameters
        ----------
        engines, servers
            Backend servers of the two services and their data centres.
        weights_version
            Version of the weights of the model.
        """
        model = {
            'service': self._service_section(self.model_service, 'model'),
            f'model {self.model}': {'weights_version': weights_version},
            'objective first-token': {'time_to_first_token_ms': '620'},
            **self._shared_sections(engines),
        }
        plain = {
            'service': self._service_section(self.plain_service, 'plain'),
            f'route POST {self.plain_path}': {'idempotent': 'no'},
            'objective answered': {'target': '0.999'},
            **self._shared_sections(servers),
        }
        return {self.model_service: model, self.plain_service: plain}

    def _plan(self, number: int, at: Millis) -> Plan:
        weights = [1 / (rank + 1) for rank in range(len(self.customers))]
        customer = self._random.choices(self.customers, weights)[0]
        if self._random.random() < self.plain_share:
            return self._call(number, at, customer)
        return self._chat(number, at, customer)

    def _call(self, number: int, at: Millis, customer: str) -> CallPlan:
        body = f'{{"number": {number}, "seed": {self._seed}}}'
        bits = self._random.getrandbits(RANDOM_A_BITS + RANDOM_B_BITS)
        return CallPlan(
            number=number,
            at=at,
            customer=customer,
            service=self.plain_service,
            path=self.plain_path,
            body=body.encode(),
            key_bits=bits,
            copies=self._random.choice(_COPIES),
        )

    def _chat(self, number: int, at: Millis, customer: str) -> ChatPlan:
        file = self._random.randrange(self.files)
        person = self._random.randrange(self.persons)
        place = f'{customer}/{file}'
        turns = (
            ChatTurn(
                role='system', content=self._text(place, self.file_tokens)
            ),
            ChatTurn(
                role='system',
                content=self._text(f'{place}/{person}', self.person_tokens),
            ),
            ChatTurn(role='user', content=self.question(number)),
        )
        return ChatPlan(
            number=number,
            at=at,
            customer=customer,
            model=self.model,
            turns=turns,
            seed=self._random.getrandbits(31),
            max_tokens=self._random.randrange(8, 40),
        )

    def _text(self, place: str, tokens: int) -> str:
        """Return the text of a level, about four bytes to a token."""
        if place not in self._texts:
            random = Random(f'{self.name}/{self._seed}/{place}')
            words = random.choices(_WORDS, k=tokens)
            self._texts[place] = f'{place}: {" ".join(words)}'[: tokens * 4]
        return self._texts[place]

    def _service_section(self, name: str, kind: str) -> dict[str, str]:
        return {'name': name, 'kind': kind, 'owner': self.name}

    def _shared_sections(
        self,
        backends: Mapping[Endpoint, str],
    ) -> dict[str, dict[str, str]]:
        customers = {
            f'customer {name}': {
                'credential_sha256': hashlib.sha256(
                    credential(name).encode(),
                ).hexdigest(),
            }
            for name in self.customers
        }
        servers = {
            f'backend {endpoint}': {'data_centre': data_centre}
            for endpoint, data_centre in backends.items()
        }
        return {**customers, **servers}


#: All traffic profiles.
PROFILES: Registry[type[Profile]] = Registry('profile', ProfileNotFoundError)


def credential(customer: str) -> str:
    """Return the bearer credential of a customer of the load tool."""
    return f'load-tool-{customer}'
