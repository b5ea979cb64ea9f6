"""Halt the roll-out of weights that end each replica which loads them.

A replica that ended under an order starts again with the weights that it had, and
would be ordered again. Weights that no replica has loaded, while several ended under
them, are left alone for a while and then tried by one replica.
"""

from __future__ import annotations

from typing import Final

from toucanyard.crash_detector import Reachability
from toucanyard.names import EndpointName

MAX_FAILED_LOADS: Final = 3
"""Replicas that ended under an order, after which the version is halted."""
HALT_MS: Final = 60_000.0
"""Time until one replica tries a halted version again."""
MAX_VERSIONS: Final = 16
"""Versions whose failures are remembered, the newest ones."""


class FailedLoads:
    """What became of the loads of one model's versions.

    Invariant: a version that a replica has loaded is not halted.
    """

    __slots__ = ("_failed", "_halted_ms")

    def __init__(self) -> None:
        self._failed: dict[int, set[EndpointName]] = {}
        self._halted_ms: dict[int, float] = {}

    def count(self, version: int) -> int:
        """Return how many replicas ended under an order of a version."""
        return len(self._failed.get(version, ()))

    def is_halted(self, version: int, now_ms: float) -> bool:
        """Tell whether no replica is to load a version now."""
        halted_ms = self._halted_ms.get(version)
        return halted_ms is not None and now_ms - halted_ms < HALT_MS

    def is_on_trial(self, version: int) -> bool:
        """Tell whether one replica alone is to load a version."""
        return self.count(version) >= MAX_FAILED_LOADS

    def record_read(
        self, replica: EndpointName, version: int, reach: Reachability, now_ms: float
    ) -> bool:
        """Record what was found at a replica under an order; return whether it halts.

        `reach` is what came instead of a report.
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
        """Drop what is held against a version, since a replica has loaded it."""
        self._failed.pop(version, None)
        self._halted_ms.pop(version, None)
