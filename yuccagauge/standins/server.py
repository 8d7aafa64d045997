"""What the two kinds of backend servers share: crashes and refusals."""

from twisted.internet import reactor
from twisted.web.http import Request

from yuccagauge.standins.base import Standin, json_answer
from yuccagauge.standins.faults import ServerFaults

#: Lets the answer to ``PUT /_faults`` leave before the crash.
_CRASH_DELAY_SECONDS = 0.02

NOT_RUN_HEADER = 'Yuccagauge-Not-Run'


class ServerStandin(Standin):
    """A backend server that can crash and come back empty."""

    faults_kind = ServerFaults

    def faults_changed(self) -> None:
        """Crash if that was asked for."""
        if self._faults.crash:
            self._board.pop('crash')
            self._faults = self._board.build()
            reactor.callLater(_CRASH_DELAY_SECONDS, self.crash)
            return
        super().faults_changed()

    def crash(self) -> None:
        """Cut all connections, forget all state, come back later."""
        self.record('crashed')
        self._listener.interrupt(self._faults.restart_ms, self._restarted)
        self._listener.cut(is_reset=self._faults.crash_resets)
        self.forget()

    def forget(self) -> None:
        """Lose the state that lives in memory."""

    def _restarted(self) -> None:
        self.record('restarted')

    def _refuse_unexecuted(self, request: Request) -> bytes:
        request.setHeader(NOT_RUN_HEADER, 'true')
        return json_answer(request, {'error': 'not run'}, 503)
