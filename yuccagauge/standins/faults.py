"""Faults that a test sets at run time, as options with defaults."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

from yuccagauge.clock import Millis
from yuccagauge.settings.options import (
    boolean_option,
    float_option,
    integer_option,
    millis_option,
    text_option,
)
from yuccagauge.settings.reader import build_section

FaultsT = TypeVar('FaultsT')

_SECTION = 'faults'
_HOUR_MS = 3_600_000
_MAXIMUM_COUNT = 1_000_000


def _delay(help_text: str, default: int = 0) -> Any:
    return millis_option(
        help_text,
        default=Millis(default),
        minimum=0,
        maximum=_HOUR_MS,
    )


def _share(help_text: str) -> Any:
    return float_option(help_text, default=0, minimum=0, maximum=1)


def _count(help_text: str) -> Any:
    return integer_option(
        help_text,
        default=None,
        minimum=0,
        maximum=_MAXIMUM_COUNT,
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreFaults:
    """Faults of every store: the VM list, kept KV and weights."""

    outage: bool = boolean_option('Answer 503 to all.', default=False)
    delay_ms: Millis = _delay('Wait before each answer.')
    refuse_connections: Millis = _delay('Close the port for this long.')


@dataclass(frozen=True, slots=True, kw_only=True)
class VmListFaults(StoreFaults):
    """Faults of the VM list."""

    lag_ms: Millis = _delay('Age of the list that is served.')


@dataclass(frozen=True, slots=True, kw_only=True)
class LogFaults(StoreFaults):
    """Faults of the append-only log."""

    append_rate: float = float_option(
        'Limit on appends, above which 429 is answered.',
        default=500,
        minimum=0,
        maximum=1_000_000,
        unit='appends/s',
    )
    retention_ms: Millis = millis_option(
        'Age at which records are trimmed.',
        default=Millis(86_400_000),
        minimum=1,
        maximum=10**12,
    )
    lose_answers: float = _share(
        'Share of appends that take effect and get no proper answer.',
    )
    trim_to: str = text_option(
        'OFFSET or STREAM:OFFSET; older records are trimmed at once.',
        default='',
    )
    restore_to: str = text_option(
        'OFFSET or STREAM:OFFSET; records from there on are lost at once, and '
        'the era rises.',
        default='',
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerFaults:
    """Faults of every backend server."""

    crash: bool = boolean_option('Crash now, once.', default=False)
    restart_ms: Millis = _delay('Time from a crash to the restart.', 300)
    crash_resets: bool = boolean_option(
        'Reset connections at a crash; else they end as those of a killed '
        'process.',
        default=True,
    )
    crash_on: str = text_option(
        'Text that crashes the server when a request contains it.',
        default='',
    )
    refuse_connections: Millis = _delay('Close the port for this long.')
    delay_ms: Millis = _delay('Wait before each request is started.')
    not_run: bool = boolean_option(
        'Answer 503 with Yuccagauge-Not-Run and execute nothing.',
        default=False,
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class PlainFaults(ServerFaults):
    """Faults of a plain service."""

    cut_before_answer: float = _share(
        'Share of executed calls whose connection is cut unanswered.',
    )
    unframed: float = _share(
        'Share of answers that have neither a length nor chunks.',
    )
    status: int = integer_option(
        'Status of the answers to executed calls.',
        default=200,
        minimum=200,
        maximum=599,
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineFaults(ServerFaults):
    """Faults of a model engine."""

    stall_after_events: int | None = _count(
        'Send nothing more on a connection after this many events.',
    )
    cut_after_events: int | None = _count(
        'Cut a connection after this many events.',
    )
    event_loss: float = _share('Share of cache events that are lost.')
    event_delay_ms: Millis = _delay('Age at which cache events are shown.')
    load_lag_ms: Millis = _delay('Age of the load report that is served.')
    check_fence: bool = boolean_option(
        'Refuse orders with an old fence.',
        default=True,
    )


class FaultBoard(dict[str, str]):
    """The knobs that differ from their defaults, as text.

    Parameters
    ----------
    kind
        The data class of the faults.
    """

    def __init__(self, kind: type[FaultsT]) -> None:
        """Start with all defaults."""
        super().__init__()
        self._kind = kind

    def build(self) -> FaultsT:
        """Return the faults in force."""
        return build_section(self._kind, {_SECTION: self}, _SECTION, _SECTION)

    def set_knobs(self, knobs: Mapping[str, Any]) -> FaultsT:
        """Change some knobs; ``None`` or an empty text restores a default.

        Raises
        ------
        SettingsError
            If a knob is unknown or a value is wrong; nothing changes then.
        """
        merged = {**self, **{key: _text(knobs[key]) for key in knobs}}
        kept = {key: text for key, text in merged.items() if text}
        faults = build_section(self._kind, {_SECTION: kept}, _SECTION, 'PUT')
        self.clear()
        self.update(kept)
        return faults


def _text(value: Any) -> str:
    if value is None:
        return ''
    if isinstance(value, bool):
        return str(int(value))
    return str(value)
