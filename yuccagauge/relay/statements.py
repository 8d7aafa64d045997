"""Records what the heads of responses state about their servers."""

from yuccagauge.clock import Clock, Millis
from yuccagauge.directory.base import BackendServer
from yuccagauge.directory.state import Directory
from yuccagauge.relay.base import ResponseInfo
from yuccagauge.selection.selector import Selector

#: Characters of a malformed statement that are logged.
_LOGGED_CHARACTERS = 40


class StatementRecorder:
    """Records the statements of servers in their answers.

    Parameters
    ----------
    directory, selector
        Know the servers, and what they state.
    clock
        The source of time.
    """

    def __init__(
        self, directory: Directory, selector: Selector, clock: Clock
    ) -> None:
        """Record nothing yet."""
        self._directory = directory
        self._selector = selector
        self._clock = clock

    def record(
        self, server: BackendServer, info: ResponseInfo, sent_at: Millis
    ) -> None:
        """Record what a response states.

        Parameters
        ----------
        server
            The server that was asked.
        sent_at
            When the call that is answered was sent.
        """
        self._record_rate_limit(server.server_id, info, sent_at)
        self._record_if_brittle(server.server_id, info, sent_at)
        stating: BackendServer | None = server
        if info.is_misdirected and info.server_id:
            # The address belongs to another server now.
            stating = self._directory.servers.get(info.server_id)
        if stating is not None:
            statements = self._selector.statements
            statements.record(stating, info, self._clock.now())

    def _record_rate_limit(
        self, server_id: str, info: ResponseInfo, sent_at: Millis
    ) -> None:
        limits = self._selector.limits
        if info.shows_rate_limit:
            limits.record_answer(
                server_id, info.rate_limit, sent_at, self._clock.now()
            )
        elif info.malformed_rate_limit:
            limits.record_malformed(server_id, info.malformed_rate_limit)

    def _record_if_brittle(
        self, server_id: str, info: ResponseInfo, sent_at: Millis
    ) -> None:
        stated = self._selector.brittle.stated
        if info.shows_if_brittle:
            stated.record_answer(
                server_id, info.allowed_rejections, sent_at, self._clock.now()
            )
        elif info.malformed_rejections:
            text = info.malformed_rejections[:_LOGGED_CHARACTERS]
            stated.record_malformed(server_id, text)
