"""The weights versions that the operator named, and how old they can be.

The records of the operator have no time. A router therefore keeps, for each
version, the latest time at which it was certainly not named yet. That time is
never later than the naming, whether a router starts after it, was suspended or
was cut off from the store, so that weights never count as newer than they are.
"""

from collections.abc import Iterable, Mapping
from dataclasses import replace

from yuccagauge.clock import Millis
from yuccagauge.directory.base import NamedWeights, TargetEvidence

#: Versions that are stored for each model. The operator may name one every few
#: seconds, and servers may use old weights for longer.
MAXIMUM_VERSIONS = 16

#: Age from which evidence is dropped. It exceeds any bound on the use of
#: superseded weights, and weights of unknown age count as older than all.
EVIDENCE_LIFETIME = Millis(60_000)

#: Smallest gain of newer evidence. The messages of peers take different times,
#: and each change makes the router update its view of the fleet.
MINIMUM_GAIN = Millis(100)

#: Versions before the first one.
NO_VERSION = 0

#: Earlier than any other time: nothing is known of when a version was named.
UNKNOWN_TIME = Millis(-(2**62))


class TargetHistory:
    """The newest named version of each model, and evidence on their ages."""

    def __init__(self) -> None:
        """Know no version."""
        self._newest: dict[str, int] = {}
        #: By model and range of versions, the time after which all versions of
        #: the range were named.
        self._evidence: dict[str, dict[tuple[int, int], Millis]] = {}

    @property
    def newest(self) -> Mapping[str, int]:
        """The newest version of each model that the operator has named."""
        return self._newest

    def snapshot(self) -> dict[str, NamedWeights]:
        """Return the newest version and the evidence of each model.

        What was not named yet when nothing after a version was named includes
        all versions up to the newest one. Load pattern: a version is named
        while all routers restart, so that there is no evidence on it.
        """
        return {
            model: NamedWeights(
                version=newest,
                evidence=tuple(
                    replace(each, version=max(newest, each.version))
                    for each in self.evidence_of(model)
                ),
            )
            for model, newest in self._newest.items()
        }

    def recent_evidence(self, now: Millis) -> tuple[TargetEvidence, ...]:
        """Return the evidence that may decide about calls."""
        return tuple(
            evidence
            for model in self._evidence
            for evidence in self.evidence_of(model)
            if now - evidence.named_after < EVIDENCE_LIFETIME
        )

    def evidence_of(self, model: str) -> tuple[TargetEvidence, ...]:
        """Return the evidence on one model, the newest version last."""
        return tuple(
            TargetEvidence(
                model=model,
                version=version,
                previous=previous,
                named_after=named_after,
            )
            for (version, previous), named_after in sorted(
                self._evidence.get(model, {}).items()
            )
        )

    def record_named(
        self, model: str, version: int, named_after: Millis | None
    ) -> bool:
        """Record a version of the operator; return whether it is newer.

        Parameters
        ----------
        named_after
            When all versions after the known one had not been named yet;
            ``None`` if this router does not know.
        """
        known = self._newest.get(model, NO_VERSION)
        if version <= known:
            return False
        self._newest[model] = version
        if named_after is not None:
            self._add(
                TargetEvidence(
                    model=model,
                    version=version,
                    previous=known,
                    named_after=named_after,
                )
            )
        return True

    def merge(self, evidence: Iterable[TargetEvidence]) -> bool:
        """Add what peers or the store know; return whether it says more."""
        added = [self._add(each) for each in evidence]
        return any(added)

    def _add(self, evidence: TargetEvidence) -> bool:
        known = self._evidence.setdefault(evidence.model, {})
        key = (evidence.version, evidence.previous)
        gain = evidence.named_after - known.get(key, UNKNOWN_TIME)
        if gain < MINIMUM_GAIN:
            return False
        known[key] = evidence.named_after
        for oldest in sorted(known)[:-MAXIMUM_VERSIONS]:
            known.pop(oldest)
        return key in known
