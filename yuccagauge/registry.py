"""Registries of named classes, filled by class decorators."""

from collections.abc import Callable
from typing import Generic, TypeVar

from yuccagauge.errors import NotFoundError

MemberT = TypeVar('MemberT', bound=type)


class Registry(Generic[MemberT]):
    """Looks up classes by their ``name`` or one of their ``aliases``.

    Parameters
    ----------
    kind
        Kind of the members in error messages, such as ``placement policy``.
    not_found
        Error that a failed lookup raises.
    """

    def __init__(
        self,
        kind: str,
        not_found: type[NotFoundError] = NotFoundError,
    ) -> None:
        """Create an empty registry."""
        self._kind = kind
        self._not_found = not_found
        self._members: dict[str, MemberT] = {}
        self._names: list[str] = []

    @property
    def names(self) -> tuple[str, ...]:
        """The names of all members without aliases, in alphabetical order."""
        return tuple(sorted(self._names))

    @property
    def register(self) -> Callable[[MemberT], MemberT]:
        """The class decorator that adds a member."""
        return self._add

    def get(self, name: str) -> MemberT:
        """Return the member with this name or alias.

        Raises
        ------
        NotFoundError
            If there is none; the message lists the known names.
        """
        try:
            return self._members[name]
        except KeyError:
            known = ', '.join(self.names)
            raise self._not_found(
                f'no {self._kind} named {name!r} (known: {known})',
            ) from None

    def _add(self, member: MemberT) -> MemberT:
        for name in (member.name, *member.aliases):
            if name in self._members:
                raise ValueError(f'{self._kind} {name!r} is registered twice')
            self._members[name] = member
        self._names.append(member.name)
        return member
