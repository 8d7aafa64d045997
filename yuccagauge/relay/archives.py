"""Creates what keeps the knowledge of routers in the store."""

from collections.abc import Callable
from typing import Any

from yuccagauge.clock import Clock
from yuccagauge.directory.readpolicy import is_recorder
from yuccagauge.directory.state import Topic
from yuccagauge.directory.targetarchive import TargetArchive
from yuccagauge.exchange.service import ExchangeService
from yuccagauge.origins.archive import VersionArchive
from yuccagauge.quarantine.archive import CrashArchive
from yuccagauge.quarantine.ledger import CrashLedger
from yuccagauge.relay.adapter import PlatformAdapter
from yuccagauge.relay.context import RelayContext
from yuccagauge.settings.relay import RelaySettings

#: Routers that write to the store which services have several versions.
VERSION_WRITERS = 2

#: Routers that write to the store when weights were named.
TARGET_WRITERS = 2


def build_archives(
    adapter: PlatformAdapter,
    context: RelayContext,
    exchange: ExchangeService,
    settings: RelaySettings,
    reactor: Any,
    clock: Clock,
    *,
    rank: Callable[[str], int],
) -> tuple[CrashArchive, VersionArchive, TargetArchive]:
    """Return the archives of crashes, software versions and named weights.

    Parameters
    ----------
    exchange
        Knows the other routers.
    rank
        Returns how many live routers come before this one for a key.
    """
    section = settings.relay

    def is_target_writer() -> bool:
        return is_recorder(section.name, exchange.data_centres, TARGET_WRITERS)

    def store_era() -> int:
        return context.directory.era(Topic.SERVERS)

    crashes = CrashLedger(context.quarantine, context.part_quarantine)
    crash_archive = CrashArchive(
        crashes,
        adapter.crash_store,
        reactor,
        clock,
        lambda: exchange.is_isolated,
        store_era,
    )
    version_archive = VersionArchive(
        context.selector.versions,
        adapter.version_store,
        reactor,
        clock,
        lambda: rank('versions') < VERSION_WRITERS,
        store_era,
    )
    target_archive = TargetArchive(
        context.directory,
        adapter.target_store,
        reactor,
        clock,
        heartbeat=settings.weights.heartbeat_ms,
        is_writer=is_target_writer,
        servers_known_until=lambda: exchange.merger.unchanged_until(
            Topic.SERVERS
        ),
    )
    return crash_archive, version_archive, target_archive
