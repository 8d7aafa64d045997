"""What a kept prefix belongs to; compared in full before each import."""

import dataclasses
from collections.abc import Mapping
from typing import Any

from yuccagauge.errors import YuccagaugeError
from yuccagauge.prefixes.base import CacheScope, PrefixLevel


class ManifestError(YuccagaugeError):
    """An export whose manifest is malformed or belongs to something else."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Manifest:
    """Identity, digest and length of one kept prefix.

    A digest alone does not decide, so that a collision, or an engine that
    exports the wrong blocks, cannot cross customers or weights versions.
    """

    customer: str
    model: str
    adapter: str
    weights_version: str
    #: Level digest in hexadecimal.
    digest: str
    #: Tokens from the start of the prompt.
    tokens: int

    def as_json(self) -> dict[str, Any]:
        """Return the form that travels."""
        return dataclasses.asdict(self)


def expected_manifest(cache_scope: CacheScope, level: PrefixLevel) -> Manifest:
    """Return the manifest that an export of this level has to carry."""
    return Manifest(
        customer=cache_scope.customer,
        model=cache_scope.model,
        adapter=cache_scope.adapter,
        weights_version=cache_scope.weights_version,
        digest=level.digest.hex(),
        tokens=level.tokens,
    )


def check_manifest(document: Mapping[str, Any], expected: Manifest) -> None:
    """Compare the manifest of an export with the expected one.

    Raises
    ------
    ManifestError
        If a field is missing or differs; the message names the fields but
        not their values.
    """
    found = document.get('manifest')
    if not isinstance(found, dict):
        raise ManifestError('the export has no manifest')
    different = [
        name
        for name, value in expected.as_json().items()
        if found.get(name) != value
    ]
    if different:
        names = ', '.join(different)
        raise ManifestError(f'the manifest differs in {names}')
