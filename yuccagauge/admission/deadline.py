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
from yuccagauge.admission.demand import share_of_limit
from yuccagauge.clock import Millis
from yuccagauge.settings.document import CustomerSection, ServiceDocument
from yuccagauge.verdict import Refusal

#: Part of the time to the deadline that each priority class leaves to the
#: more urgent ones: as queues grow, the least urgent is refused first.
PRIORITY_STEP = 0.05


@admission_policies.register
class DeadlinePolicy(AdmissionPolicy):
    """Refuses what is over a limit or cannot meet its deadline."""

    name = 'deadline'

    def __init__(self) -> None:
        """Start without a document: every customer is unlimited."""
        self._sections: Mapping[str, CustomerSection] = {}
        self._customers: dict[str, CustomerLimits] = {}
        self._live_routers = 1
        self._demand: Mapping[str, float] = {}
        self._now = Millis(0)

    def configure(self, document: ServiceDocument, now: Millis) -> None:
        """Take the limits of the document in force."""
        self._now = now
        self._sections = document.customers
        for name in tuple(self._customers):
            if name not in self._sections:
                del self._customers[name]
        self._share_out()

    def set_fleet_demand(
        self,
        live_routers: int,
        demand: Mapping[str, float],
    ) -> None:
        """Hold the part of each limit that the demand here earns."""
        self._live_routers = max(1, live_routers)
        self._demand = demand
        self._share_out()

    def demand(self, now: Millis) -> dict[str, float]:
        """Return the demand at this router for peers, in requests/s."""
        return {
            name: limits.demand.rate(now)
            for name, limits in self._customers.items()
        }

    def admit_request(
        self, request: AdmissionRequest, now: Millis
    ) -> Refusal | None:
        """Check limits, then the deadline, and count the request."""
        self._now = max(now, self._now)
        limits = self._limits(request.customer, now)
        if limits is not None:
            limits.demand.record(now)
        refusal = None if limits is None else limits.refusal(request, now)
        if refusal is None:
            refusal = _deadline_refusal(request, now)
        if refusal is None and limits is not None:
            limits.take(request, now)
        return refusal

    def finish_request(self, customer: str, now: Millis) -> None:
        """Count the end of an admitted request."""
        limits = self._customers.get(customer)
        if limits is not None:
            limits.in_flight = max(0, limits.in_flight - 1)

    def _limits(self, customer: str, now: Millis) -> CustomerLimits | None:
        limits = self._customers.get(customer)
        if limits is None and customer in self._sections:
            limits = CustomerLimits(self._sections[customer], now)
            self._customers[customer] = limits
            self._set_share(customer, limits)
        return limits

    def _share_out(self) -> None:
        for name, limits in self._customers.items():
            self._set_share(name, limits)

    def _set_share(self, name: str, limits: CustomerLimits) -> None:
        share = share_of_limit(
            limits.demand.rate(self._now),
            name,
            self._live_routers,
            self._demand,
        )
        limits.set_share(self._sections[name], share, self._now)


def _deadline_refusal(
    request: AdmissionRequest,
    now: Millis,
) -> Refusal | None:
    left = request.deadline - now
    late_by = request.best_cost_ms - left * (
        1 - PRIORITY_STEP * request.priority
    )
    if late_by <= 0:
        return None
    return refuse(
        SERVICE_UNAVAILABLE,
        'deadline_unreachable',
        'no engine can start the answer before the deadline',
        late_by,
    )
