"""The INI file that names a workload and its faults."""

from dataclasses import dataclass
from pathlib import Path

from yuccagauge.clock import Millis
from yuccagauge.errors import NotFoundError, SettingsError
from yuccagauge.settings.options import (
    boolean_option,
    choice_option,
    float_option,
    integer_option,
    millis_option,
    text_option,
    words_option,
)
from yuccagauge.settings.reader import (
    RawSections,
    build_section,
    check_sections,
    named_sections,
    read_file,
)

_SHIPPED = Path(__file__).parent / 'workloads'
_MAXIMUM_TIME = 3_600_000
_MAXIMUM_COUNT = 1_000_000


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkloadSection:
    """``[workload]``: what runs for how long."""

    name: str = text_option('Name of the workload.')
    user: str = text_option('User whose traffic it is.')
    duration_ms: Millis = millis_option(
        'Time in which requests arrive.',
        minimum=1000,
        maximum=_MAXIMUM_TIME,
    )
    warmup_ms: Millis = millis_option(
        'First part of it that is not measured.',
        minimum=0,
        maximum=_MAXIMUM_TIME,
    )
    routers: int = integer_option(
        'Routers with separate state.',
        minimum=1,
        maximum=64,
    )
    data_centres: tuple[str, ...] = words_option('Data centres.')
    between_ms: float = float_option(
        'One way between data centres.',
        minimum=0,
        maximum=1000,
        unit='ms',
    )
    client_ms: float = float_option(
        'One way between clients and routers.',
        minimum=0,
        maximum=1000,
        unit='ms',
    )
    deadline_ms: Millis = millis_option(
        'Time to the first token after which an answer is late.',
        minimum=10,
        maximum=_MAXIMUM_TIME,
    )
    first_measure: str = choice_option(
        'What the user looks at first.',
        ('p99', 'waste'),
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class LevelsSection:
    """``[levels]``: sizes of the nested prompt parts, in tokens."""

    first_per_customer: int = integer_option(
        'First-level prefixes of a customer.',
        minimum=1,
        maximum=_MAXIMUM_COUNT,
    )
    first_tokens: tuple[str, ...] = words_option('Smallest and largest size.')
    second_per_first: int = integer_option(
        'Second-level prefixes below each first-level prefix.',
        minimum=1,
        maximum=_MAXIMUM_COUNT,
    )
    second_tokens: tuple[str, ...] = words_option('Smallest and largest size.')
    question_tokens: tuple[str, ...] = words_option(
        'Smallest and largest size of the part that is never shared.',
    )
    answer_tokens: tuple[str, ...] = words_option('Smallest and largest size.')
    one_message: bool = boolean_option(
        'Whether both levels stand in one message.',
        default=False,
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class ArrivalsSection:
    """``[arrivals]``: when requests arrive, and for whom."""

    requests_per_second: float = float_option(
        'Mean rate where the curve is 1.',
        minimum=0.01,
        maximum=100_000,
        unit='requests/s',
    )
    curve: tuple[str, ...] = words_option(
        'Points MS:FACTOR of the rate, joined by lines.',
    )
    session_requests: tuple[str, ...] = words_option(
        'Fewest and most requests for one second-level prefix in a row.',
    )
    session_gap_ms: Millis = millis_option(
        'Mean time between two requests of a session.',
        minimum=1,
        maximum=_MAXIMUM_TIME,
    )
    customers: int = integer_option(
        'Number of customers.',
        minimum=1,
        maximum=_MAXIMUM_COUNT,
    )
    customer_skew: float = float_option(
        'Exponent of the share of each customer by rank.',
        minimum=0,
        maximum=5,
    )
    first_skew: float = float_option(
        'The same for first-level prefixes.',
        minimum=0,
        maximum=5,
    )
    second_skew: float = float_option(
        'The same for second-level prefixes.',
        minimum=0,
        maximum=5,
    )
    client_retries: int = integer_option(
        'Times that a client comes back after Retry-After.',
        default=0,
        minimum=0,
        maximum=100,
    )
    urgent_share: float = float_option(
        'Share of sessions at priority 1 instead of 5.',
        default=0,
        minimum=0,
        maximum=1,
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class EnginesSection:
    """``[engines]``: the engine fakes."""

    count: int = integer_option(
        'Engines, spread over the data centres in turn.',
        minimum=1,
        maximum=10_000,
    )
    cache_tokens: int = integer_option(
        'Tokens that the prefix cache of an engine holds.',
        minimum=1,
        maximum=1_000_000_000,
        unit='tokens',
    )
    eviction: str = choice_option('Eviction order.', ('lru', 'fifo'))
    batch: int = integer_option(
        'Requests that decode at the same time.',
        minimum=1,
        maximum=10_000,
    )
    prefill_tokens_per_ms: float = float_option(
        'Prefill rate of an idle engine.',
        minimum=0.01,
        maximum=10_000,
        unit='tokens/ms',
    )
    prefill_overhead_ms: float = float_option(
        'Fixed time of a prefill.',
        minimum=0,
        maximum=1000,
        unit='ms',
    )
    decode_ms_per_token: float = float_option(
        'Time between two tokens.',
        minimum=0.01,
        maximum=1000,
        unit='ms',
    )
    decode_share: float = float_option(
        'Part of the prefill rate that each decoding request takes.',
        minimum=0,
        maximum=0.1,
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class SignalsSection:
    """``[signals]``: how routers learn about engines and each other."""

    report_interval_ms: Millis = millis_option(
        'Time between two load reports of an engine.',
        minimum=1,
        maximum=_MAXIMUM_TIME,
    )
    report_lag_ms: Millis = millis_option(
        'Age of a load report when a router gets it.',
        minimum=0,
        maximum=_MAXIMUM_TIME,
    )
    event_delay_ms: Millis = millis_option(
        'Age of a cache event when a router gets it.',
        minimum=0,
        maximum=_MAXIMUM_TIME,
    )
    event_share: float = float_option(
        'Share of the cache events that each router receives.',
        minimum=0,
        maximum=1,
    )
    event_loss: float = float_option(
        'Share of these that are lost.',
        minimum=0,
        maximum=1,
    )
    notice_interval_ms: Millis = millis_option(
        'Time between two sends of placement notices; 0 sends none.',
        minimum=0,
        maximum=_MAXIMUM_TIME,
    )
    peer_interval_ms: Millis = millis_option(
        'Time between two exchanges of hot prefixes with a peer.',
        minimum=1,
        maximum=_MAXIMUM_TIME,
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class FaultSection:
    """``[fault NAME]``: one fault."""

    kind: str = text_option('Kind of the fault.')
    at_ms: Millis = millis_option(
        'When it begins.',
        minimum=0,
        maximum=_MAXIMUM_TIME,
    )
    duration_ms: Millis = millis_option(
        'How long its cause lasts.',
        minimum=1,
        maximum=_MAXIMUM_TIME,
    )
    count: int = integer_option(
        'How many engines, routers or data centres it hits.',
        default=1,
        minimum=1,
        maximum=10_000,
    )
    share: float = float_option(
        'Share of traffic or events that it hits.',
        default=1,
        minimum=0,
        maximum=1,
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class Workload:
    """A checked workload file."""

    workload: WorkloadSection
    levels: LevelsSection
    arrivals: ArrivalsSection
    engines: EnginesSection
    signals: SignalsSection
    faults: dict[str, FaultSection]

    @property
    def is_calm(self) -> bool:
        """Whether there is no fault."""
        return not self.faults


_SECTIONS = {
    'workload': WorkloadSection,
    'levels': LevelsSection,
    'arrivals': ArrivalsSection,
    'engines': EnginesSection,
    'signals': SignalsSection,
}


def shipped_workloads() -> tuple[Path, ...]:
    """Return the files that ``make bench`` runs, in order of name."""
    return tuple(sorted(_SHIPPED.glob('*.ini')))


def load_workload(path: str) -> Workload:
    """Read a workload file.

    ``extends`` in ``[workload]`` names a file in the same folder whose
    keys hold where the file does not set them.

    Raises
    ------
    SettingsError
        If anything in the file is wrong.
    """
    raw = _read_extended(Path(path))
    check_sections(raw, frozenset(_SECTIONS), frozenset(('fault',)), path)
    sections = {
        name: build_section(kind, raw, name, path)
        for name, kind in _SECTIONS.items()
    }
    faults = {
        name: build_section(FaultSection, raw, section, path)
        for name, section in sorted(named_sections(raw, 'fault').items())
    }
    return Workload(**sections, faults=faults)


def find_workload(name: str) -> str:
    """Return the path of a file, or of a shipped workload by name.

    Raises
    ------
    NotFoundError
        If there is neither.
    """
    for path in (Path(name), _SHIPPED / name, _SHIPPED / f'{name}.ini'):
        if path.is_file():
            return str(path)
    raise NotFoundError(f'no workload file {name!r}')


def _read_extended(path: Path) -> RawSections:
    own = {name: dict(keys) for name, keys in read_file(str(path)).items()}
    base_name = own.get('workload', {}).pop('extends', '')
    if not base_name:
        return own
    if base_name == path.name:
        raise SettingsError(
            str(path),
            'workload',
            'extends',
            base_name,
            'another file',
        )
    merged = {**_read_extended(path.with_name(base_name))}
    for name, keys in own.items():
        merged[name] = {**merged.get(name, {}), **keys}
    return merged
