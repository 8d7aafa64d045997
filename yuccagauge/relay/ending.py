"""Finds out whether an answer is whole that ended with its connection."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred

from yuccagauge.clock import Millis
from yuccagauge.directory.base import ServiceSpec
from yuccagauge.dispatch.base import BackendMessage, CallLater
from yuccagauge.dispatch.timers import Timers
from yuccagauge.dispatch.witness import WitnessCheck
from yuccagauge.relay.attempt import AttemptTracker
from yuccagauge.relay.identity import (
    IdentitySource,
    ServerIdentity,
    is_same_process,
)
from yuccagauge.telemetry.journal import log_state_change

#: Longest wait for a proof if the call can go on at another server instead.
PROOF_LIMIT = Millis(250)

#: An older connection that has not answered after this time may hang, so a new
#: one is opened beside it.
_SECOND_CHECK_DELAY = Millis(100)

_LIMIT = 'end proof limit'
_SECOND_CHECK = 'end proof identity'


class EndProof:
    """Asks for a proof that the server lived when its answer ended.

    The operating system closes the connections of a process that ends as the
    process itself does at the end of an answer. The end counts if the process
    that got the call answers afterwards: on a connection that is older than
    the call, or as the same start.

    Parameters
    ----------
    source
        Asks servers who they are; ``None`` if they cannot be asked.
    call_later
        The reactor's function.
    on_proof
        Called once with the kind of the proof, empty if there is none.
    """

    def __init__(
        self,
        source: IdentitySource | None,
        call_later: CallLater,
        on_proof: Callable[[str], None],
    ) -> None:
        """Ask for nothing yet."""
        self._source = source
        self._call_later = call_later
        self._timers = Timers(call_later)
        self._on_proof = on_proof
        self._attempt: AttemptTracker | None = None
        self._identity: Deferred[ServerIdentity] | None = None
        self._check: WitnessCheck | None = None
        #: Proofs that may still come.
        self._open: set[str] = set()

    def start(
        self,
        attempt: AttemptTracker,
        service: ServiceSpec,
        *,
        limit: Millis,
        can_move: bool,
    ) -> None:
        """Look for a proof.

        Parameters
        ----------
        limit
            Time left for the call.
        can_move
            Whether the call can go on at another server instead.
        """
        self._attempt = attempt
        server = attempt.placement.server
        message = None
        if self._source is not None:
            message = self._source.encode_check(server, service)
        if message is None:
            self._report('')
            return
        if can_move:
            limit = min(limit, PROOF_LIMIT)
        self._timers.start(_LIMIT, limit, self._report, '')
        if service.is_model:
            self._open.add('identity')
            self._ask_identity(message, limit)
            return
        self._open.add('older_connection')
        if not attempt.evidence.known_names:
            self._open.add('identity')
            self._timers.start(
                _SECOND_CHECK,
                _SECOND_CHECK_DELAY,
                self._ask_identity,
                message,
                limit,
            )
        connection = attempt.evidence.take_connection()
        if connection is None:
            self._handle_witness('', attempt, message, limit)
            return
        self._check = WitnessCheck(
            connection,
            self._call_later,
            lambda proof: self._handle_witness(proof, attempt, message, limit),
            attempt.evidence.give_back,
        )
        self._check.start(message)

    def close(self) -> None:
        """Ask for nothing any more."""
        self._attempt = None
        self._open.clear()
        self._timers.close()
        if self._check is not None:
            self._check.close()
        identity, self._identity = self._identity, None
        if identity is not None:
            identity.cancel()

    def _handle_witness(
        self,
        proof: str,
        attempt: AttemptTracker,
        message: BackendMessage,
        limit: Millis,
    ) -> None:
        if self._attempt is not attempt:
            return
        if proof:
            self._report(proof)
            return
        if self._timers.is_running(_SECOND_CHECK):
            self._timers.stop(_SECOND_CHECK)
            self._ask_identity(message, limit)
        self._give_up('older_connection')

    def _ask_identity(self, message: BackendMessage, limit: Millis) -> None:
        attempt = self._attempt
        self._identity = self._source.read_identity(
            attempt.placement.server, message, limit
        )
        self._identity.addCallbacks(
            self._handle_identity,
            self._handle_no_identity,
            callbackArgs=(attempt,),
            errbackArgs=(attempt,),
        )

    def _handle_identity(
        self, identity: ServerIdentity, attempt: AttemptTracker
    ) -> None:
        if self._attempt is not attempt:
            return
        server = attempt.placement.server
        log_state_change(
            'end_identity',
            server=server.server_id,
            stated_id=identity.server_id,
            stated_start=identity.started_at,
            known_names=sorted(attempt.evidence.known_names),
        )
        if not is_same_process(identity, server, attempt.evidence.known_names):
            self._give_up('identity')
        elif identity.started_at:
            self._report('start')
        elif attempt.has_restarted:
            # The entry states a start now, so that the id proves nothing.
            self._give_up('identity')
        else:
            self._report('server_id')

    def _handle_no_identity(self, _: Any, attempt: AttemptTracker) -> None:
        if self._attempt is attempt:
            self._give_up('identity')

    def _give_up(self, proof: str) -> None:
        """Report that there is no proof once none may come any more."""
        self._open.discard(proof)
        if not self._open:
            self._report('')

    def _report(self, proof: str) -> None:
        self._identity = None
        self.close()
        self._on_proof(proof)
