"""Builds the messages that a router sends to others."""

from collections.abc import Callable
from typing import Any

from yuccagauge.clock import Clock, Millis
from yuccagauge.directory.state import Directory, Topic
from yuccagauge.exchange import parts as message_parts
from yuccagauge.exchange.merger import MessageMerger
from yuccagauge.exchange.notifications import RecentWeights
from yuccagauge.quarantine.base import Quarantine
from yuccagauge.quarantine.parts import PartQuarantine
from yuccagauge.selection.selector import Selector
from yuccagauge.settings.options import Endpoint
from yuccagauge.wire.fleetmessages import FleetExchange

#: Other routers that one message lists. Each router asks a few others each
#: period, so the time when a live router was last seen reaches a hundred
#: others well before they would count it as dead.
MAXIMUM_MEMBERS = 24


class MessageBuilder:
    """Builds messages from the state of this router.

    Parameters
    ----------
    name, endpoint, data_centre
        Identity, peer address and data centre of this router.
    directory, selector, quarantine, part_quarantine, merger
        Hold the state that is sent.
    clock
        The source of time.
    random_fraction
        Returns a random number from 0 to 1.
    confirmation_age
        Returns the time since the store confirmed this router's records of a
        topic.
    """

    def __init__(
        self,
        name: str,
        endpoint: Endpoint,
        data_centre: str,
        *,
        directory: Directory,
        selector: Selector,
        quarantine: Quarantine,
        part_quarantine: PartQuarantine,
        merger: MessageMerger,
        clock: Clock,
        random_fraction: Callable[[], float],
        confirmation_age: Callable[[Topic, Millis], Millis],
    ) -> None:
        """Build messages of a router that goes on."""
        self._name = name
        self._endpoint = endpoint
        self._data_centre = data_centre
        self._directory = directory
        self._selector = selector
        self._quarantine = quarantine
        self._part_quarantine = part_quarantine
        self._merger = merger
        self._clock = clock
        self._random_fraction = random_fraction
        self._confirmation_age = confirmation_age
        #: Whether this router stops.
        self.is_leaving = False
        self.recent_weights = RecentWeights()

    def build(
        self, *, full_state: bool = False, peer_marks: Any = (), **parts: Any
    ) -> FleetExchange:
        """Return a message of this router.

        Parameters
        ----------
        full_state
            Whether it has the state that routers exchange periodically.
        peer_marks
            Marks of the peer that the message answers.
        parts
            Further parts of the message.
        """
        now = self._clock.now()
        if full_state:
            members = self._merger.members.sample(
                MAXIMUM_MEMBERS, now, self._random_fraction
            )
            parts.update(
                members=message_parts.members(members, now),
                **self.load_parts(now, peer_marks),
                suspicions=message_parts.suspicions(
                    self._quarantine.recent_suspicions(
                        message_parts.MAXIMUM_SUSPICIONS, now
                    ),
                ),
                parts=message_parts.part_evidence(
                    self._part_quarantine.evidence(
                        message_parts.MAXIMUM_PARTS, now
                    )
                ),
                leaving=message_parts.leaving(
                    self._selector.statements.leaving(
                        message_parts.MAXIMUM_LEAVING
                    ),
                    now,
                ),
                weights=self.recent_weights.messages(now),
                **message_parts.versions(self._selector.versions, now),
                limits=message_parts.limits(
                    self._selector.limits.reports(
                        message_parts.MAXIMUM_LIMITS, now
                    )
                ),
                brittle=message_parts.limits(
                    self._selector.brittle.stated.reports(
                        message_parts.MAXIMUM_LIMITS, now
                    )
                ),
            )
        parts.setdefault('leaves', self.is_leaving)
        parts['cannot_lead'] = self._merger.standings.cannot_lead
        return FleetExchange(
            name=self._name,
            endpoint=self._endpoint,
            data_centre=self._data_centre,
            **parts,
        )

    def load_parts(self, now: Millis, peer_marks: Any = ()) -> dict[str, Any]:
        """Return this router's calls, and the offsets that they need."""
        return {
            'marks': message_parts.marks(
                self._directory,
                {topic: self._confirmation_age(topic, now) for topic in Topic},
                peer_marks,
            ),
            'loads': message_parts.loads(self._selector.loads),
        }
