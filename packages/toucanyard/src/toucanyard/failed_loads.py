"""Halt the rollout of weights that crash the replicas which load them.

A replica that crashed during a load restarts with its previous weights and would be
ordered to load again. If several replicas crashed during the load of a version and none
has loaded it, the version is tried on one replica at a time. It is halted for a while
only if the weights are the likely cause.

A cause outside, such as the loss of a failure domain, ends replicas of one domain at
one moment, those that don't load as well. So crashes in one domain count as one event,
and crashes beside a replica that did not load count for the trial only.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import Final

import msgspec

from toucanyard.names import DomainName, EndpointName

MAX_FAILED_LOADS: Final = 3
"""Number of replicas that crashed during a load, at which the version is tried on one
replica at a time, and halted if the weights are the likely cause."""
HALT_MS: Final = 60_000.0
"""Time until a halted version is tried again on one replica."""
WITNESS_MS: Final = 1_500.0
"""Longest time between two crashes that may have one cause outside: a replica that
doesn't load is polled every 500 ms, and its report may take as long as a time-out."""
FORGET_MS: Final = 10_000.0
"""How long after its last failed poll a crashed replica is kept: longer than one stays
listed without being polled."""
MAX_VERSIONS: Final = 16
"""Maximum number of versions whose failures are stored; the newest are kept."""
MAX_FAILURES: Final = 64
"""Maximum number of failures that are stored for a version; the newest are kept."""


class FailedLoad(msgspec.Struct):
    """A replica that crashed during a load."""

    replica: EndpointName
    domain: DomainName
    ordered_ms: float
    seen_ms: float
    has_witness: bool = False
    """Whether a replica of its domain that did not load crashed at the same time."""


class _End(msgspec.Struct):
    """A replica that crashed while it did not load."""

    domain: DomainName
    seen_ms: float
    last_ms: float
    """When a request for its report last showed that; it stays listed for a while."""


class FailedLoads:
    """Failed loads of the versions of one model's weights.

    Invariant: a version that a replica has loaded is not halted.
    """

    __slots__ = ("_ends", "_failed")

    def __init__(self) -> None:
        self._failed: dict[int, list[FailedLoad]] = {}
        self._ends: dict[EndpointName, _End] = {}

    def count(self, version: int) -> int:
        """Return how many replicas crashed while they loaded a version."""
        return len(self._failed.get(version, ()))

    def count_in(self, version: int, domain: DomainName) -> int:
        """Return how many of them are in a failure domain."""
        return sum(each.domain == domain for each in self._failed.get(version, ()))

    def has_failed(self, version: int, replica: EndpointName) -> bool:
        """Return whether a replica crashed while it loaded a version."""
        return any(each.replica == replica for each in self._failed.get(version, ()))

    def is_halted(self, version: int, now_ms: float) -> bool:
        """Return whether no replica may load a version now."""
        failed = [e for e in self._failed.get(version, ()) if not e.has_witness]
        if len(failed) < MAX_FAILED_LOADS or not _is_due_to_weights(failed):
            return False
        return now_ms - failed[-1].seen_ms < HALT_MS

    def is_on_trial(self, version: int) -> bool:
        """Return whether only one replica at a time may load a version."""
        return self.count(version) >= MAX_FAILED_LOADS

    def record_failed(self, version: int, failure: FailedLoad) -> bool:
        """Record a replica that crashed during a load; return whether it is new."""
        if self.has_failed(version, failure.replica):
            return False
        failed = self._failed.setdefault(version, [])
        failed.append(failure)
        del failed[:-MAX_FAILURES]
        failure.has_witness = any(
            _is_beside(failure, end) for end in self._ends.values()
        )
        if len(self._failed) > MAX_VERSIONS:
            self.forget(min(self._failed))
        return True

    def record_ended(
        self, replica: EndpointName, domain: DomainName, seen_ms: float
    ) -> None:
        """Record a replica that crashed while it did not load.

        One that crashed during a load may be seen again after its change has ended.
        """
        if any(self.has_failed(version, replica) for version in self._failed):
            return
        self._ends = {
            name: end
            for name, end in self._ends.items()
            if seen_ms - end.last_ms <= FORGET_MS
        }
        end = self._ends.setdefault(replica, _End(domain, seen_ms, seen_ms))
        end.last_ms = seen_ms
        for failed in self._failed.values():
            for each in failed:
                each.has_witness = each.has_witness or _is_beside(each, end)

    def forget(self, version: int) -> None:
        """Clear the failures of a version, since a replica has loaded it."""
        self._failed.pop(version, None)


def _is_beside(failure: FailedLoad, end: _End) -> bool:
    is_near = abs(failure.seen_ms - end.seen_ms) <= WITNESS_MS
    return is_near and failure.domain == end.domain


def _is_due_to_weights(failed: Collection[FailedLoad]) -> bool:
    """Return whether no single cause outside can have ended all these replicas.

    They are in several domains, or one was ordered to load after another had crashed.
    """
    first_seen_ms = min(each.seen_ms for each in failed)
    is_again = any(each.ordered_ms > first_seen_ms for each in failed)
    return is_again or len({each.domain for each in failed}) > 1
