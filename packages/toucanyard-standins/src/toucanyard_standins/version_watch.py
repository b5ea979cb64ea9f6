"""Watch the configuration version that each node reports, across restarts."""

from __future__ import annotations

from typing import Final

import msgspec
import trio

from toucanyard_node.http_client import ConnectionFailedError, HttpConnection, connect
from toucanyard_standins.processes import ProcessHandle

_INTERVAL_S: Final = 0.05
_TIMEOUT_MS: Final = 2_000.0


class Regression(msgspec.Struct, frozen=True):
    """A node reported a lower version than before."""

    node: str
    before: int
    after: int


class _Status(msgspec.Struct, frozen=True):
    version: int


class VersionWatch:
    """The highest version of each node, by name, so that it survives restarts.

    With `is_by_process`, each process is watched separately: while the log is down, a
    starting node can't know a version that only dead nodes knew.

    Invariants: a node's highest version only grows; each report of a lower version
    is in `regressions`.
    """

    def __init__(self, operator_key: str, is_by_process: bool = False) -> None:
        self._is_by_process = is_by_process
        self._headers = (("Authorization", f"Bearer {operator_key}"),)
        self._highest: dict[str, int] = {}
        self.regressions: list[Regression] = []
        self.reads = 0

    def find_highest(self, node: str) -> int:
        """Return the highest version that a node has reported."""
        return self._highest.get(node, 0)

    def record_version(self, node: str, version: int) -> None:
        """Record the version that a node reports."""
        self.reads += 1
        highest = self.find_highest(node)
        if version < highest:
            self.regressions.append(Regression(node, highest, version))
            return
        self._highest[node] = version

    async def follow(self, node: ProcessHandle) -> None:
        """Poll the status of one process until it has ended."""
        while node.is_running():
            try:
                await self._poll_connection(node)
            except ConnectionFailedError:
                await trio.sleep(_INTERVAL_S)

    async def _poll_connection(self, node: ProcessHandle) -> None:
        connection = await connect(node.addresses["operators"], _TIMEOUT_MS)
        try:
            while connection.is_reusable():
                await self._read(self._find_label(node), connection)
                await trio.sleep(_INTERVAL_S)
        finally:
            await connection.close()

    def _find_label(self, node: ProcessHandle) -> str:
        return f"{node.name}/{node.process.pid}" if self._is_by_process else node.name

    async def _read(self, name: str, connection: HttpConnection) -> None:
        with trio.move_on_after(_TIMEOUT_MS / 1000):
            await connection.send("GET", "/status", self._headers)
            head = await connection.read_head()
            body = await connection.read_body()
            # A node without a configuration knows no operator, so it rejects the key.
            if head.status == 200:
                version = msgspec.json.decode(body, type=_Status).version
                self.record_version(name, version)
