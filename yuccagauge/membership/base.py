"""Members, their states and the interface of the membership."""

import enum
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from yuccagauge.settings.options import Endpoint
from yuccagauge.wire.messages import MemberUpdate


@enum.unique
class MemberState(enum.IntEnum):
    """States of a member; at one incarnation the higher number wins."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


#: States of members that may still be asked; a suspect often is healthy.
LIVE_STATES = frozenset((MemberState.ALIVE, MemberState.SUSPECT))


@dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """One router as this router sees it."""

    name: str
    peer: Endpoint
    data_centre: str
    region: str
    incarnation: int
    state: MemberState

    @property
    def is_live(self) -> bool:
        """Whether the member may be asked."""
        return self.state in LIVE_STATES

    @property
    def precedence(self) -> tuple[int, int]:
        """Order of statements about one member; the greatest holds."""
        return (self.incarnation, int(self.state))


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberChange:
    """A member that was added, removed or changed its state."""

    member: Member
    #: The state before; ``None`` if the member was unknown.
    previous: MemberState | None
    #: Whether the member was forgotten.
    removed: bool = False


#: Called after each change.
MemberListener = Callable[[MemberChange], None]


class Membership(Protocol):
    """What other packages see of the membership."""

    @property
    def own(self) -> Member:
        """This router."""

    def members(self) -> tuple[Member, ...]:
        """Return all known members with this one, by name."""

    def live(self, data_centre: str | None = None) -> tuple[Member, ...]:
        """Return the live members with this one, by name."""

    def add_listener(self, listener: MemberListener) -> None:
        """Call a function after each change."""

    def leave(self) -> None:
        """Tell the others that this router takes no new work soon."""

    def start(self) -> Any:
        """Join the fleet."""

    def close(self) -> Any:
        """Stop without a word, as a crash does."""


def update_of(member: Member, reporter: str = '') -> MemberUpdate:
    """Return the message about a member."""
    return MemberUpdate(
        name=member.name,
        peer=member.peer,
        data_centre=member.data_centre,
        region=member.region,
        incarnation=member.incarnation,
        state=int(member.state),
        reporter=reporter,
    )


def member_of(update: MemberUpdate) -> Member:
    """Return the member that a message describes.

    Raises
    ------
    ValueError
        If the state is unknown.
    """
    return Member(
        name=update.name,
        peer=update.peer,
        data_centre=update.data_centre,
        region=update.region,
        incarnation=update.incarnation,
        state=MemberState(update.state),
    )
