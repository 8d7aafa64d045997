"""Metrics of the paths through peers."""

from yuccagauge.telemetry.meter import counter

#: Paths that this router has asked peers for, by outcome.
PATHS = counter(
    'yuccagauge.peerpath.paths',
    'Paths through peers to backend servers, by outcome.',
    '{path}',
)

#: Paths that peers have asked this router for, by outcome.
CARRIED = counter(
    'yuccagauge.peerpath.carried',
    'Paths to backend servers that peers asked for, by outcome.',
    '{path}',
)
