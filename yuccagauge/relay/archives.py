"""Creates what keeps the knowledge of routers in the store."""

from collections.abc import Callable
from typing import Any

from yuccagauge.clock import Clock, Millis
from yuccagauge.directory.targetarchive import TargetArchive
from yuccagauge.origins.archive import VersionArchive
from yuccagauge.quarantine.archive import CrashArchive
from yuccagauge.quarantine.ledger import CrashLedger
from yuccagauge.relay.adapter import PlatformAdapter
from yuccagauge.relay.context import RelayContext

#: Routers that write to the store which services have several versions.
VERSION_WRITERS = 2

#: Routers that write to the store when weights were named.
TARGET_WRITERS = 2


def build_archives(
    adapter: PlatformAdapter,
    context: RelayContext,
    reactor: Any,
    clock: Clock,
    *,
    heartbeat: Millis,
    is_isolated: Callable[[], bool],
    rank: Callable[[str], int],
) -> tuple[CrashArchive, VersionArchive, TargetArchive]:
    """Return the archives of crashes, software versions and named weights.

    Parameters
    ----------
    heartbeat
        Time between two entries of a server in the store.
    is_isolated
        Returns whether this router hears no other one.
    rank
        Returns how many live routers come before this one for a key.
    """
    crashes = CrashLedger(context.quarantine, context.part_quarantine)
    crash_archive = CrashArchive(
        crashes, adapter.crash_store, reactor, clock, is_isolated
    )
    version_archive = VersionArchive(
        context.selector.versions,
        adapter.version_store,
        reactor,
        clock,
        lambda: rank('versions') < VERSION_WRITERS,
    )
    target_archive = TargetArchive(
        context.directory,
        adapter.target_store,
        reactor,
        clock,
        heartbeat=heartbeat,
        is_writer=lambda: rank('targets') < TARGET_WRITERS,
    )
    return crash_archive, version_archive, target_archive
