"""Read INI text into raw sections, and raw sections into data classes."""

import configparser
import dataclasses
from collections.abc import Mapping
from pathlib import Path
from typing import Any, TypeVar

from yuccagauge.errors import SettingsError
from yuccagauge.settings.options import OPTION

SectionT = TypeVar('SectionT')

#: Section names to keys to values, all as text.
RawSections = Mapping[str, Mapping[str, str]]


def read_text(text: str, source: str) -> RawSections:
    """Parse INI text.

    Raises
    ------
    SettingsError
        If the text is not INI, or names a section or key twice.
    """
    parser = configparser.ConfigParser(
        interpolation=None,
        default_section='',
        delimiters=('=',),
        comment_prefixes=('#', ';'),
        empty_lines_in_values=False,
    )
    parser.optionxform = str
    try:
        parser.read_string(text, source)
    except configparser.Error as error:
        section = getattr(error, 'section', '') or ''
        found = error.message.splitlines()[0]
        raise SettingsError(
            source,
            section,
            getattr(error, 'option', '') or '',
            found,
            'INI text with unique sections and keys',
        ) from None
    return {name: dict(parser[name]) for name in parser.sections()}


def read_file(path: str) -> RawSections:
    """Parse an INI file.

    Raises
    ------
    SettingsError
        If the file cannot be read or is not INI.
    """
    try:
        text = Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, 'strerror', None) or 'not UTF-8 text'
        raise SettingsError(
            path,
            '',
            '',
            reason,
            'a readable UTF-8 file',
        ) from None
    return read_text(text, path)


def build_section(
    kind: type[SectionT],
    raw: RawSections,
    section: str,
    source: str,
) -> SectionT:
    """Build the data class of one section from its raw keys.

    A section that is absent is built from the defaults alone.

    Raises
    ------
    SettingsError
        If a key is unknown, a value is wrong or a required key is missing.
    """
    found = raw.get(section, {})
    fields = {field.name: field for field in dataclasses.fields(kind)}
    for key, text in found.items():
        if key not in fields:
            known = ', '.join(fields)
            raise SettingsError(source, section, key, text, f'one of {known}')
    values: dict[str, Any] = {}
    for name, field in fields.items():
        option = field.metadata[OPTION]
        if name in found:
            try:
                values[name] = option.parse(found[name])
            except ValueError:
                raise SettingsError(
                    source,
                    section,
                    name,
                    found[name],
                    option.expected,
                ) from None
        elif field.default is dataclasses.MISSING:
            raise SettingsError(source, section, name, '', option.expected)
    return kind(**values)


def check_sections(
    raw: RawSections,
    single: frozenset[str],
    named: frozenset[str],
    source: str,
) -> None:
    """Check that every section is known.

    ``single`` are whole section names; ``named`` are the first words of
    sections such as ``[customer NAME]``.

    Raises
    ------
    SettingsError
        If a section is neither.
    """
    for section in raw:
        first, _, name = section.partition(' ')
        if section in single or (name and first in named):
            continue
        families = [f'{word} NAME' for word in sorted(named)]
        known = ', '.join([*sorted(single), *families])
        raise SettingsError(source, section, '', '', f'one of {known}')


def named_sections(raw: RawSections, first: str) -> dict[str, str]:
    """Return the names of ``[FIRST NAME]`` sections with their full titles."""
    prefix = f'{first} '
    return {
        section.removeprefix(prefix).strip(): section
        for section in raw
        if section.startswith(prefix)
    }


def render(raw: RawSections) -> str:
    """Return INI text with sections and keys in alphabetical order."""
    lines: list[str] = []
    for section in sorted(raw):
        lines.append(f'[{section}]')
        keys = sorted(raw[section].items())
        lines.extend(f'{key} = {value}' for key, value in keys)
        lines.append('')
    return '\n'.join(lines)
