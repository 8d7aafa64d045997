"""Admission by limits, shares and deadlines."""

from collections.abc import Mapping

from yuccagauge.admission.base import (
    SERVICE_UNAVAILABLE,
    AdmissionPolicy,
    AdmissionRequest,
    admission_policies,
    refuse,
)
from yuccagauge.admission.customer import CustomerLimits
from yuccagauge.clock import Millis
from yuccagauge.settings.document import CustomerSection, ServiceDocument
from yuccagauge.verdict import Refusal


@admission_policies.register
class DeadlinePolicy(AdmissionPolicy):
    """Refuses what is over a limit or cannot meet its deadline."""

    name = 'deadline'

    def __init__(self) -> None:
        """Start without a document: every customer is unlimited."""
        self._sections: Mapping[str, CustomerSection] = {}
        self._customers: dict[str, CustomerLimits] = {}
        self._live_routers = 1
        self._now = Millis(0)

    def configure(self, document: ServiceDocument, now: Millis) -> None:
        """Take the limits of the document in force."""
        self._now = now
        self._sections = document.customers
        for name in tuple(self._customers):
            if name not in self._sections:
                del self._customers[name]
        self._share_out()

    def set_peers(
        self,
        live_routers: int,
        demand: Mapping[str, float],
    ) -> None:
        """Hold one part for each live router."""
        self._live_routers = max(1, live_routers)
        self._share_out()

    def admit(self, request: AdmissionRequest, now: Millis) -> Refusal | None:
        """Check limits, then the deadline, and count the request."""
        self._now = max(now, self._now)
        limits = self._limits(request.customer, now)
        refusal = None if limits is None else limits.refusal(request, now)
        if refusal is None:
            refusal = _deadline_refusal(request, now)
        if refusal is None and limits is not None:
            limits.take(request, now)
        return refusal

    def finished(self, customer: str, now: Millis) -> None:
        """Count the end of an admitted request."""
        limits = self._customers.get(customer)
        if limits is not None:
            limits.in_flight = max(0, limits.in_flight - 1)

    def _limits(self, customer: str, now: Millis) -> CustomerLimits | None:
        limits = self._customers.get(customer)
        if limits is None and customer in self._sections:
            limits = CustomerLimits(self._sections[customer], now)
            limits.set_share(
                self._sections[customer],
                1 / self._live_routers,
                now,
            )
            self._customers[customer] = limits
        return limits

    def _share_out(self) -> None:
        for name, limits in self._customers.items():
            limits.set_share(
                self._sections[name],
                1 / self._live_routers,
                self._now,
            )


def _deadline_refusal(
    request: AdmissionRequest,
    now: Millis,
) -> Refusal | None:
    late_by = now + request.best_cost_ms - request.deadline
    if late_by <= 0:
        return None
    return refuse(
        SERVICE_UNAVAILABLE,
        'deadline_unreachable',
        'no engine can start the answer before the deadline',
        late_by,
    )
