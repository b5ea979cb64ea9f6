"""Track when the configuration was last confirmed, and when a checkpoint is due.

Times are on this node's clock. A confirmation dates from when it was requested.
"""

from __future__ import annotations

from toucanyard.options import ConfigurationTimings


class ConfigurationFreshness:
    """Times of the last confirmation of the version and of the last checkpoint."""

    __slots__ = (
        "_checkpoint_seen_ms",
        "_confirmed_ms",
        "_first_confirmed_ms",
        "_jitter",
        "_timings",
    )

    def __init__(self, timings: ConfigurationTimings, jitter: float) -> None:
        self._timings = timings
        self._jitter = jitter
        self._confirmed_ms: float | None = None
        self._first_confirmed_ms: float | None = None
        self._checkpoint_seen_ms: float | None = None

    def confirm(self, at_ms: float) -> None:
        """Record that the version was the newest one at `at_ms`."""
        if self._confirmed_ms is None or at_ms > self._confirmed_ms:
            self._confirmed_ms = at_ms
        if self._first_confirmed_ms is None:
            self._first_confirmed_ms = at_ms

    def record_checkpoint(self, now_ms: float) -> None:
        """Record that a current node read or appended a checkpoint."""
        self._checkpoint_seen_ms = now_ms

    def find_age_ms(self, now_ms: float) -> float | None:
        """Return the time since the version was last confirmed."""
        if self._confirmed_ms is None:
            return None
        return max(0.0, now_ms - self._confirmed_ms)

    def is_fresh(self, now_ms: float) -> bool:
        """Return whether the version was confirmed recently enough."""
        age_ms = self.find_age_ms(now_ms)
        return age_ms is not None and age_ms <= self._timings.stale_after_ms

    def is_checkpoint_due(self, now_ms: float) -> bool:
        """Return whether it is time to append a checkpoint.

        A checkpoint that was read while catching up may be nearly as old as the log's
        retention, so only one read while this node was current counts. Due to the
        jitter one node appends first and the others see its checkpoint; two
        checkpoints do no harm.
        """
        if self._first_confirmed_ms is None:
            return False
        wait_ms = self._timings.checkpoint_after_ms
        if self._checkpoint_seen_ms is not None:
            due_ms = self._checkpoint_seen_ms + wait_ms * (1 + self._jitter / 4)
        else:
            due_ms = self._first_confirmed_ms + wait_ms * self._jitter / 4
        return now_ms >= due_ms
