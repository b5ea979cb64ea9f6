"""Determine whether the configuration in force at this node may be an older one.

It is confirmed by reads of the store that return nothing newer, of this node or of a
peer. A node that is cut off, or that has just stood still, can't know whether operators
have changed it meanwhile. While the store answers no node, operators can't change it.
"""

from __future__ import annotations

from typing import Final

from toucanyard.log_entries import LogEntry
from toucanyard.node_directory import NodeDirectory

MAX_AGE_MS: Final = 2_000.0
"""Age of the last confirmation up to which the configuration counts as the newest: the
time within which a node that is in touch applies a new one."""
STALL_MS: Final = 1_000.0
"""Time without an event after which the node must have stood still: several of the
longest ticks."""
SETTLE_MS: Final = 500.0
"""How long after that messages of peers may be read that were sent before; their ages
are stated as of when they were sent."""


class ConfirmedConfiguration:
    """When the configuration was last confirmed, as far as this node can rely on it."""

    __slots__ = (
        "_confirmed_ms",
        "_handled_ms",
        "_node_directory",
        "_settled_ms",
        "_unreliable_ms",
        "_was_confirmed",
        "_woken_ms",
    )

    def __init__(self, node_directory: NodeDirectory) -> None:
        self._node_directory = node_directory
        self._confirmed_ms = float("-inf")
        self._handled_ms: float | None = None
        self._woken_ms = float("-inf")
        """When this node last went on after it had stood still."""
        self._settled_ms = float("-inf")
        self._unreliable_ms = float("-inf")
        """Newest confirmation that messages stated which may have been sent before."""
        self._was_confirmed = True

    def record_event(self, now_ms: float) -> None:
        """Record that this node handles an event, before it is handled."""
        before_ms, self._handled_ms = self._handled_ms, now_ms
        if before_ms is not None and now_ms - before_ms > STALL_MS:
            self._woken_ms = now_ms
            self._settled_ms = now_ms + SETTLE_MS

    def record_own_read(self, asked_ms: float) -> None:
        """Record that the store answered a read of this node."""
        if asked_ms >= self._woken_ms:
            self._confirmed_ms = max(self._confirmed_ms, asked_ms)

    def record_confirmed(self, confirmed_ms: float, now_ms: float) -> None:
        """Record the newest confirmation by any node, by this node's clock."""
        if now_ms < self._settled_ms:
            self._unreliable_ms = max(self._unreliable_ms, confirmed_ms)
        elif confirmed_ms > self._unreliable_ms:
            self._confirmed_ms = max(self._confirmed_ms, confirmed_ms)

    def is_confirmed(self, now_ms: float) -> bool:
        """Return whether operators can't have changed the configuration long ago."""
        if now_ms - self._confirmed_ms <= MAX_AGE_MS:
            return True
        return now_ms >= self._settled_ms and self._hears_most_nodes(now_ms)

    def log_change(self, now_ms: float) -> list[LogEntry]:
        """Return the log entry of a change since the last call, if there is one."""
        is_confirmed = self.is_confirmed(now_ms)
        if is_confirmed == self._was_confirmed:
            return []
        self._was_confirmed = is_confirmed
        age_ms = now_ms - self._confirmed_ms
        fields: dict[str, object] = {
            "is_confirmed": is_confirmed,
            "age_ms": None if age_ms == float("inf") else round(age_ms),
            "is_settled": now_ms >= self._settled_ms,
            "alive": self._node_directory.count_alive(now_ms),
            "known": self._node_directory.count_nodes(now_ms),
        }
        return [LogEntry("configuration_confirmation_changed", fields)]

    def _hears_most_nodes(self, now_ms: float) -> bool:
        """Return whether the store can't answer without this node hearing of it."""
        alive = self._node_directory.count_alive(now_ms)
        return alive > 1 and self._node_directory.count_nodes(now_ms) < 2 * alive
