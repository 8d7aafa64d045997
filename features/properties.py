"""Settings of the property tests: the same verdict in every run."""

from hypothesis import HealthCheck, settings

#: Fixed examples, and no bound on wall time, which a busy machine exceeds.
REPEATABLE = settings(
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
