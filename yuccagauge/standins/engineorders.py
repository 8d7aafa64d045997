"""Orders to an engine: what it has loaded, its role and its fence."""

from collections.abc import Mapping
from typing import Any, Protocol

from yuccagauge.standins.base import BadRequestError

_NO_FENCE = -1


class StartingState(Protocol):
    """What an engine has loaded when it starts."""

    models: tuple[str, ...]
    adapters: tuple[str, ...]
    weights_version: str
    role: str


class EngineOrders:
    """What the orders so far have made of an engine.

    Parameters
    ----------
    start
        What is loaded at the start.
    """

    def __init__(self, start: StartingState) -> None:
        """Take over the starting state."""
        self._models = set(start.models)
        self._adapters = set(start.adapters)
        self._weights_version = start.weights_version
        self._role = start.role
        self._fence = _NO_FENCE
        self._effects = {
            'load-version': self._load_version,
            'load-model': self._load_model,
            'load-adapter': self._load_adapter,
            'set-role': self._set_role,
        }

    @property
    def models(self) -> frozenset[str]:
        """The loaded models, and their adapters as ``MODEL:ADAPTER``."""
        adapted = {
            f'{model}:{adapter}'
            for model in self._models
            for adapter in self._adapters
        }
        return frozenset(self._models | adapted)

    @property
    def weights_version(self) -> str:
        """The version of the weights in use."""
        return self._weights_version

    @property
    def role(self) -> str:
        """The role in use."""
        return self._role

    @property
    def fence(self) -> int:
        """The highest fence that came with an order, or -1."""
        return self._fence

    @property
    def summary(self) -> dict[str, Any]:
        """The whole state, for answers."""
        return {
            'models': sorted(self._models),
            'adapters': sorted(self._adapters),
            'weights_version': self._weights_version,
            'role': self._role,
            'fence': self._fence,
        }

    def accept(self, order: Mapping[str, Any], check_fence: bool) -> bool:
        """Return whether the fence of an order allows it.

        Raises
        ------
        BadRequestError
            If the order has no known kind or no whole-numbered fence.
        """
        if order.get('kind') not in self._effects:
            known = ', '.join(self._effects)
            raise BadRequestError(f'kind is not one of {known}')
        fence = order.get('fence')
        if not isinstance(fence, int):
            raise BadRequestError('fence is not a whole number')
        if check_fence and fence < self._fence:
            return False
        self._fence = max(self._fence, fence)
        return True

    def apply(self, order: Mapping[str, Any]) -> bool:
        """Carry out an order; return whether the weights have changed.

        Raises
        ------
        BadRequestError
            If a field of the order is missing.
        """
        before = self._weights_version
        try:
            self._effects[order['kind']](order)
        except KeyError as error:
            raise BadRequestError(f'the order lacks {error}') from None
        return self._weights_version != before

    def _load_version(self, order: Mapping[str, Any]) -> None:
        self._weights_version = str(order['version'])

    def _load_model(self, order: Mapping[str, Any]) -> None:
        self._models.add(str(order['model']))

    def _load_adapter(self, order: Mapping[str, Any]) -> None:
        self._adapters.add(str(order['adapter']))

    def _set_role(self, order: Mapping[str, Any]) -> None:
        self._role = str(order['role'])
