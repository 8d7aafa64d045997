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
from yuccagauge.relay.identity import ProcessNameSource
from yuccagauge.telemetry.journal import log_state_change

#: Longest wait for a proof if the call can go on at another server instead.
PROOF_LIMIT = Millis(250)

_LIMIT = 'end proof limit'


class EndProof:
    """Asks for a proof that the server lived when its answer ended.

    The operating system closes the connections of a process that ends as the
    process itself does at the end of an answer. The end counts if the process
    that got the call answers afterwards: on a connection that is older than
    the call, or with a name that it had before.

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
        source: ProcessNameSource | None,
        call_later: CallLater,
        on_proof: Callable[[str], None],
    ) -> None:
        """Ask for nothing yet."""
        self._source = source
        self._call_later = call_later
        self._timers = Timers(call_later)
        self._on_proof = on_proof
        self._attempt: AttemptTracker | None = None
        self._asking: Deferred[str] | None = None
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
        # Plain servers state nothing that names their process.
        if service.is_model and attempt.evidence.known_names:
            self._open.add('name')
        if attempt.evidence.has_witness:
            self._open.add('older_connection')
        if not self._open:
            self._report('')
            return
        if 'older_connection' in self._open:
            self._check_witness(attempt, message, service)
        if 'name' in self._open:
            self._ask_name(attempt, limit)

    def close(self) -> None:
        """Ask for nothing any more."""
        self._attempt = None
        self._open.clear()
        self._timers.close()
        if self._check is not None:
            self._check.close()
        asking, self._asking = self._asking, None
        if asking is not None:
            asking.cancel()

    def _check_witness(
        self,
        attempt: AttemptTracker,
        message: BackendMessage,
        service: ServiceSpec,
    ) -> None:
        connection = attempt.evidence.take_connection()
        if connection is None:
            self._give_up('older_connection')
            return
        self._check = WitnessCheck(
            connection,
            self._call_later,
            lambda proof: self._handle_witness(
                proof, attempt, is_direct=connection.is_direct
            ),
            attempt.evidence.give_back,
            needs_answer=service.is_model,
        )
        self._check.start(message)

    def _handle_witness(
        self, proof: str, attempt: AttemptTracker, *, is_direct: bool
    ) -> None:
        if self._attempt is not attempt:
            return
        log_state_change(
            'older_connection_checked',
            server=attempt.placement.server.server_id,
            result=proof,
            is_direct=is_direct,
        )
        if proof:
            self._report(proof)
        else:
            self._give_up('older_connection')

    def _ask_name(self, attempt: AttemptTracker, limit: Millis) -> None:
        self._asking = attempt.evidence.ask_name(limit)
        self._asking.addCallbacks(
            self._handle_name,
            self._handle_no_name,
            callbackArgs=(attempt,),
            errbackArgs=(attempt,),
        )

    def _handle_name(self, name: str, attempt: AttemptTracker) -> None:
        if self._attempt is not attempt:
            return
        known_names = attempt.evidence.known_names
        log_state_change(
            'end_identity',
            server=attempt.placement.server.server_id,
            stated=name,
            known=sorted(known_names),
        )
        if name in known_names:
            self._report('name')
        else:
            self._give_up('name')

    def _handle_no_name(self, _: Any, attempt: AttemptTracker) -> None:
        if self._attempt is attempt:
            self._give_up('name')

    def _give_up(self, proof: str) -> None:
        """Report that there is no proof once none may come any more."""
        self._open.discard(proof)
        if not self._open:
            self._report('')

    def _report(self, proof: str) -> None:
        self._asking = None
        self.close()
        self._on_proof(proof)
