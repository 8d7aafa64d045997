"""One attempt of a call on a backend server, and its effects on the router."""

from dataclasses import replace

from yuccagauge.clock import Millis
from yuccagauge.directory.base import BackendServer
from yuccagauge.dispatch.errors import ContinuationError
from yuccagauge.quarantine.entry import Evidence, crash_id
from yuccagauge.quarantine.events import short_fingerprint
from yuccagauge.quarantine.evidence import PartCrash
from yuccagauge.quarantine.parts import SOUND_OUTPUT_TIME
from yuccagauge.relay.base import Placement, RelayCall, ResponseInfo
from yuccagauge.relay.confirmation import StreamConfirmation
from yuccagauge.relay.context import RelayContext
from yuccagauge.relay.evidence import SendEvidence
from yuccagauge.relay.outliving import AnswerBeginning
from yuccagauge.relay.report import CallReporter
from yuccagauge.relay.statements import StatementRecorder
from yuccagauge.selection import model
from yuccagauge.selection.base import SelectionRequest
from yuccagauge.selection.load import ServerLoad


class AttemptTracker:
    """Tracks an attempt in the load of its server and in the quarantine.

    Parameters
    ----------
    call, selection_request
        The call, and its requirements for the selection of a server.
    placement
        The server of the attempt.
    context
        What all calls share.
    is_movable
        Whether another server may continue the call if this one resets the
        connection.
    """

    def __init__(
        self,
        call: RelayCall,
        selection_request: SelectionRequest,
        placement: Placement,
        context: RelayContext,
        *,
        is_movable: bool,
    ) -> None:
        """Add the call to the load of the server."""
        self._call = call
        self._selection_request = selection_request
        self._placement = placement
        self._context = context
        self._sent_at = context.clock.now()
        self._last_activity_at = self._sent_at
        self._evidence = SendEvidence(
            placement.server,
            context,
            is_model=selection_request.service.is_model,
        )
        self._statements = StatementRecorder(
            context.directory, context.selector, context.clock
        )
        self._is_paused = False
        self._confirmation = StreamConfirmation(
            call,
            selection_request,
            placement.server,
            context,
            self._use_server,
        )
        self._holds_slot = True
        context.selector.record_send(
            selection_request,
            placement,
            self._sent_at,
            is_movable=is_movable
            and context.selector.versions.has_several_servers(placement.server),
        )
        self._beginning = AnswerBeginning()
        #: Whether it is recorded that the server outlived the beginning.
        self._is_sound = False
        self._known_crashes = context.quarantine.record_start(
            call.fingerprint,
            placement.server.endpoint,
        )
        self._known_part_crashes = context.part_quarantine.known_crashes(
            call.shared_part_ids
        )

    @property
    def placement(self) -> Placement:
        """The server and the parameters of the attempt."""
        return self._placement

    @property
    def evidence(self) -> SendEvidence:
        """What was known of the server as the request was sent."""
        return self._evidence

    @property
    def confirmation(self) -> StreamConfirmation:
        """Finds out which process a connection leads to."""
        return self._confirmation

    @property
    def is_same_incarnation(self) -> bool:
        """Whether the server is listed as it was at the send."""
        sent_to = self._placement.server
        listed = self._context.directory.servers.get(sent_to.server_id)
        return listed is not None and listed.incarnation == sent_to.incarnation

    @property
    def has_restarted(self) -> bool:
        """Whether the server is listed with another incarnation.

        A server that leaves may serve on without an entry.
        """
        server_id = self._placement.server.server_id
        is_listed = server_id in self._context.directory.servers
        return is_listed and not self.is_same_incarnation

    @property
    def listed_incarnation(self) -> str | None:
        """The incarnation of the server that is listed; ``None`` for none."""
        server_id = self._placement.server.server_id
        listed = self._context.directory.servers.get(server_id)
        return None if listed is None else listed.incarnation

    @property
    def has_begun(self) -> bool:
        """Whether the server has sent a part of the answer."""
        return self._beginning.began_at is not None

    @property
    def has_ended(self) -> bool:
        """Whether the attempt is no longer a load of the server."""
        return not self._holds_slot

    @property
    def superseded_ms(self) -> Millis | None:
        """Time since newer weights than those of the attempt were named.

        ``None`` if there are none, or for a plain call.
        """
        version = self._placement.weights_version
        if version is None:
            return None
        return self._context.selector.weights.superseded_ms(
            self._selection_request.model, version, self._now()
        )

    @property
    def time_to_begin(self) -> Millis | None:
        """Time for which a call of a model may still wait for its beginning.

        ``None`` while the weights of the attempt are the newest.
        """
        return self._context.selector.weights.time_to_begin(
            self._selection_request.model,
            self._placement.weights_version,
            self._now(),
        )

    @property
    def time_without_response(self) -> Millis:
        """Time since the server last sent data, or since the send.

        It is 0 while the router does not read what the server sends.
        """
        if self._is_paused:
            return Millis(0)
        return Millis(self._now() - self._last_activity_at)

    @property
    def is_server_quiet(self) -> bool:
        """Whether the server sent nothing to this router since it got the run.

        A server that ends as it begins the answer sends the beginning, and
        what it had sent for other runs until then.
        """
        last_activity_at = self._load().last_activity_at
        if last_activity_at <= self._sent_at:
            return True
        began_at = self._beginning.began_at
        if began_at is None or self._is_sound:
            return False
        quiet_at = began_at + SOUND_OUTPUT_TIME
        return last_activity_at < quiet_at <= self._now()

    def pause(self) -> None:
        """Record that the router does not read, for its caller's sake."""
        self._is_paused = True
        self._beginning.pause()

    def resume(self) -> None:
        """Record that the router reads again."""
        self._is_paused = False
        self._beginning.resume()
        self._last_activity_at = self._now()

    def discount_silence(self, duration: Millis) -> None:
        """Leave out a time in which the router read nothing."""
        end = Millis(self._last_activity_at + duration)
        self._last_activity_at = min(end, self._now())

    def check_version(self) -> None:
        """Raise an error if the server has restarted with other software.

        An id names a server over its restarts, so that a call may have reached
        the next incarnation.

        Raises
        ------
        ContinuationError
            If the version that a stream goes on at is not that of the server.
        """
        sent_to = self._placement.server
        listed = self._context.directory.servers.get(sent_to.server_id)
        if listed is None or not self._call.route.is_resumable:
            return
        version = self._context.incarnations.listed_version(
            sent_to.software_version
        )
        if version not in {None, listed.software_version}:
            raise ContinuationError('the server has another software version')

    def record_activity(self, info: ResponseInfo | None = None) -> None:
        """Record that the server sent data, and what a response head states."""
        self._last_activity_at = self._now()
        load = self._load()
        load.last_activity_at = self._last_activity_at
        name = self._selection_request.model
        if info is not None and info.weights_version is not None and name:
            load.reported_weights[name] = info.weights_version
        if info is not None:
            self._statements.record(self._placement.server, info, self._sent_at)

    def record_output(self, reporter: CallReporter) -> None:
        """Record that the server sent a part of the answer."""
        now = self._now()
        is_first = not self.has_begun
        self._beginning.record_output(now)
        if is_first:
            self._record_first_output()
            age = self.superseded_ms
            if age is not None:
                reporter.record_beginning(
                    self._placement, age, Millis(now - self._sent_at)
                )
        self._record_if_sound()

    def record_sound(self) -> None:
        """Record that the server outlived the beginning of the answer."""
        self._beginning.record_outlived()
        self._record_if_sound()

    def record_response_end(self) -> None:
        """Record that the end of the response was read."""
        self._beginning.record_end(self._now())
        self._record_if_sound()

    def _record_if_sound(self) -> None:
        if self._is_sound or not self._beginning.is_outlived:
            return
        self._is_sound = True
        now = self._now()
        self._context.part_quarantine.record_sound(
            self._call.shared_part_ids, self._beginning.began_at or now, now
        )

    def _record_first_output(self) -> None:
        """Update the load estimate with the time to the first output."""
        load = self._load()
        active_call = load.own_calls.get(self._selection_request.call_id)
        if active_call is None or active_call.has_output:
            return
        active_call.has_output = True
        prefill_ms = self._now() - self._sent_at - model.IDLE_FIRST_TOKEN_MS
        load.record_first_output(prefill_ms, self._placement.nominal_prefill_ms)

    def record_rejection(self, info: ResponseInfo) -> None:
        """Record that the server rejected the call without running it."""
        expected = self._placement.server.server_id
        load = self._load()
        if not info.is_misdirected:
            load.record_full(self._now())
        elif info.server_id and info.server_id != expected:
            # The address belongs to another server now.
            load.record_unreachable(self._now())

    def record_unreachable(self) -> None:
        """Record that no connection to the server could be opened."""
        self._load().record_unreachable(self._now())

    def record_failure(self) -> None:
        """Record the failure of an attempt that has not ended."""
        self._load().record_outcome(failed=True, now=self._now())

    def end_broken_attempt(self) -> None:
        """End an attempt that may have run and has no complete response."""
        is_loading_weights = self._is_loading_weights()
        self.record_response_end()
        self._record_possible_crash()
        self._context.on_broken(self._placement.server.endpoint)
        self.end_attempt(failed=not is_loading_weights)

    def abandon_run(self) -> None:
        """Record a run that may have ended the server unnoticed.

        A server that lost power resets no connection. It sends nothing either,
        unlike a server that was only slow with this run, until it restarts.
        """
        if self.is_server_quiet or not self.is_same_incarnation:
            self._record_possible_crash()

    def end_attempt(self, *, failed: bool) -> None:
        """Record the outcome, and remove the call from the server's load."""
        now = self._now()
        load = self._load()
        load.record_outcome(failed=failed, now=now)
        if not failed and not self._selection_request.service.is_model:
            load.record_service_time(Millis(now - self._sent_at))
        self.release_slot()

    def release_slot(self) -> None:
        """Remove the call from the server's load, without an outcome.

        Repeated calls have no effect, because the end of a call also releases
        an attempt that has ended.
        """
        if not self._holds_slot:
            return
        self._holds_slot = False
        self._evidence.release()
        self._load().own_calls.pop(self._selection_request.call_id, None)
        self._context.selector.brittle.slots.record_end(
            self._placement.server.server_id
        )
        self._context.quarantine.record_end(
            self._call.fingerprint,
            self._placement.server.endpoint,
        )

    def _is_loading_weights(self) -> bool:
        """Return whether the server may reset its runs to load weights."""
        return self._now() < self._load().loading_until

    def _record_possible_crash(self) -> None:
        """Count a crash, which later evidence may dismiss."""
        server = self._placement.server
        # Ids are reused, so an id alone does not tell a restart.
        evidence = Evidence.SURVIVAL
        if self._is_loading_weights():
            evidence = Evidence.WEIGHTS
        elif server.started_at:
            evidence = Evidence.INCARNATION
        self._context.quarantine.record_broken_connection(
            self._call.fingerprint,
            server.endpoint,
            server.incarnation,
            self._now(),
            known=self._known_crashes,
            evidence=evidence,
            sent_at=self._sent_at,
        )
        if not self._is_sound:
            self._record_possible_crash_of_parts()

    def _record_possible_crash_of_parts(self) -> None:
        now = self._now()
        server = self._placement.server
        self._context.part_quarantine.record_crash(
            self._call.shared_part_ids,
            PartCrash(
                crash=crash_id(
                    server.endpoint,
                    server.incarnation,
                    self._known_part_crashes,
                ),
                request=short_fingerprint(self._call.fingerprint),
                sent_at=self._sent_at,
                noticed_at=now,
            ),
            now,
        )

    def _use_server(self, server: BackendServer) -> None:
        """Take the server as it is known; it is not silent meanwhile."""
        self._placement = replace(self._placement, server=server)
        self._last_activity_at = self._now()

    def _load(self) -> ServerLoad:
        server_id = self._placement.server.server_id
        return self._context.selector.load_of(server_id)

    def _now(self) -> Millis:
        return self._context.clock.now()
