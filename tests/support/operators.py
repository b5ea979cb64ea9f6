"""Run the server for operators in memory, with a real core and a fake log."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec
import trio

from support.callers import KEY, build_options
from support.network import MemoryNetwork
from toucanyard.core_events import (
    AppendToLog,
    LogRead,
    LogStateSeen,
    ReadDump,
    SendMessage,
)
from toucanyard.names import Address, Incarnation
from toucanyard.order_messages import ReadState, SendOrder
from toucanyard.platform_log import (
    LogRecord,
)
from toucanyard_node.core_task import CoreOutputs, CoreTask
from toucanyard_node.credentials import compute_key_hash
from toucanyard_node.drain import DrainState
from toucanyard_node.http_client import Headers, Response
from toucanyard_node.http_server import (
    ServerLimits,
)
from toucanyard_node.operator_server import OperatorServer

BOOTSTRAP_KEY = "key-of-the-first-hour"
OPERATOR_KEY = "key-of-ana"
ADDRESS = Address("10.0.0.8:80")


def authorize(key: str) -> Headers:
    """Return the authorization header for a key, or none for an empty key."""
    return (("Authorization", f"Bearer {key}"),) if key else ()


class OperatorServerHarness:
    """A running server for operators; each append is read back immediately."""

    def __init__(self, network: MemoryNetwork) -> None:
        self.network = network
        self.version = 0
        options = msgspec.structs.replace(
            build_options(),
            bootstrap_operator_hashes=(compute_key_hash(BOOTSTRAP_KEY),),
        )
        log, self._appends = trio.open_memory_channel[AppendToLog](100)
        outputs = CoreOutputs(
            log,
            trio.open_memory_channel[SendMessage](100)[0],
            trio.open_memory_channel[ReadDump](100)[0],
            trio.open_memory_channel[SendOrder | ReadState](100)[0],
        )
        self.drain = DrainState()
        self.task = CoreTask(options, Incarnation("x7"), outputs)
        self.handler = OperatorServer(self.task, options, self.drain)
        network.serve(ADDRESS, self.handler.handle, ServerLimits())

    async def run(self) -> None:
        """Run core and log until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.task.run)
            self.task.inbox.send_nowait(LogStateSeen(True))
            offset = 0
            self._read_log(offset, ())
            async for action in self._appends:
                record = LogRecord(offset, 1_000.0, action.text)
                self._read_log(offset, (record,))
                offset += 1

    def _read_log(self, offset: int, records: tuple[LogRecord, ...]) -> None:
        now_ms = trio.current_time() * 1000
        end = offset + len(records)
        self.task.inbox.send_nowait(LogRead(offset, end, records, end, now_ms))

    async def ask(
        self, method: str, target: str, key: str = OPERATOR_KEY, body: bytes = b""
    ) -> Response:
        """Send one request and return the complete response."""
        connection = await self.network.connect(ADDRESS, 1_000)
        try:
            await connection.send(method, target, authorize(key), body)
            head = await connection.read_head()
            return Response(head.status, head.headers, await connection.read_body())
        finally:
            await connection.close()

    async def put(self, key: str = OPERATOR_KEY, **put: object) -> Response:
        """Submit a patch based on the version in force."""
        patch = {"patch_id": f"p{self.version}", "base": self.version, "put": put}
        answer = await self.ask("POST", "/patches", key, msgspec.json.encode(patch))
        if answer.status == 200:
            self.version += 1
        return answer


@asynccontextmanager
async def run_operator_server() -> AsyncIterator[OperatorServerHarness]:
    """Run a server whose configuration has one operator and one customer."""
    async with trio.open_nursery() as nursery:
        served = OperatorServerHarness(MemoryNetwork(nursery))
        nursery.start_soon(served.run)
        answer = await served.put(
            BOOTSTRAP_KEY,
            operators=[{"name": "ana", "key_hashes": [compute_key_hash(OPERATOR_KEY)]}],
            customers=[{"name": "rio", "key_hashes": [compute_key_hash(KEY)]}],
        )
        assert answer.status == 200, answer.body
        yield served
        nursery.cancel_scope.cancel()
