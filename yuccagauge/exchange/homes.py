"""Which router decides for all about the calls to one server."""

from collections.abc import Callable

from yuccagauge.exchange.merger import MessageMerger
from yuccagauge.rendezvous import rendezvous_rank
from yuccagauge.settings.options import Endpoint


class ServerHomes:
    """Finds the home of each server, the first live router of its ranking.

    Load pattern: hundreds of routers are ranked for each call to a limited
    server. The home is therefore kept until the routers change.

    Parameters
    ----------
    name
        Name of this router.
    merger
        Knows the other routers.
    purpose
        What homes decide about. Each purpose has a ranking of its own.
    """

    def __init__(self, name: str, merger: MessageMerger, purpose: str) -> None:
        """Create without homes."""
        self._name = name
        self._merger = merger
        self._purpose = purpose
        #: The name of the home of each server, among these routers.
        self._homes: dict[str, str] = {}
        self._ranked_names: frozenset[str] = frozenset()

    def home_of(
        self, server_id: str, without: frozenset[str] = frozenset()
    ) -> Endpoint | None:
        """Return the home of a server; ``None`` if it is this router.

        Parameters
        ----------
        without
            Names of routers that are no homes now.
        """
        endpoints = {
            peer.name: peer.endpoint
            for peer in self._merger.peers
            if peer.name not in without
        }
        names = frozenset((self._name, *endpoints))
        if names != self._ranked_names:
            self._ranked_names = names
            self._homes.clear()
        home = self._homes.get(server_id)
        if home is None:
            home = rendezvous_rank(names, f'{self._purpose}/{server_id}')[0]
            self._homes[server_id] = home
        return endpoints.get(home)

    def keep(self, is_needed: Callable[[str], bool]) -> None:
        """Forget the homes of servers that are not needed any longer."""
        self._homes = {
            server_id: home
            for server_id, home in self._homes.items()
            if is_needed(server_id)
        }
