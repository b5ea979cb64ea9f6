"""Halt the rollout of weights that crash the replicas which load them.

A replica that crashed during a load restarts with its previous weights and would be
ordered to load again. If several replicas crashed during the load of a version and none
has loaded it, the version is halted for a while and then tried on one replica.
"""

from __future__ import annotations

from typing import Final

from toucanyard.crash_detector import Reachability
from toucanyard.names import EndpointName

MAX_FAILED_LOADS: Final = 3
"""Number of replicas that crashed during a load, at which the version is halted."""
HALT_MS: Final = 60_000.0
"""Time until a halted version is tried again on one replica."""
MAX_VERSIONS: Final = 16
"""Maximum number of versions whose failures are stored; the newest are kept."""


class FailedLoads:
    """Failed loads of the versions of one model's weights.

    Invariant: a version that a replica has loaded is not halted.
    """

    __slots__ = ("_failed", "_halted_ms")

    def __init__(self) -> None:
        self._failed: dict[int, set[EndpointName]] = {}
        self._halted_ms: dict[int, float] = {}

    def count(self, version: int) -> int:
        """Return how many replicas crashed while they loaded a version."""
        return len(self._failed.get(version, ()))

    def is_halted(self, version: int, now_ms: float) -> bool:
        """Return whether no replica may load a version now."""
        halted_ms = self._halted_ms.get(version)
        return halted_ms is not None and now_ms - halted_ms < HALT_MS

    def is_on_trial(self, version: int) -> bool:
        """Return whether only one replica at a time may load a version."""
        return self.count(version) >= MAX_FAILED_LOADS

    def record_read(
        self, replica: EndpointName, version: int, reach: Reachability, now_ms: float
    ) -> bool:
        """Record a replica without a report during a load; return whether this halts.

        `reach` is the result of the request for the report.
        """
        if reach not in (Reachability.NO_LISTENER, Reachability.REPLACED):
            return False
        failed = self._failed.setdefault(version, set())
        if replica in failed:
            return False
        failed.add(replica)
        if len(self._failed) > MAX_VERSIONS:
            self.forget(min(self._failed))
        if len(failed) < MAX_FAILED_LOADS:
            return False
        self._halted_ms[version] = now_ms
        return True

    def forget(self, version: int) -> None:
        """Clear the failures of a version, since a replica has loaded it."""
        self._failed.pop(version, None)
        self._halted_ms.pop(version, None)
