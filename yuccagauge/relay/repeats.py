"""Counts the sends and runs of one call, and bounds them."""

from yuccagauge.clock import Millis
from yuccagauge.directory.base import Route, RouteKind
from yuccagauge.relay.base import RelayCall
from yuccagauge.relay.context import RelayContext
from yuccagauge.relay.response import ResponseForwarder

#: Sends of one call, including those that a server rejected without a run.
MAXIMUM_SENDS_PER_CALL = 3

#: A call is not sent again with less time left than this, because no server
#: could answer it before the deadline.
MINIMUM_RETRY_TIME = Millis(30)


class CallRepeats:
    """Decides whether a call may be sent again.

    Parameters
    ----------
    call
        The call.
    context
        What all calls share.
    """

    def __init__(self, call: RelayCall, context: RelayContext) -> None:
        """Start with a call that has not been sent."""
        self._call = call
        self._context = context
        self._sends = 0
        self._runs = 0
        #: Whether a retry of the budget is spent for the next send.
        self._has_spent = False
        self._obstacle = ''
        #: Whether a retry was spent for the latest send.
        self._has_spent_for_send = False

    @property
    def route(self) -> Route:
        """The route of the call."""
        return self._call.route

    @property
    def is_retryable(self) -> bool:
        """Whether the call may run more than once."""
        return self._call.route.is_retryable

    @property
    def allows_another_run(self) -> bool:
        """Whether the call may run once more after the present attempt."""
        return self._runs + 1 < self._call.route.attempts

    @property
    def obstacle(self) -> str:
        """Why the call was not sent again when that was last wanted, if so."""
        return self._obstacle

    def record_send(self) -> None:
        """Count a send."""
        self._sends += 1
        self._obstacle = ''
        self._has_spent_for_send = self._has_spent
        self._has_spent = False

    def return_send(self) -> None:
        """Take the latest send back, whose request has not left."""
        self._sends -= 1
        self._has_spent = self._has_spent_for_send

    def record_run(self) -> None:
        """Count an attempt that ran, or may have run."""
        self._runs += 1

    def may_run_again(self, response: ResponseForwarder) -> bool:
        """Return whether a call that may have run may be sent again.

        Parameters
        ----------
        response
            What the caller has of the answer.
        """
        self._obstacle = self._obstacle_to_run(response, self._runs)
        return not self._obstacle

    def may_move(self, response: ResponseForwarder) -> bool:
        """Return whether the call may be sent again if the present run fails.

        Parameters
        ----------
        response
            What the caller has of the answer.
        """
        return not self._obstacle_to_run(response, self._runs + 1)

    def try_run_again(self, response: ResponseForwarder) -> bool:
        """Return ``may_run_again``; if so, spend a retry of the budget."""
        return self.may_run_again(response) and self.try_send_again()

    def try_send_again(self) -> bool:
        """Return whether the call may be sent again; if so, spend a retry."""
        self._obstacle = self._obstacle_to_send()
        if self._obstacle:
            return False
        self._has_spent = self._context.try_spend_retry(self._call.service)
        if not self._has_spent:
            self._obstacle = 'budget'
        return self._has_spent

    def close(self) -> None:
        """Return a retry that was spent for a send that did not follow."""
        if self._has_spent:
            self._has_spent = False
            self._context.return_retry(self._call.service)

    def _obstacle_to_run(self, response: ResponseForwarder, runs: int) -> str:
        is_stream = self._call.route.kind is RouteKind.STREAMING
        if runs >= self._call.route.attempts:
            return 'attempts'
        if not self.is_retryable or (response.has_started and not is_stream):
            return 'runs_once'
        if not response.can_be_continued:
            return 'unnumbered'
        return self._obstacle_to_send()

    def _obstacle_to_send(self) -> str:
        if self._sends >= MAXIMUM_SENDS_PER_CALL:
            return 'sends'
        if self._call.is_probe:
            return 'probe'
        remaining = self._call.deadline - self._context.clock.now()
        return '' if remaining >= MINIMUM_RETRY_TIME else 'time'
