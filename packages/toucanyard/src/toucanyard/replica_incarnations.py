"""Distinguish the incarnations of a replica.

A replica that restarts may register under its previous id. It has then lost all state,
so each start is an incarnation with a name of its own, and all knowledge of a replica
belongs to one incarnation. Statements on an earlier one, from an entry that arrives
late or a node that lags, are ignored.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

import msgspec

from toucanyard.link_messages import ReplicaRestart
from toucanyard.names import EndpointName, ReplicaId

RESTART_GOSSIP_MS: Final = 30_000.0
"""How long a restart is sent to peers: a node that starts, or one whose store lags, may
have read an entry of the previous incarnation."""
MAX_REPLICAS: Final = 20_000
"""Replicas whose newest incarnation is kept; several times those of a large fleet."""


def name_incarnation(listed_as: ReplicaId, born_ms: int | None) -> EndpointName:
    """Return the name of an incarnation; the id itself if its start is unknown."""
    return EndpointName(listed_as if born_ms is None else f"{listed_as}@{born_ms}")


class _Incarnation(msgspec.Struct):
    born_ms: int | None
    restarted_ms: float | None = None
    """When this node learned that it replaced another one; None if it did not."""


class ReplicaIncarnations:
    """The newest incarnation of each replica. Invariant: its start never decreases."""

    __slots__ = ("_newest",)

    def __init__(self) -> None:
        self._newest: dict[ReplicaId, _Incarnation] = {}

    def find_newest(self, listed_as: ReplicaId) -> EndpointName | None:
        """Return the name of the newest known incarnation."""
        newest = self._newest.get(listed_as)
        return None if newest is None else name_incarnation(listed_as, newest.born_ms)

    def is_superseded(self, listed_as: ReplicaId, born_ms: int | None) -> bool:
        """Return whether a later incarnation is known.

        Once a replica has reported when it started, an entry without a start is not
        its own.
        """
        newest = self._newest.get(listed_as)
        if newest is None or newest.born_ms is None:
            return False
        return born_ms is None or born_ms < newest.born_ms

    def record(self, listed_as: ReplicaId, born_ms: int | None, now_ms: float) -> bool:
        """Record a current incarnation; return whether it replaces another one."""
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

    def forget(self, listed_as: ReplicaId) -> None:
        """Discard the newest incarnation, since its entry was not the replica's own."""
        self._newest.pop(listed_as, None)

    def list_restarted(self, now_ms: float) -> Iterator[ReplicaRestart]:
        """Return the recent restarts of replicas, to be sent to peers."""
        for listed_as, newest in self._newest.items():
            if newest.restarted_ms is None or newest.born_ms is None:
                continue
            if now_ms - newest.restarted_ms <= RESTART_GOSSIP_MS:
                yield ReplicaRestart(listed_as, newest.born_ms)
