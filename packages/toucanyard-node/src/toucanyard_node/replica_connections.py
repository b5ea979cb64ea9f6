"""Hold idle connections to replicas until a call uses them or they expire.

The core decides which calls may use a kept connection and which connections are kept.
"""

from __future__ import annotations

import re
from typing import Final

import trio

from toucanyard.names import EndpointName
from toucanyard_node.http_client import HttpConnection, ResponseHead

PRUNE_INTERVAL_S: Final = 1.0
CLOSE_MARGIN_MS: Final = 1_000.0
"""How long before a replica would close an idle connection this node does."""
_TIMEOUT: Final = re.compile(r"(?:^|[\s,;])timeout\s*=\s*(\d{1,6})", re.ASCII)


class ReplicaConnections:
    """Idle connections by incarnation of their replica.

    Invariant: the last response on an idle connection was read completely, and nothing
    has arrived since.
    """

    __slots__ = (
        "_idle",
        "_max_idle_ms",
        "_max_total",
        "opened_count",
        "reused_count",
        "stale_count",
    )

    def __init__(self, max_idle_ms: float, max_total: int) -> None:
        self._max_idle_ms = max_idle_ms
        self._max_total = max_total
        self._idle: dict[EndpointName, list[tuple[HttpConnection, float]]] = {}
        """Connections and the times at which they are to be closed."""
        self.opened_count = 0
        self.reused_count = 0
        self.stale_count = 0
        """Number of connections that were found closed when a call was to use them."""

    def count_idle(self) -> int:
        """Return the number of idle connections."""
        return sum(len(each) for each in self._idle.values())

    async def take(self, replica: EndpointName) -> HttpConnection | None:
        """Return a connection that is still open; None if there is none."""
        while idle := self._idle.get(replica):
            connection, until_ms = idle.pop()
            if until_ms > trio.current_time() * 1000 and connection.is_quiet():
                self.reused_count += 1
                return connection
            self.stale_count += 1
            await connection.close()
        return None

    def may_keep(self, connection: HttpConnection, head: ResponseHead) -> bool:
        """Return whether a connection may carry another call after this response."""
        return (
            connection.is_reusable()
            and connection.is_quiet()
            and self._compute_idle_time(head) > 0.0
            and self.count_idle() < self._max_total
        )

    def put(
        self, replica: EndpointName, connection: HttpConnection, head: ResponseHead
    ) -> None:
        """Keep a connection; `head` is that of the last response on it."""
        until_ms = trio.current_time() * 1000 + self._compute_idle_time(head)
        self._idle.setdefault(replica, []).append((connection, until_ms))

    async def run(self) -> None:
        """Close connections that have been idle for too long, until cancelled."""
        while True:
            await trio.sleep(PRUNE_INTERVAL_S)
            await self.prune()

    async def prune(self) -> None:
        """Close the connections whose time is over or that their replica has closed."""
        now_ms = trio.current_time() * 1000
        closed: list[HttpConnection] = []
        for replica, idle in list(self._idle.items()):
            kept = [
                (connection, until_ms)
                for connection, until_ms in idle
                if until_ms > now_ms and connection.is_quiet()
            ]
            closed += [each for each, _ in idle if all(each is not k for k, _ in kept)]
            if kept:
                self._idle[replica] = kept
            else:
                del self._idle[replica]
        for connection in closed:
            await connection.close()

    def _compute_idle_time(self, head: ResponseHead) -> float:
        """Return for how long a connection may be idle after a response, in ms."""
        found = _TIMEOUT.search(head.headers.get("keep-alive", ""))
        if found is None:
            return self._max_idle_ms
        return min(self._max_idle_ms, int(found[1]) * 1_000 - CLOSE_MARGIN_MS)
