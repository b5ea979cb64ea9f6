"""Remember which nodes stopped as planned and who holds their ended keys."""

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
    """Stopped incarnations, oldest dropped first.

    Invariant: a stopped node's holders were told all that it had handed over before
    it was noted here, so whoever asks them then misses nothing that is still to come.
    """

    __slots__ = ("_keep_ms", "_stopped")

    def __init__(self, keep_ms: float) -> None:
        self._keep_ms = keep_ms
        self._stopped: dict[NodeId, _Stopped] = {}

    def record_stop(
        self, stopped: NodeId, holders: tuple[NodeId, ...], now_ms: float
    ) -> None:
        """Remember a stopped node; repeated news change nothing."""
        if stopped in self._stopped:
            return
        self._stopped[stopped] = _Stopped(holders, now_ms)
        if len(self._stopped) > _MAX_NODES:
            del self._stopped[next(iter(self._stopped))]

    def is_stopped(self, node: NodeId) -> bool:
        """Return whether this incarnation stopped as planned."""
        return node in self._stopped

    def find_holders(self, node: NodeId) -> list[NodeId]:
        """Return who holds a stopped node's keys now.

        A holder that stopped too has handed on what it held, so its holders count.
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
        """Forget nodes whose keys nobody holds any more."""
        while self._stopped:
            node = next(iter(self._stopped))
            if now_ms - self._stopped[node].recorded_ms < self._keep_ms:
                return
            del self._stopped[node]
