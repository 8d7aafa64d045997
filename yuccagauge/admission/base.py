"""The admission interface and the registry of policies."""

import abc
from collections.abc import Mapping
from dataclasses import dataclass
from typing import ClassVar

from yuccagauge.clock import Millis
from yuccagauge.errors import NotFoundError
from yuccagauge.registry import Registry
from yuccagauge.settings.document import ServiceDocument
from yuccagauge.verdict import Refusal, not_run_refusal

#: HTTP status of a customer that is over one of its limits.
TOO_MANY_REQUESTS = 429

#: HTTP status of a request that cannot be served in time.
SERVICE_UNAVAILABLE = 503


class AdmissionNotFoundError(NotFoundError):
    """No admission policy has this name."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionRequest:
    """What admission knows about a request."""

    customer: str
    #: Lower is more urgent.
    priority: int
    prompt_tokens: int
    #: Time by which the first token has to be there.
    deadline: Millis
    #: Expected time to the first token at the best engine, in ms.
    best_cost_ms: float


class AdmissionPolicy(abc.ABC):
    """Decides whether a request may be sent to an engine at all."""

    name: ClassVar[str]
    aliases: ClassVar[tuple[str, ...]] = ()

    @abc.abstractmethod
    def configure(self, document: ServiceDocument, now: Millis) -> None:
        """Take the limits of the document in force."""

    @abc.abstractmethod
    def set_fleet_demand(
        self,
        live_routers: int,
        demand: Mapping[str, float],
    ) -> None:
        """Take the number of live routers and the fleet's demand.

        ``demand`` maps customers to requests/s summed over all routers,
        this one included.
        """

    @abc.abstractmethod
    def admit_request(
        self, request: AdmissionRequest, now: Millis
    ) -> Refusal | None:
        """Return ``None`` and count the request, or why it is refused."""

    @abc.abstractmethod
    def finish_request(self, customer: str, now: Millis) -> None:
        """Count the end of an admitted request."""


#: All admission policies by name.
admission_policies: Registry[type[AdmissionPolicy]] = Registry(
    'admission policy',
    AdmissionNotFoundError,
)


def refuse(
    status: int,
    code: str,
    message: str,
    retry_after: float,
) -> Refusal:
    """Return the refusal of a request that was sent to no engine."""
    return not_run_refusal(
        status,
        code,
        message,
        Millis(max(1, round(retry_after))),
    )
