"""Pool idle connections to endpoints and discard those that may be broken."""

from __future__ import annotations

from typing import Final

import trio

from toucanyard.names import Address
from toucanyard.options import StreamLimits
from toucanyard_node.http_client import Connect, HttpConnection, connect

_MAX_IDLE_MS: Final = 15_000


class ConnectionPool:
    """Pool of connections, each used by one request at a time.

    Invariants: the last response on an idle connection was read completely, the
    connection was opened after the last read timeout at its address, and it has no
    unread input.
    """

    __slots__ = ("_connect", "_idle", "_limits", "_timed_out_at_ms")

    def __init__(self, limits: StreamLimits, connect: Connect = connect) -> None:
        self._limits = limits
        self._connect = connect
        self._idle: dict[Address, list[tuple[HttpConnection, float]]] = {}
        self._timed_out_at_ms: dict[Address, float] = {}

    async def acquire(self, address: Address) -> tuple[HttpConnection, bool]:
        """Return a connection and whether it is a reused one."""
        now_ms = trio.current_time() * 1000
        # Looked up in each iteration: `discard_idle` may run while one is being closed.
        while idle := self._idle.get(address):
            connection, idle_since_ms = idle.pop()
            # An endpoint that restarted has closed its side, so a request on this
            # connection would be lost. Unread bytes belong to an unexpected response.
            if connection.is_quiet() and now_ms - idle_since_ms < _MAX_IDLE_MS:
                return connection, True
            await connection.close()
        return await self.open(address), False

    async def open(self, address: Address) -> HttpConnection:
        """Open a new connection, or raise ConnectionFailedError."""
        return await self._connect(address, self._limits.connect_timeout_ms)

    async def release(self, connection: HttpConnection) -> None:
        """Return a connection; keep it only if its last response was complete."""
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
        """Close all idle connections to an address where a read timed out.

        A middlebox that dropped the state of one connection has often dropped the state
        of all connections of the same age, and each of them would make its next request
        wait for another timeout.
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
        """Return the number of idle connections to an address."""
        return len(self._idle.get(address, []))
