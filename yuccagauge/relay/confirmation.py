"""Asks which process a connection leads to before it carries a stream."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred, succeed
from twisted.python.failure import Failure

from yuccagauge.directory.base import BackendServer
from yuccagauge.dispatch.connection import Connection
from yuccagauge.dispatch.fetch import FetchError
from yuccagauge.relay.base import RelayCall
from yuccagauge.relay.context import RelayContext
from yuccagauge.relay.incarnations import NotConfirmedError
from yuccagauge.relay.refutation import unlisted
from yuccagauge.selection.base import SelectionRequest
from yuccagauge.telemetry.journal import log_decision


class StreamConfirmation:
    """Confirms that a connection leads to a process that a stream fits to.

    Parameters
    ----------
    call, selection_request
        The call, and the software version that it needs.
    server
        The server of the attempt.
    context
        What all calls share.
    on_server
        Called with the server as it is known, each time that it has answered
        or is about to be asked.
    """

    def __init__(
        self,
        call: RelayCall,
        selection_request: SelectionRequest,
        server: BackendServer,
        context: RelayContext,
        on_server: Callable[[BackendServer], None],
    ) -> None:
        """Ask nothing yet."""
        self._call = call
        self._selection_request = selection_request
        self._server = server
        self._context = context
        self._on_server = on_server
        self._is_refuted = False
        #: Whether a connection was lost before it was known, and replaced.
        self._has_reopened = False

    @property
    def is_refuted(self) -> bool:
        """Whether the stream cannot go on at the process that was reached."""
        return self._is_refuted

    def confirm(self, connection: Connection) -> Deferred[Connection]:
        """Ask which process a connection leads to, if the stream needs it.

        The rest of a stream goes to a process of its software version only. A
        stream begins anywhere, and its origin is the process that got it.
        """
        server = self._server
        incarnations = self._context.incarnations
        if not self._call.route.is_resumable:
            return succeed(connection)
        if not incarnations.can_confirm:
            self._log('unasked', server, connection)
            return succeed(connection)
        self._on_server(server)
        is_new = connection.process is None
        return incarnations.confirm(
            self._selection_request, server, connection
        ).addCallbacks(
            self._handle_confirmed,
            self._handle_not_confirmed,
            callbackArgs=(connection,),
            errbackArgs=(connection, is_new),
        )

    def _handle_confirmed(
        self, server: BackendServer, connection: Connection
    ) -> Connection:
        self._on_server(server)
        self._log('fits', server, connection)
        return connection

    def _handle_not_confirmed(
        self, failure: Failure, connection: Connection, is_new: bool
    ) -> Any:
        """Send a stream that begins; the rest of one goes elsewhere."""
        pool = self._context.pool
        endpoint = self._server.endpoint
        if connection.can_send and is_new:
            pool.give_back(endpoint, connection)
        else:
            # It is lost, or may belong to a process that ended unnoticed.
            connection.abort()
        if failure.check(FetchError) and not self._has_reopened:
            self._has_reopened = True
            return pool.open(endpoint, fresh=True).addCallback(self.confirm)
        failure.trap(NotConfirmedError)
        if self._selection_request.software_version is None:
            server = unlisted(self._server)
            return pool.open(endpoint, fresh=True).addCallback(
                lambda opened: self._handle_confirmed(server, opened)
            )
        self._is_refuted = True
        self._log('refuted', self._server, connection)
        return failure

    def _log(
        self, result: str, server: BackendServer, connection: Connection
    ) -> None:
        """Log what is known of the process that a stream may be sent to."""
        log_decision(
            'process_confirmed',
            self._call.fields.request_id,
            result=result,
            server=server.server_id,
            listed=self._server.started_at,
            stated=connection.process and connection.process.name,
            software=server.software_version,
            needs=self._selection_request.software_version,
        )
