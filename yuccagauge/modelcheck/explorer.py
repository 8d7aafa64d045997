"""Breadth-first exploration of all states of a specification."""

import gc
from collections.abc import Hashable, Iterable
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

StateT = TypeVar('StateT', bound=Hashable)


class Specification(Protocol[StateT]):
    """A transition system with properties of its states."""

    @property
    def properties(self) -> tuple[str, ...]:
        """Names of what ``violation`` checks."""

    def initial(self) -> Iterable[StateT]:
        """Return the initial states."""

    def successors(self, state: StateT) -> Iterable[tuple[str, StateT]]:
        """Return every possible next state, with the action's name."""

    def violation(self, state: StateT) -> str | None:
        """Return the property that a state violates, if any."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Exploration(Generic[StateT]):
    """What an exploration found."""

    states: int
    #: Actions from an initial state to the farthest state.
    depth: int
    #: Whether every reachable state was seen.
    is_complete: bool
    #: The violated property, or ``None``.
    violated: str | None
    #: Action names that lead to the violation, shortest first found.
    trace: tuple[str, ...]


def explore(
    specification: Specification[StateT],
    *,
    maximum_states: int,
) -> Exploration[StateT]:
    """Visit all reachable states, nearest first.

    Parameters
    ----------
    specification
        What to explore.
    maximum_states
        Bound on the number of states; the exploration is not complete if it
        is reached.
    """
    # The states are trees without cycles; the collector would walk through
    # all of them again and again.
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        return _explore(specification, maximum_states)
    finally:
        if was_enabled:
            gc.enable()


def _explore(
    specification: Specification[StateT],
    maximum_states: int,
) -> Exploration[StateT]:
    came_from: dict[StateT, tuple[StateT | None, str]] = {}
    level: list[StateT] = []
    for state in specification.initial():
        came_from[state] = (None, '')
        level.append(state)
    depth = 0
    while level:
        following: list[StateT] = []
        for state in level:
            violated = specification.violation(state)
            if violated is not None:
                return Exploration(
                    states=len(came_from),
                    depth=depth,
                    is_complete=False,
                    violated=violated,
                    trace=_trace(came_from, state),
                )
            for action, successor in specification.successors(state):
                if successor not in came_from:
                    came_from[successor] = (state, action)
                    following.append(successor)
        if len(came_from) > maximum_states:
            break
        level = following
        depth += 1 if following else 0
    return Exploration(
        states=len(came_from),
        depth=depth,
        is_complete=len(came_from) <= maximum_states,
        violated=None,
        trace=(),
    )


def _trace(
    came_from: dict[StateT, tuple[StateT | None, str]],
    state: StateT,
) -> tuple[str, ...]:
    actions: list[str] = []
    current: StateT | None = state
    while current is not None:
        current, action = came_from[current]
        if current is not None:
            actions.append(action)
    return tuple(reversed(actions))
