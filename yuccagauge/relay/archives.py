"""Creates what keeps the knowledge of routers in the store."""

from collections.abc import Callable
from typing import Any

from yuccagauge.clock import Clock
from yuccagauge.origins.archive import VersionArchive
from yuccagauge.quarantine.archive import CrashArchive
from yuccagauge.quarantine.ledger import CrashLedger
from yuccagauge.relay.adapter import PlatformAdapter
from yuccagauge.relay.context import RelayContext

#: Routers that write to the store which services have several versions.
VERSION_WRITERS = 2


def build_archives(
    adapter: PlatformAdapter,
    context: RelayContext,
    reactor: Any,
    clock: Clock,
    *,
    is_isolated: Callable[[], bool],
    rank: Callable[[str], int],
) -> tuple[CrashArchive, VersionArchive]:
    """Return the archives of crashes and of software versions.

    Parameters
    ----------
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
    return crash_archive, version_archive
