"""The interface of admission policies and their registry."""

import abc
from collections.abc import Mapping
from dataclasses import dataclass
from typing import ClassVar

from yuccagauge.clock import Millis
from yuccagauge.errors import NotFoundError
from yuccagauge.registry import Registry
from yuccagauge.settings.document import ServiceDocument
from yuccagauge.verdict import Refusal, not_run_refusal

#: HTTP status for a customer that exceeds one of its limits.
TOO_MANY_REQUESTS = 429

#: HTTP status for a request that cannot be served in time.
SERVICE_UNAVAILABLE = 503


class AdmissionNotFoundError(NotFoundError):
    """No admission policy has this name."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionRequest:
    """The properties of a request that admission depends on."""

    customer: str
    #: Lower is more urgent.
    priority: int
    prompt_tokens: int
    #: Time by which the caller needs the first token.
    deadline: Millis
    #: Expected time to the first token at the best engine, in ms.
    best_cost_ms: float


class AdmissionPolicy(abc.ABC):
    """Decides whether a request may be sent to an engine."""

    name: ClassVar[str]
    aliases: ClassVar[tuple[str, ...]] = ()

    @abc.abstractmethod
    def configure(self, document: ServiceDocument, now: Millis) -> None:
        """Apply the limits of the document in force."""

    @abc.abstractmethod
    def set_fleet_demand(
        self,
        live_routers: int,
        demand: Mapping[str, float],
    ) -> None:
        """Update the number of live routers and the fleet's demand.

        ``demand`` maps customers to their requests/s at all routers
        together, including this one.
        """

    @abc.abstractmethod
    def admit_request(
        self, request: AdmissionRequest, now: Millis
    ) -> Refusal | None:
        """Admit and count the request, or return the refusal."""

    @abc.abstractmethod
    def finish_request(self, customer: str, now: Millis) -> None:
        """Release the in-flight slot of an admitted request."""


#: All admission policies by name.
admission_policies: Registry[type[AdmissionPolicy]] = Registry(
    'admission policy',
    AdmissionNotFoundError,
)


def build_refusal(
    status: int,
    code: str,
    message: str,
    retry_after_ms: float,
) -> Refusal:
    """Return the refusal of a request that was not sent to an engine.

    ``retry_after_ms`` is raised to at least 1 ms.
    """
    return not_run_refusal(
        status,
        code,
        message,
        Millis(max(1, round(retry_after_ms))),
    )
