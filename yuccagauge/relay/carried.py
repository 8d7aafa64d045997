"""What servers state in answers that this router carries for peers."""

from yuccagauge.directory.base import BackendServer
from yuccagauge.dispatch.base import ResponseHead
from yuccagauge.relay.context import RelayContext


class CarriedStatements:
    """Applies them to the calls that this router carries, and to its own.

    Load pattern: a partition sends the calls of many routers through few VMs,
    and servers that are full tell these VMs to wait. A server does not know
    which router a call comes from.

    Parameters
    ----------
    context
        Knows the statements.
    """

    def __init__(self, context: RelayContext) -> None:
        """Use the statements of the router's own calls."""
        self._context = context

    def refuses_calls(self, server: BackendServer) -> bool:
        """Return whether a server wants no call from this VM now."""
        statements = self._context.selector.statements
        return self._context.clock.now() < statements.refused_until(server)

    def record_answer(self, server: BackendServer, head: ResponseHead) -> None:
        """Record the statements of an answer that is carried."""
        info = self._context.backend_protocol.parse_head(head)
        if not info.is_misdirected:
            statements = self._context.selector.statements
            statements.record(server, info, self._context.clock.now())
