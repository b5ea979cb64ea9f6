"""Track the nodes that ended a planned stop and the holders of their ended keys."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from toucanyard.names import (
    NodeId,
)

_MAX_NODES: Final = 2_000


@dataclass(slots=True)
class _Stopped:
    holders: tuple[NodeId, ...]
    recorded_ms: float


class StoppedNodes:
    """Stopped incarnations; the oldest are evicted first.

    Invariant: a stopped node is recorded here only after its holders have received all
    keys that it transferred, so a query to them misses nothing.
    """

    __slots__ = ("_keep_ms", "_stopped")

    def __init__(self, keep_ms: float) -> None:
        self._keep_ms = keep_ms
        self._stopped: dict[NodeId, _Stopped] = {}

    def record_stop(
        self, stopped: NodeId, holders: tuple[NodeId, ...], now_ms: float
    ) -> None:
        """Record a stopped node; a repeated announcement has no effect."""
        if stopped in self._stopped:
            return
        self._stopped[stopped] = _Stopped(holders, now_ms)
        if len(self._stopped) > _MAX_NODES:
            del self._stopped[next(iter(self._stopped))]

    def is_stopped(self, node: NodeId) -> bool:
        """Return whether this incarnation announced its planned stop."""
        return node in self._stopped

    def find_holders(self, node: NodeId) -> list[NodeId]:
        """Return the nodes that currently hold a stopped node's keys.

        A holder that has stopped too has transferred what it held, so its own holders
        are returned in its place.
        """
        found: list[NodeId] = []
        reached = {node}
        left = [node]
        while left:
            stopped = self._stopped.get(left.pop())
            if stopped is None:
                continue
            for holder in stopped.holders:
                if holder in reached:
                    continue
                reached.add(holder)
                left.append(holder)
                if holder not in self._stopped:
                    found.append(holder)
        return found

    def forget_old(self, now_ms: float) -> None:
        """Remove nodes whose keys no holder retains any more."""
        while self._stopped:
            node = next(iter(self._stopped))
            if now_ms - self._stopped[node].recorded_ms < self._keep_ms:
                return
            del self._stopped[node]
