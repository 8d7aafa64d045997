"""Protocol objects as immutable, hashable values of a state."""

import copy
import dataclasses
import functools
from collections import deque
from collections.abc import Callable, Hashable, Mapping
from typing import Any, Generic, TypeVar

ObjectT = TypeVar('ObjectT')

_INTERNED: dict['Value', 'Value'] = {}


class Value(Generic[ObjectT]):
    """An object that is compared by its contents and never changed.

    Parameters
    ----------
    wrapped
        The object; nobody else may change it.
    """

    __slots__ = ('_frozen', '_hash', '_wrapped')

    def __init__(self, wrapped: ObjectT) -> None:
        """Freeze the contents for comparisons."""
        self._wrapped = wrapped
        self._frozen = freeze(wrapped)
        self._hash = hash(self._frozen)

    @property
    def wrapped(self) -> ObjectT:
        """The object, to read from."""
        return self._wrapped

    def __hash__(self) -> int:
        """Hash by contents."""
        return self._hash

    def __eq__(self, other: object) -> bool:
        """Compare by contents."""
        if not isinstance(other, Value):
            return NotImplemented
        return self._frozen == other._frozen

    def __repr__(self) -> str:
        """Show the contents."""
        return f'Value({self._frozen})'

    def after(
        self,
        change: Callable[..., Any],
        *arguments: Any,
    ) -> tuple['Value[ObjectT]', Any]:
        """Return the value after a change, and what the change returned."""
        return _after(self, change, arguments)

    def mapped(
        self,
        function: Callable[..., Any],
        *arguments: Any,
    ) -> 'Value[ObjectT]':
        """Return the value of a pure function of the object."""
        return _mapped(self, function, arguments)


def freeze(item: Any) -> Hashable:
    """Return a hashable form of an object's contents."""
    if isinstance(item, Mapping):
        pairs = ((freeze(key), freeze(entry)) for key, entry in item.items())
        return frozenset(pairs)
    if isinstance(item, list | tuple | deque):
        return tuple(map(freeze, item))
    if isinstance(item, set | frozenset):
        return frozenset(map(freeze, item))
    if dataclasses.is_dataclass(item) and not isinstance(item, type):
        return tuple(
            freeze(getattr(item, field.name))
            for field in dataclasses.fields(item)
        )
    if hasattr(item, '__dict__') and not callable(item):
        return freeze(vars(item))
    return item


def intern(item: ObjectT) -> Value[ObjectT]:
    """Return the one value with an object's contents.

    Equal values are then mostly the same object, which compares fast.
    """
    value = Value(item)
    return _INTERNED.setdefault(value, value)


def clear_memory() -> None:
    """Forget all changes; needed after a rule was replaced."""
    _after.cache_clear()
    _mapped.cache_clear()
    _INTERNED.clear()


@functools.lru_cache(maxsize=200_000)
def _after(
    value: Value,
    change: Callable[..., Any],
    arguments: tuple,
) -> tuple[Value, Any]:
    changed = copy.deepcopy(value.wrapped)
    result = change(changed, *arguments)
    return intern(changed), result


@functools.lru_cache(maxsize=200_000)
def _mapped(
    value: Value,
    function: Callable[..., Any],
    arguments: tuple,
) -> Value:
    return intern(function(value.wrapped, *arguments))
