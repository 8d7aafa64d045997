"""One attempt of a call at a server, and what the router learns from it."""

from yuccagauge.clock import Millis
from yuccagauge.relay.base import AnswerFacts, Placement, RelayCall
from yuccagauge.relay.surroundings import Surroundings
from yuccagauge.selection import model
from yuccagauge.selection.base import Demand
from yuccagauge.selection.load import ServerLoad


class RunningAttempt:
    """Keeps load and health of the server, and the quarantine, up to date.

    Parameters
    ----------
    call, demand
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
        demand: Demand,
        placement: Placement,
        around: Surroundings,
        *,
        is_movable: bool,
    ) -> None:
        """Count the call among those of the server."""
        self._call = call
        self._demand = demand
        self._placement = placement
        self._around = around
        self._sent_at = around.clock.now()
        self._heard_at = self._sent_at
        self._is_counted = True
        around.selector.sent(
            demand,
            placement,
            self._sent_at,
            is_movable=is_movable,
        )
        around.quarantine.started(
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

    def heard(self, facts: AnswerFacts | None = None) -> None:
        """Note a sign of life, and what the head of an answer states."""
        self._heard_at = self._now()
        load = self._load()
        load.heard_at = self._heard_at
        name = self._demand.model
        if facts is not None and facts.weights_version is not None and name:
            load.shown_weights[name] = facts.weights_version

    def note_output(self) -> None:
        """Learn from the time to the first output."""
        load = self._load()
        active = load.calls.get(self._demand.call_id)
        if active is None or active.has_output:
            return
        active.has_output = True
        took = self._now() - self._sent_at - model.FIRST_MS
        load.note_first_output(took, self._placement.work_ms)

    def note_turned_away(self, facts: AnswerFacts) -> None:
        """Note that the server refused the call without running it."""
        expected = self._placement.server.server_id
        load = self._load()
        if not facts.is_misdirected:
            load.note_full(self._now())
        elif facts.server_id and facts.server_id != expected:
            # Another server has the address now.
            load.note_unreachable(self._now())

    def note_unreachable(self) -> None:
        """Note that no connection could be opened."""
        self._load().note_unreachable(self._now())

    def note_failed(self) -> None:
        """Count a failure while the attempt goes on."""
        self._load().note_outcome(failed=True, now=self._now())

    def broke(self) -> None:
        """Note the end of an attempt that may have run."""
        # An engine that gets new weights may reset its runs.
        is_reset = self._now() < self._load().loading_until
        if not is_reset:
            server = self._placement.server
            self._around.quarantine.broke(
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
        load.note_outcome(failed=failed, now=now)
        if not failed and not self._demand.service.is_model:
            load.note_service_time(Millis(now - self._sent_at))
        self.forget()

    def forget(self) -> None:
        """Free the call's place at the server, without an outcome."""
        if not self._is_counted:
            return
        self._is_counted = False
        self._load().calls.pop(self._demand.call_id, None)
        self._around.quarantine.ended(
            self._call.fingerprint,
            self._placement.server.endpoint,
        )

    def _load(self) -> ServerLoad:
        server_id = self._placement.server.server_id
        return self._around.selector.load(server_id)

    def _now(self) -> Millis:
        return self._around.clock.now()
