"""Admission by customer limits and request deadlines."""

from collections.abc import Mapping

from yuccagauge.admission.base import (
    SERVICE_UNAVAILABLE,
    AdmissionPolicy,
    AdmissionRequest,
    admission_policies,
    build_refusal,
)
from yuccagauge.admission.customer import CustomerLimits
from yuccagauge.admission.demand import share_of_limit
from yuccagauge.clock import Millis
from yuccagauge.settings.document import CustomerSection, ServiceDocument
from yuccagauge.verdict import Refusal

#: Fraction of the time to the deadline that a request leaves free for more
#: urgent ones, per priority class. As queues grow, the least urgent requests
#: are refused first.
DEADLINE_MARGIN_PER_PRIORITY = 0.05


@admission_policies.register
class DeadlinePolicy(AdmissionPolicy):
    """Refuses requests that exceed a limit or cannot meet their deadline."""

    name = 'deadline'

    def __init__(self) -> None:
        """Create a policy without limits; ``configure`` sets them."""
        self._sections: Mapping[str, CustomerSection] = {}
        self._customers: dict[str, CustomerLimits] = {}
        self._live_routers = 1
        self._demand: Mapping[str, float] = {}
        self._now = Millis(0)

    def configure(self, document: ServiceDocument, now: Millis) -> None:
        """Apply the limits of the document in force."""
        self._now = now
        self._sections = document.customers
        for name in tuple(self._customers):
            if name not in self._sections:
                del self._customers[name]
        self._update_shares()

    def set_fleet_demand(
        self,
        live_routers: int,
        demand: Mapping[str, float],
    ) -> None:
        """Recompute this router's share of each limit."""
        self._live_routers = max(1, live_routers)
        self._demand = demand
        self._update_shares()

    def demand(self, now: Millis) -> dict[str, float]:
        """Return the requests/s of each customer at this router, for peers."""
        return {
            name: limits.demand.rate(now)
            for name, limits in self._customers.items()
        }

    def admit_request(
        self, request: AdmissionRequest, now: Millis
    ) -> Refusal | None:
        """Check limits, then the deadline; count the request if admitted."""
        self._now = max(now, self._now)
        limits = self._find_limits(request.customer, now)
        if limits is not None:
            limits.demand.record_request(now)
        refusal = None if limits is None else limits.check_request(request, now)
        if refusal is None:
            refusal = _deadline_refusal(request, now)
        if refusal is None and limits is not None:
            limits.record_admitted(request, now)
        return refusal

    def finish_request(self, customer: str, now: Millis) -> None:
        """Release the in-flight slot of an admitted request."""
        limits = self._customers.get(customer)
        if limits is not None:
            limits.in_flight = max(0, limits.in_flight - 1)

    def _find_limits(self, customer: str, now: Millis) -> CustomerLimits | None:
        limits = self._customers.get(customer)
        if limits is None and customer in self._sections:
            limits = CustomerLimits(self._sections[customer], now)
            self._customers[customer] = limits
            self._update_share(customer, limits)
        return limits

    def _update_shares(self) -> None:
        for name, limits in self._customers.items():
            self._update_share(name, limits)

    def _update_share(self, name: str, limits: CustomerLimits) -> None:
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
    time_left = request.deadline - now
    late_by = request.best_cost_ms - time_left * (
        1 - DEADLINE_MARGIN_PER_PRIORITY * request.priority
    )
    if late_by <= 0:
        return None
    return build_refusal(
        SERVICE_UNAVAILABLE,
        'deadline_unreachable',
        'no engine can start the answer before the deadline',
        late_by,
    )
