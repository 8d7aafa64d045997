"""Counters of the traffic between routers."""

from yuccagauge.telemetry.meter import counter

#: Datagrams by message kind and direction.
DATAGRAMS = counter(
    'yuccagauge.peer.datagrams',
    'Datagrams between routers.',
    '{datagram}',
)

#: Bytes by transport and direction, without the heads of the network.
BYTES = counter(
    'yuccagauge.peer.io',
    'Bytes between routers.',
    'By',
)

#: Messages that were not handled, by reason.
IGNORED = counter(
    'yuccagauge.peer.ignored',
    'Messages from other routers that were not handled.',
    '{message}',
)

#: Requests to other routers by kind and outcome.
REQUESTS = counter(
    'yuccagauge.peer.requests',
    'Requests to other routers.',
    '{request}',
)


def count_ignored(reason: str) -> None:
    """Count one message that was not handled."""
    IGNORED.add(1, {'reason': reason})
