"""Keep idle connections to endpoints, and drop those that can't be trusted."""

from __future__ import annotations

from typing import Final

import trio

from toucanyard.names import Address
from toucanyard.options import StreamLimits
from toucanyard_node.http_client import Connect, HttpConnection, connect

_MAX_IDLE_MS: Final = 15_000


class ConnectionPool:
    """Lend connections, each to one request at a time.

    Invariants: an idle connection has carried its last answer to the end, is younger
    than the last silence of its address, and nothing unread waits on it.
    """

    __slots__ = ("_connect", "_idle", "_limits", "_timed_out_at_ms")

    def __init__(self, limits: StreamLimits, connect: Connect = connect) -> None:
        self._limits = limits
        self._connect = connect
        self._idle: dict[Address, list[tuple[HttpConnection, float]]] = {}
        self._timed_out_at_ms: dict[Address, float] = {}

    async def acquire(self, address: Address) -> tuple[HttpConnection, bool]:
        """Return a connection and whether it was used before."""
        now_ms = trio.current_time() * 1000
        # Looked up anew each time: while one is closed, the rest may be distrusted.
        while idle := self._idle.get(address):
            connection, idle_since_ms = idle.pop()
            # An endpoint that restarted has closed its end: the next request would
            # be written into the void. Unread bytes are an answer nobody asked for.
            if connection.is_quiet() and now_ms - idle_since_ms < _MAX_IDLE_MS:
                return connection, True
            await connection.close()
        return await self.open(address), False

    async def open(self, address: Address) -> HttpConnection:
        """Return a new connection, or raise ConnectionFailedError."""
        return await self._connect(address, self._limits.connect_timeout_ms)

    async def release(self, connection: HttpConnection) -> None:
        """Take a connection back; keep it only when its last answer was whole."""
        now_ms = trio.current_time() * 1000
        timed_out_at_ms = self._timed_out_at_ms.get(connection.address, -1.0)
        idle = self._idle.setdefault(connection.address, [])
        is_kept = (
            connection.is_reusable()
            and connection.is_quiet()
            and connection.opened_ms > timed_out_at_ms
            and len(idle) < self._limits.max_idle_connections
        )
        if is_kept:
            idle.append((connection, now_ms))
        else:
            await connection.close()

    async def discard_idle(self, address: Address) -> None:
        """Drop every idle connection to an address on which one went silent.

        What lost track of one connection has often lost track of all that are as
        old; each would cost its next request another silence.
        """
        self._timed_out_at_ms[address] = trio.current_time() * 1000
        for connection, _ in self._idle.pop(address, []):
            await connection.close()

    async def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            for connection, _ in self._idle.pop(address):
                await connection.close()

    def count_idle(self, address: Address) -> int:
        """Return how many idle connections to an address are kept."""
        return len(self._idle.get(address, []))
