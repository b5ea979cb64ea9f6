"""Tell how long ago the configuration was known to be the newest, and what is due.

Times are this node's own. A confirmation counts from when it was asked for.
"""

from __future__ import annotations

from toucanyard.options import ConfigurationTimings


class ConfigurationFreshness:
    """Hold when the version was last confirmed and a checkpoint last seen."""

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
        """Take in that the version was the newest at a time."""
        if self._confirmed_ms is None or at_ms > self._confirmed_ms:
            self._confirmed_ms = at_ms
        if self._first_confirmed_ms is None:
            self._first_confirmed_ms = at_ms

    def record_checkpoint(self, now_ms: float) -> None:
        """Take in that a checkpoint came, or left this node, while it was current."""
        self._checkpoint_seen_ms = now_ms

    def find_age_ms(self, now_ms: float) -> float | None:
        """Return how long ago the version was last confirmed."""
        if self._confirmed_ms is None:
            return None
        return max(0.0, now_ms - self._confirmed_ms)

    def is_fresh(self, now_ms: float) -> bool:
        """Tell whether the version was confirmed within the bound."""
        age_ms = self.find_age_ms(now_ms)
        return age_ms is not None and age_ms <= self._timings.stale_after_ms

    def is_checkpoint_due(self, now_ms: float) -> bool:
        """Tell whether no checkpoint was seen for long enough.

        A checkpoint read while catching up may be nearly as old as the retention, so
        only one that came while this node was current counts. The jitter lets one
        node come first; the others see its checkpoint. Two of them do no harm.
        """
        if self._first_confirmed_ms is None:
            return False
        wait_ms = self._timings.checkpoint_after_ms
        if self._checkpoint_seen_ms is not None:
            due_ms = self._checkpoint_seen_ms + wait_ms * (1 + self._jitter / 4)
        else:
            due_ms = self._first_confirmed_ms + wait_ms * self._jitter / 4
        return now_ms >= due_ms
