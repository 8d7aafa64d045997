"""Settings of a model engine."""

from dataclasses import dataclass

from yuccagauge.clock import Millis
from yuccagauge.settings.options import (
    float_option,
    integer_option,
    millis_option,
    text_option,
    words_option,
)

_MAXIMUM_RATE = 1_000_000_000


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineSection:
    """``[engine]``: what the engine runs and how fast."""

    models: tuple[str, ...] = words_option(
        'Models that are loaded at the start.',
        default=('matcher-70b',),
    )
    adapters: tuple[str, ...] = words_option(
        'Adapters that are loaded at the start.',
        default=(),
    )
    weights_version: str = text_option(
        'Version of the weights that is loaded at the start.',
        default='w1',
    )
    role: str = text_option('Role at the start.', default='serve')
    total_blocks: int = integer_option(
        'Size of the prefix cache.',
        default=4096,
        minimum=1,
        maximum=10_000_000,
        unit='blocks',
    )
    prefill_tokens_per_second: float = float_option(
        'Speed of computing prompts, shared by the batch.',
        default=20_000,
        minimum=1,
        maximum=_MAXIMUM_RATE,
        unit='tokens/s',
    )
    decode_tokens_per_second: float = float_option(
        'Speed of each answer.',
        default=100,
        minimum=1,
        maximum=1_000_000,
        unit='tokens/s',
    )
    max_running: int = integer_option(
        'Most sequences in the batch.',
        default=32,
        minimum=1,
        maximum=10_000,
    )
    step_ms: Millis = millis_option(
        'Time between two steps of the batch.',
        default=Millis(5),
        minimum=1,
        maximum=1000,
    )
    resume_ms: Millis = millis_option(
        'How long a stream without a connection is kept.',
        default=Millis(10_000),
        minimum=0,
        maximum=600_000,
    )
    import_tokens_per_second: float = float_option(
        'Speed of importing kept KV.',
        default=200_000,
        minimum=1,
        maximum=_MAXIMUM_RATE,
        unit='tokens/s',
    )
    load_ms: Millis = millis_option(
        'Time that loading weights takes.',
        default=Millis(200),
        minimum=0,
        maximum=600_000,
    )
