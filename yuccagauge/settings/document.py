"""The service document: what a team asks of the system for one service."""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass

from yuccagauge.clock import Millis
from yuccagauge.errors import SettingsError
from yuccagauge.settings.options import (
    Endpoint,
    boolean_option,
    choice_option,
    float_option,
    integer_option,
    millis_option,
    parse_endpoint,
    text_option,
    words_option,
)
from yuccagauge.settings.reader import (
    RawSections,
    build_section,
    check_sections,
    named_sections,
    read_text,
    render,
)

_MAXIMUM_RATE = 1_000_000_000
_MAXIMUM_DURATION = 3_600_000
_SHA256_HEX_DIGITS = 64


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceSection:
    """``[service]``: what the service is."""

    name: str = text_option('Name of the service.')
    kind: str = choice_option(
        'Whether model engines or plain servers run it.',
        ('model', 'plain'),
    )
    owner: str = text_option('Team that owns the document.')


@dataclass(frozen=True, slots=True, kw_only=True)
class ModelSection:
    """``[model NAME]``: one model that the service offers."""

    weights_version: str = text_option('Version of the weights in force.')
    adapters: tuple[str, ...] = words_option(
        'Adapters that requests may name.',
        default=(),
    )
    context_tokens: int = integer_option(
        'Longest prompt and answer together.',
        default=131_072,
        minimum=1,
        maximum=100_000_000,
        unit='tokens',
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class CustomerSection:
    """``[customer NAME]``: one customer, its credential and its limits."""

    credential_sha256: str = text_option(
        'SHA-256 of the bearer credential, in hexadecimal.',
    )
    priority: int = integer_option(
        'Priority class; a lower number is more urgent.',
        default=5,
        minimum=0,
        maximum=9,
    )
    requests_per_second: float = float_option(
        'Limit over all routers.',
        default=1000,
        minimum=0,
        maximum=_MAXIMUM_RATE,
        unit='requests/s',
    )
    tokens_per_second: float = float_option(
        'Limit on prompt tokens over all routers.',
        default=_MAXIMUM_RATE,
        minimum=0,
        maximum=_MAXIMUM_RATE,
        unit='tokens/s',
    )
    concurrent: int = integer_option(
        'Limit on requests in flight over all routers.',
        default=1000,
        minimum=0,
        maximum=1_000_000,
        unit='requests',
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class RoutingSection:
    """``[routing]``: how requests are placed and admitted."""

    placement: str = text_option('Placement policy.', default='cost')
    prefix_scheme: str = text_option('Prefix scheme.', default='messages')
    admission: str = text_option('Admission policy.', default='deadline')
    deadline_ms: Millis = millis_option(
        'Deadline of a request that names none.',
        default=Millis(30_000),
        minimum=10,
        maximum=_MAXIMUM_DURATION,
    )
    retry_budget: float = float_option(
        'Retries as a share of recent requests.',
        default=0.1,
        minimum=0,
        maximum=1,
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class RouteSection:
    """``[route METHOD PATH]``: one call of a plain service."""

    idempotent: bool = boolean_option('Whether the call may be repeated.')


@dataclass(frozen=True, slots=True, kw_only=True)
class BackendSection:
    """``[backend ADDRESS]``: one backend server of the service."""

    data_centre: str = text_option('Data centre of the VM.')
    checks_fence: bool = boolean_option(
        'Whether it refuses orders with an old fencing number.',
        default=False,
    )
    truthful_not_run: bool = boolean_option(
        'Whether its 503 with Yuccagauge-Not-Run can be trusted.',
        default=False,
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class ObjectiveSection:
    """``[objective NAME]``: a service-level objective."""

    target: float = float_option(
        'Share of requests that have to meet the objective.',
        default=0.99,
        minimum=0.5,
        maximum=0.99999,
    )
    time_to_first_token_ms: Millis = millis_option(
        'Bound on the time to the first token.',
        default=Millis(620),
        minimum=1,
        maximum=_MAXIMUM_DURATION,
    )
    time_between_tokens_ms: Millis = millis_option(
        'Bound on the time between tokens.',
        default=Millis(60),
        minimum=1,
        maximum=_MAXIMUM_DURATION,
    )
    waste: float = float_option(
        'Bound on recomputed tokens as a share of prompt tokens.',
        default=0.2,
        minimum=0,
        maximum=1,
    )


#: First words of the sections that carry a name, with their data classes.
NAMED_SECTIONS = {
    'model': ModelSection,
    'customer': CustomerSection,
    'route': RouteSection,
    'backend': BackendSection,
    'objective': ObjectiveSection,
}

#: Sections that stand once, with their data classes.
SINGLE_SECTIONS = {'service': ServiceSection, 'routing': RoutingSection}


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceDocument:
    """A checked document; ``raw`` is what it was built from."""

    service: ServiceSection
    routing: RoutingSection
    models: Mapping[str, ModelSection]
    customers: Mapping[str, CustomerSection]
    #: By method and path, as in ``POST /bookings``.
    routes: Mapping[str, RouteSection]
    backends: Mapping[Endpoint, BackendSection]
    objectives: Mapping[str, ObjectiveSection]
    raw: RawSections

    @property
    def digest(self) -> str:
        """The digest of the canonical text."""
        return digest_sections(self.raw)


@dataclass(frozen=True, slots=True, kw_only=True)
class DocumentChange:
    """The sections in which one document differs from another."""

    changed: RawSections
    removed: tuple[str, ...]


def parse_document(text: str, source: str) -> ServiceDocument:
    """Read and check a document.

    Raises
    ------
    SettingsError
        If anything in the text is wrong.
    """
    return build_document(read_text(text, source), source)


def build_document(raw: RawSections, source: str) -> ServiceDocument:
    """Check raw sections and build the document.

    Raises
    ------
    SettingsError
        If anything in the sections is wrong.
    """
    check_sections(
        raw,
        frozenset(SINGLE_SECTIONS),
        frozenset(NAMED_SECTIONS),
        source,
    )
    families = {
        first: {
            name: build_section(kind, raw, section, source)
            for name, section in named_sections(raw, first).items()
        }
        for first, kind in NAMED_SECTIONS.items()
    }
    document = ServiceDocument(
        service=build_section(ServiceSection, raw, 'service', source),
        routing=build_section(RoutingSection, raw, 'routing', source),
        models=families['model'],
        customers=families['customer'],
        routes=families['route'],
        backends=_by_endpoint(families['backend'], source),
        objectives=families['objective'],
        raw=raw,
    )
    _check_document(document, source)
    return document


def digest_sections(raw: RawSections) -> str:
    """Return the BLAKE2b-128 of the canonical text, in hexadecimal."""
    text = render(raw).encode()
    return hashlib.blake2b(text, digest_size=16).hexdigest()


def compare_sections(base: RawSections, target: RawSections) -> DocumentChange:
    """Return the change that turns ``base`` into ``target``."""
    changed = {
        section: keys
        for section, keys in target.items()
        if base.get(section) != keys
    }
    removed = tuple(sorted(set(base) - set(target)))
    return DocumentChange(changed=changed, removed=removed)


def apply_change(base: RawSections, change: DocumentChange) -> RawSections:
    """Return ``base`` with the change applied; ``base`` stays as it is."""
    merged = {**base, **change.changed}
    return {
        section: dict(keys)
        for section, keys in merged.items()
        if section not in change.removed
    }


def _by_endpoint(
    backends: Mapping[str, BackendSection],
    source: str,
) -> dict[Endpoint, BackendSection]:
    found: dict[Endpoint, BackendSection] = {}
    for name, section in backends.items():
        try:
            found[parse_endpoint(name)] = section
        except ValueError:
            raise SettingsError(
                source,
                f'backend {name}',
                '',
                name,
                'an IP address and port such as 127.0.0.1:8080',
            ) from None
    return found


def _check_document(document: ServiceDocument, source: str) -> None:
    kind = document.service.kind
    if kind == 'model' and not document.models:
        raise SettingsError(source, 'model NAME', '', '', 'at least one model')
    if kind == 'plain' and not document.routes:
        raise SettingsError(source, 'route NAME', '', '', 'at least one route')
    credentials: dict[str, str] = {}
    for name, customer in document.customers.items():
        digest = customer.credential_sha256
        if len(digest) != _SHA256_HEX_DIGITS or not _is_hexadecimal(digest):
            _reject_credential(source, name, digest, '64 hexadecimal digits')
        if digest in credentials:
            _reject_credential(
                source,
                name,
                digest,
                f'a credential other than that of {credentials[digest]}',
            )
        credentials[digest] = name


def _is_hexadecimal(text: str) -> bool:
    return set(text) <= set('0123456789abcdef')


def _reject_credential(
    source: str,
    customer: str,
    digest: str,
    expected: str,
) -> None:
    raise SettingsError(
        source,
        f'customer {customer}',
        'credential_sha256',
        digest,
        expected,
    )
