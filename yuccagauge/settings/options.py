"""Option fields of settings sections: how each key is parsed and bounded.

A section is a frozen data class; each of its fields is made by one of the
functions here, which keeps the parser, the unit and the help text in the
metadata of the field.
"""

import dataclasses
import ipaddress
from collections.abc import Callable
from typing import Any

from yuccagauge.clock import Millis

#: The key of an option in the metadata of a data class field.
OPTION = 'option'

_TRUE_WORDS = frozenset(('yes', 'true', 'on', '1'))
_FALSE_WORDS = frozenset(('no', 'false', 'off', '0'))
_HIGHEST_PORT = 65535


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Option:
    """How one key of a section is read."""

    #: Turns the text into the value, or raises ``ValueError``.
    parse: Callable[[str], Any]
    #: What a correct value looks like, for error messages and the docs.
    expected: str
    #: The unit of the value; empty where it has none.
    unit: str
    #: One sentence on the meaning.
    help: str


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Endpoint:
    """An IP address and a port."""

    #: The address in text form.
    host: str
    #: The port, 0 to 65535; 0 lets the system choose when listening.
    port: int

    def __str__(self) -> str:
        """Return the form that ``parse_endpoint`` reads."""
        host = f'[{self.host}]' if ':' in self.host else self.host
        return f'{host}:{self.port}'


def parse_endpoint(text: str) -> Endpoint:
    """Read ``ADDRESS:PORT``, with brackets around an IPv6 address.

    Raises
    ------
    ValueError
        If the address is not an IP number or the port is out of range.
    """
    host, _, port = text.rpartition(':')
    address = str(ipaddress.ip_address(host.strip('[]')))
    number = int(port)
    if not 0 <= number <= _HIGHEST_PORT:
        raise ValueError(f'port {number} is out of range')
    return Endpoint(address, number)


def parse_boolean(text: str) -> bool:
    """Read yes/no, true/false, on/off or 1/0.

    Raises
    ------
    ValueError
        If the text is none of these words.
    """
    word = text.lower()
    if word in _TRUE_WORDS:
        return True
    if word in _FALSE_WORDS:
        return False
    raise ValueError(f'{text!r} is not a boolean')


def text_option(help_text: str, *, default: Any = dataclasses.MISSING) -> Any:
    """Declare a non-empty text; ``default`` may be empty."""
    return _field(_non_empty, 'a non-empty text', '', help_text, default)


def choice_option(
    help_text: str,
    choices: tuple[str, ...],
    *,
    default: Any = dataclasses.MISSING,
) -> Any:
    """Declare one of a fixed set of words."""

    def parse(text: str) -> str:
        if text not in choices:
            raise ValueError(text)
        return text

    return _field(parse, f'one of {", ".join(choices)}', '', help_text, default)


def integer_option(
    help_text: str,
    *,
    minimum: int,
    maximum: int,
    unit: str = '',
    default: Any = dataclasses.MISSING,
) -> Any:
    """Declare a whole number within inclusive bounds."""
    expected = f'a whole number from {minimum} to {maximum}'
    return _field(
        _bounded(int, minimum, maximum),
        f'{expected} {unit}'.rstrip(),
        unit,
        help_text,
        default,
    )


def millis_option(
    help_text: str,
    *,
    minimum: int,
    maximum: int,
    default: Any = dataclasses.MISSING,
) -> Any:
    """Declare a duration in whole milliseconds within inclusive bounds."""
    return _field(
        lambda text: Millis(_bounded(int, minimum, maximum)(text)),
        f'a whole number from {minimum} to {maximum} ms',
        'ms',
        help_text,
        default,
    )


def float_option(
    help_text: str,
    *,
    minimum: float,
    maximum: float,
    unit: str = '',
    default: Any = dataclasses.MISSING,
) -> Any:
    """Declare a number within inclusive bounds."""
    expected = f'a number from {minimum} to {maximum}'
    return _field(
        _bounded(float, minimum, maximum),
        f'{expected} {unit}'.rstrip(),
        unit,
        help_text,
        default,
    )


def boolean_option(
    help_text: str,
    *,
    default: Any = dataclasses.MISSING,
) -> Any:
    """Declare a yes/no value."""
    return _field(parse_boolean, 'yes or no', '', help_text, default)


def endpoint_option(
    help_text: str,
    *,
    default: Any = dataclasses.MISSING,
) -> Any:
    """Declare an ``ADDRESS:PORT``."""
    expected = 'an IP address and port such as 127.0.0.1:8080'
    return _field(parse_endpoint, expected, '', help_text, default)


def endpoints_option(
    help_text: str,
    *,
    default: Any = dataclasses.MISSING,
) -> Any:
    """Declare a comma-separated tuple of ``ADDRESS:PORT``."""
    expected = 'IP addresses and ports, separated by commas'
    return _field(
        _comma_separated(parse_endpoint), expected, '', help_text, default
    )


def words_option(help_text: str, *, default: Any = dataclasses.MISSING) -> Any:
    """Declare a comma-separated tuple of words."""
    expected = 'words separated by commas'
    return _field(
        _comma_separated(_non_empty), expected, '', help_text, default
    )


def _field(
    parse: Callable[[str], Any],
    expected: str,
    unit: str,
    help_text: str,
    default: Any,
) -> Any:
    option = Option(parse=parse, expected=expected, unit=unit, help=help_text)
    return dataclasses.field(default=default, metadata={OPTION: option})


def _non_empty(text: str) -> str:
    if not text.strip():
        raise ValueError('empty')
    return text.strip()


def _bounded(
    kind: Callable[[str], Any],
    minimum: float,
    maximum: float,
) -> Callable[[str], Any]:
    def parse(text: str) -> Any:
        number = kind(text)
        if not minimum <= number <= maximum:
            raise ValueError(f'{number} is out of range')
        return number

    return parse


def _comma_separated(parse: Callable[[str], Any]) -> Callable[[str], Any]:
    def parse_all(text: str) -> tuple[Any, ...]:
        words = (word.strip() for word in text.split(','))
        return tuple(parse(word) for word in words if word)

    return parse_all
