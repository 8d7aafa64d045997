"""What is known of a server before a request is sent to it."""

from twisted.internet.defer import Deferred

from yuccagauge.clock import Millis
from yuccagauge.directory.base import BackendServer
from yuccagauge.dispatch.base import Framing, ResponseHead
from yuccagauge.dispatch.connection import Connection, next_moment
from yuccagauge.dispatch.pool import ConnectionPool
from yuccagauge.dispatch.witness import Witness, WitnessedPool
from yuccagauge.relay.context import RelayContext


class SendEvidence:
    """Keeps what later shows that the process which got a request lives on.

    Parameters
    ----------
    server
        The server of an attempt.
    context
        What all calls share.
    is_model
        Whether the server is a model engine. Those state more of themselves.
    """

    def __init__(
        self, server: BackendServer, context: RelayContext, *, is_model: bool
    ) -> None:
        """Know nothing yet."""
        self._server = server
        self._context = context
        self._is_model = is_model
        #: The moment before which a connection is older than the request.
        self._moment = 0
        self._known_names: frozenset[str] = frozenset()
        #: A connection that is older than the request, or is to be.
        self._witness: Witness | None = None

    @property
    def known_names(self) -> frozenset[str]:
        """The names of its processes that were known as the request was sent."""
        return self._known_names

    @property
    def has_witness(self) -> bool:
        """Whether there may be a connection that is older than the request."""
        return self._witness is not None

    def ask_name(self, timeout: Millis) -> Deferred[str]:
        """Return the name of the process that answers now."""
        context = self._context
        asked_at = context.clock.now()

        def record(name: str) -> str:
            processes = context.incarnations.processes
            server_id = self._server.server_id
            processes.record_question(
                server_id, is_known=name in self._known_names
            )
            processes.record_name(server_id, name, asked_at)
            return name

        asking = context.identities.read_process_name(self._server, timeout)
        return asking.addCallback(record)

    def prepare(self) -> ConnectionPool | WitnessedPool:
        """Have a connection that is older than the request, if one is needed.

        Returns
        -------
        ConnectionPool or WitnessedPool
            Opens the connection of the request, the younger one.
        """
        context = self._context
        processes = context.incarnations.processes
        is_askable = self._is_model and processes.is_askable(self._server)
        if context.identities is None or is_askable:
            return context.pool
        self._witness = context.witnesses.prepare(self._server.endpoint)
        return WitnessedPool(context.pool, self._witness, context.call_later)

    def record_sending(self) -> bool:
        """Note what is known of the server as the request goes out.

        Returns whether it may go out, which it always may.
        """
        self._moment = next_moment()
        self._known_names = self._context.incarnations.processes.known_names(
            self._server
        )
        return True

    def record_framing(self, head: ResponseHead) -> None:
        """Record whether the server tells where its answers end."""
        self._context.witnesses.record_framing(
            self._server.endpoint,
            is_framed=head.framing is not Framing.CONNECTION,
        )

    def take_connection(self) -> Connection | None:
        """Return a connection that is older than the request, if any is."""
        if self._witness is None:
            return None
        return self._context.witnesses.take(self._witness, self._moment)

    def give_back(self, connection: Connection) -> None:
        """Keep such a connection for the ends of other calls."""
        self._context.witnesses.give_back(self._server.endpoint, connection)

    def release(self) -> None:
        """Keep the older connection for other calls, as this one has ended."""
        if self._witness is not None:
            self._context.witnesses.release(self._witness)
