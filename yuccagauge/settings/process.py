"""Settings of a router process."""

from dataclasses import dataclass

from yuccagauge.clock import Millis
from yuccagauge.settings.options import (
    Endpoint,
    boolean_option,
    endpoint_option,
    endpoints_option,
    integer_option,
    millis_option,
    text_option,
    words_option,
)
from yuccagauge.settings.reader import (
    RawSections,
    build_section,
    check_sections,
    read_file,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class RouterSection:
    """``[router]``: who this process is and where it listens."""

    name: str = text_option('Name of the router, unique in the fleet.')
    region: str = text_option('Region of the VM.')
    data_centre: str = text_option('Data centre of the VM.')
    listen: Endpoint = endpoint_option('Where callers connect.')
    peer_listen: Endpoint = endpoint_option(
        'Where other routers connect, by UDP and TCP.',
    )
    admin_listen: Endpoint = endpoint_option(
        'Where operators and metric scrapers connect.',
    )
    services: tuple[str, ...] = words_option(
        'Names of the services that this router serves.',
    )
    drain_grace_ms: Millis = millis_option(
        'How long new requests are still accepted after SIGTERM.',
        default=Millis(2000),
        minimum=0,
        maximum=600_000,
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class PeersSection:
    """``[peers]``: how routers find each other."""

    seeds: tuple[Endpoint, ...] = endpoints_option(
        'Peer addresses of some other routers.',
        default=(),
    )
    probe_period_ms: Millis = millis_option(
        'Time between two membership probes.',
        default=Millis(1000),
        minimum=20,
        maximum=60_000,
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformSection:
    """``[platform]``: where the platform's services are."""

    log: Endpoint = endpoint_option('Address of the log service.')
    vm_list: Endpoint = endpoint_option('Address of the VM list.')
    kept_kv: Endpoint | None = endpoint_option(
        'Address of the kept-KV store; without it, none is used.',
        default=None,
    )
    weight_store: Endpoint | None = endpoint_option(
        'Address of the weight store; without it, no loads are ordered.',
        default=None,
    )
    claim_shards: int = integer_option(
        'Number of claim streams; the same in all routers of a fleet.',
        default=4,
        minimum=1,
        maximum=1024,
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class LimitsSection:
    """``[limits]``: bounds on what one caller may send."""

    body_bytes: int = integer_option(
        'Largest request body.',
        default=8_000_000,
        minimum=1024,
        maximum=1_000_000_000,
        unit='bytes',
    )
    header_bytes: int = integer_option(
        'Largest request head.',
        default=32_768,
        minimum=1024,
        maximum=1_000_000,
        unit='bytes',
    )
    header_timeout_ms: Millis = millis_option(
        'How long a caller may take to send the request head.',
        default=Millis(5000),
        minimum=10,
        maximum=600_000,
    )
    body_timeout_ms: Millis = millis_option(
        'How long a caller may take to send the request body.',
        default=Millis(30_000),
        minimum=10,
        maximum=600_000,
    )
    connections: int = integer_option(
        'Largest number of open connections from callers.',
        default=4096,
        minimum=1,
        maximum=100_000,
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class TlsSection:
    """``[tls]``: certificates; reloaded when the files change."""

    caller_certificate: str = text_option(
        'PEM file of the certificate chain shown to callers.',
        default='',
    )
    caller_key: str = text_option('PEM file of its key.', default='')
    peer_certificate: str = text_option(
        'PEM file of the certificate shown to other routers.',
        default='',
    )
    peer_key: str = text_option('PEM file of its key.', default='')
    peer_authority: str = text_option(
        'PEM file of the authority that signs all routers.',
        default='',
    )
    backend_authority: str = text_option(
        'PEM file of the authority that signs backend servers.',
        default='',
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class BootstrapSection:
    """``[bootstrap]``: a document in the VM image, for a dark start."""

    enabled: bool = boolean_option(
        'Serve by this document when neither log nor peers answer.',
        default=False,
    )
    document: str = text_option('File of the document.', default='')
    version: int = integer_option(
        'Version of the document when it was copied.',
        default=0,
        minimum=0,
        maximum=2**62,
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class RouterSettings:
    """All sections of a router's settings file."""

    router: RouterSection
    peers: PeersSection
    platform: PlatformSection
    limits: LimitsSection
    tls: TlsSection
    bootstrap: BootstrapSection


#: The section names of a router's settings file and their data classes.
ROUTER_SECTIONS = {
    'router': RouterSection,
    'peers': PeersSection,
    'platform': PlatformSection,
    'limits': LimitsSection,
    'tls': TlsSection,
    'bootstrap': BootstrapSection,
}


def build_router_settings(raw: RawSections, source: str) -> RouterSettings:
    """Check the raw sections and build the settings.

    Raises
    ------
    SettingsError
        If anything in the sections is wrong.
    """
    check_sections(raw, frozenset(ROUTER_SECTIONS), frozenset(), source)
    sections = {
        name: build_section(kind, raw, name, source)
        for name, kind in ROUTER_SECTIONS.items()
    }
    return RouterSettings(**sections)


def load_router_settings(path: str) -> RouterSettings:
    """Read and check a router's settings file.

    Raises
    ------
    SettingsError
        If the file cannot be read or anything in it is wrong.
    """
    return build_router_settings(read_file(path), path)
