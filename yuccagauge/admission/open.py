"""An admission policy without limits, for the baselines of the bench."""

from collections.abc import Mapping

from yuccagauge.admission.base import (
    AdmissionPolicy,
    AdmissionRequest,
    admission_policies,
)
from yuccagauge.clock import Millis
from yuccagauge.settings.document import ServiceDocument
from yuccagauge.verdict import Refusal


@admission_policies.register
class OpenPolicy(AdmissionPolicy):
    """Admits every request."""

    name = 'open'

    def configure(self, document: ServiceDocument, now: Millis) -> None:
        """Ignore the limits."""

    def set_fleet_demand(
        self,
        live_routers: int,
        demand: Mapping[str, float],
    ) -> None:
        """Ignore the demand."""

    def admit_request(  # noqa: WPS324
        self,
        request: AdmissionRequest,
        now: Millis,
    ) -> Refusal | None:
        """Admit the request."""
        return None  # noqa: WPS324

    def finish_request(self, customer: str, now: Millis) -> None:
        """Do nothing, as requests in flight are not counted."""
