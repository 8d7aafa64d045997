"""One attempt of a call at a server, and what the router learns from it."""

from yuccagauge.clock import Millis
from yuccagauge.relay.base import Placement, RelayCall, ResponseInfo
from yuccagauge.relay.surroundings import Surroundings
from yuccagauge.selection import model
from yuccagauge.selection.base import SelectionRequest
from yuccagauge.selection.load import ServerLoad


class RunningAttempt:
    """Keeps load and health of the server, and the quarantine, up to date.

    Parameters
    ----------
    call, selection_request
        The call, and the same for the choice of servers.
    placement
        Where the attempt goes.
    around
        What all calls share.
    is_movable
        Whether another server may continue the call if this one resets it.
    """

    def __init__(
        self,
        call: RelayCall,
        selection_request: SelectionRequest,
        placement: Placement,
        around: Surroundings,
        *,
        is_movable: bool,
    ) -> None:
        """Count the call among those of the server."""
        self._call = call
        self._selection_request = selection_request
        self._placement = placement
        self._around = around
        self._sent_at = around.clock.now()
        self._heard_at = self._sent_at
        self._is_counted = True
        around.selector.record_send(
            selection_request,
            placement,
            self._sent_at,
            is_movable=is_movable,
        )
        around.quarantine.record_start(
            call.fingerprint,
            placement.server.endpoint,
        )

    @property
    def placement(self) -> Placement:
        """Where the attempt went."""
        return self._placement

    @property
    def silence(self) -> Millis:
        """Time since the server last sent anything, or since the send."""
        return Millis(self._now() - self._heard_at)

    def heard(self, info: ResponseInfo | None = None) -> None:
        """Note a sign of life, and what the head of an answer states."""
        self._heard_at = self._now()
        load = self._load()
        load.last_activity_at = self._heard_at
        name = self._selection_request.model
        if info is not None and info.weights_version is not None and name:
            load.reported_weights[name] = info.weights_version

    def note_output(self) -> None:
        """Learn from the time to the first output."""
        load = self._load()
        active = load.calls.get(self._selection_request.call_id)
        if active is None or active.has_output:
            return
        active.has_output = True
        took = self._now() - self._sent_at - model.IDLE_FIRST_TOKEN_MS
        load.record_first_output(took, self._placement.nominal_prefill_ms)

    def note_turned_away(self, info: ResponseInfo) -> None:
        """Note that the server refused the call without running it."""
        expected = self._placement.server.server_id
        load = self._load()
        if not info.is_misdirected:
            load.record_full(self._now())
        elif info.server_id and info.server_id != expected:
            # Another server has the address now.
            load.record_unreachable(self._now())

    def note_unreachable(self) -> None:
        """Note that no connection could be opened."""
        self._load().record_unreachable(self._now())

    def note_failed(self) -> None:
        """Count a failure while the attempt goes on."""
        self._load().record_outcome(failed=True, now=self._now())

    def broke(self) -> None:
        """Note the end of an attempt that may have run."""
        # An engine that gets new weights may reset its runs.
        is_reset = self._now() < self._load().loading_until
        if not is_reset:
            server = self._placement.server
            self._around.quarantine.record_broken_connection(
                self._call.fingerprint,
                server.endpoint,
                server.incarnation,
                self._now(),
            )
        self.end(failed=not is_reset)

    def end(self, *, failed: bool) -> None:
        """Count the outcome, and free the call's place at the server."""
        now = self._now()
        load = self._load()
        load.record_outcome(failed=failed, now=now)
        if not failed and not self._selection_request.service.is_model:
            load.record_service_time(Millis(now - self._sent_at))
        self.forget()

    def forget(self) -> None:
        """Free the call's place at the server, without an outcome."""
        if not self._is_counted:
            return
        self._is_counted = False
        self._load().calls.pop(self._selection_request.call_id, None)
        self._around.quarantine.record_end(
            self._call.fingerprint,
            self._placement.server.endpoint,
        )

    def _load(self) -> ServerLoad:
        server_id = self._placement.server.server_id
        return self._around.selector.load_of(server_id)

    def _now(self) -> Millis:
        return self._around.clock.now()
