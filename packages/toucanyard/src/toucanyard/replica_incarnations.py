"""Tell the lives of a replica apart.

A replica that starts again may register under the id that it had. It then remembers
nothing, so each start is a life with a name of its own, and all that is believed of a
replica belongs to one life. What is said of an earlier one, by an entry that arrives
late or by a node that lags, changes nothing.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

import msgspec

from toucanyard.link_messages import ReplicaRestart
from toucanyard.names import EndpointName, ReplicaId

RESTART_GOSSIP_MS: Final = 30_000.0
"""How long peers are told that a replica has started again: a node that starts, or one
whose store lags, may have read an entry of the life before."""
MAX_REPLICAS: Final = 20_000
"""Replicas whose newest life is remembered; several times those of a large fleet."""


def name_incarnation(listed_as: ReplicaId, born_ms: int | None) -> EndpointName:
    """Return the name of one life; the id itself where no start is known."""
    return EndpointName(listed_as if born_ms is None else f"{listed_as}@{born_ms}")


class _Incarnation(msgspec.Struct):
    born_ms: int | None
    restarted_ms: float | None = None
    """When this node learned that it follows another life."""


class ReplicaIncarnations:
    """The newest life of each replica. Invariant: its start never falls."""

    __slots__ = ("_newest",)

    def __init__(self) -> None:
        self._newest: dict[ReplicaId, _Incarnation] = {}

    def find_newest(self, listed_as: ReplicaId) -> EndpointName | None:
        """Return the name of the newest life that is known."""
        newest = self._newest.get(listed_as)
        return None if newest is None else name_incarnation(listed_as, newest.born_ms)

    def is_superseded(self, listed_as: ReplicaId, born_ms: int | None) -> bool:
        """Tell whether a later life is known.

        Once a replica has said when it started, an entry that doesn't say so is not
        its own.
        """
        newest = self._newest.get(listed_as)
        if newest is None or newest.born_ms is None:
            return False
        return born_ms is None or born_ms < newest.born_ms

    def record(self, listed_as: ReplicaId, born_ms: int | None, now_ms: float) -> bool:
        """Take in a life that is not over; return whether it follows another one."""
        before = self._newest.get(listed_as)
        if before is not None and before.born_ms == born_ms:
            return False
        is_restart = before is not None
        restarted_ms = now_ms if is_restart else None
        self._newest.pop(listed_as, None)
        self._newest[listed_as] = _Incarnation(born_ms, restarted_ms)
        if len(self._newest) > MAX_REPLICAS:
            del self._newest[next(iter(self._newest))]
        return is_restart

    def list_restarted(self, now_ms: float) -> Iterator[ReplicaRestart]:
        """Return what peers should know of replicas that have started again."""
        for listed_as, newest in self._newest.items():
            if newest.restarted_ms is None or newest.born_ms is None:
                continue
            if now_ms - newest.restarted_ms <= RESTART_GOSSIP_MS:
                yield ReplicaRestart(listed_as, newest.born_ms)
