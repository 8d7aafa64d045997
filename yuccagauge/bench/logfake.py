"""A fake of the platform's log that carries the service document."""

from dataclasses import dataclass

from yuccagauge.bench.workload import Workload
from yuccagauge.clock import Millis
from yuccagauge.settings.document import ServiceDocument, parse_document

#: Limits that no customer of the shipped workloads reaches.
AMPLE_REQUESTS_PER_SECOND = 100_000

_HEADER = """
[service]
name = bench
kind = model
owner = bench
[model model]
weights_version = w1
"""


@dataclass(frozen=True, slots=True)
class LoggedDocument:
    """A version of the document."""

    version: int
    document: ServiceDocument


class LogFake:
    """Holds the versions of one document, and may be in an outage."""

    def __init__(self, workload: Workload) -> None:
        """Start with the first version."""
        self.is_out = False
        self._workload = workload
        self._latest = self._build(0)

    def publish(self, now: Millis) -> bool:
        """Append a new version; return whether the log took it."""
        if self.is_out:
            return False
        self._latest = self._build(self._latest.version + 1)
        return True

    def read(self) -> LoggedDocument | None:
        """Return the latest version, or ``None`` in an outage."""
        return None if self.is_out else self._latest

    def _build(self, version: int) -> LoggedDocument:
        customers = range(self._workload.arrivals.customers)
        sections = (
            f'[customer customer-{number}]\n'
            f'credential_sha256 = {number:064x}\n'
            f'requests_per_second = {AMPLE_REQUESTS_PER_SECOND - version}\n'
            'concurrent = 100000\n'
            for number in customers
        )
        text = _HEADER + ''.join(sections)
        return LoggedDocument(version, parse_document(text, 'bench'))
