"""Backpressure from a slow caller to the engine, on real sockets."""

from __future__ import annotations

import trio

from support.callers import (
    AUTHORIZED,
    ScriptedCore,
    build_completion,
    run_client_server,
)
from support.engines import ScriptedEngine
from toucanyard.names import Address
from toucanyard_node.http_server import (
    HttpServer,
    ServerLimits,
    find_port,
    open_listener,
)

TOKENS = ("x" * 4_000,) * 8_000
MAX_STREAM_BYTES = 64_000_000


async def wait_until_still(engine: ScriptedEngine) -> int:
    """Return the number of sent events once it stops growing."""
    sent = -1
    while sent != engine.events_sent:
        sent = engine.events_sent
        await trio.sleep(0.3)
    return sent


async def test_slow_caller_stops_engine() -> None:
    """A caller requests 32 MB of events and does not read them.

    The node must stop reading from the engine, so that the socket buffers fill up and
    the engine blocks. The node itself buffers no more than its replay buffer. Once the
    caller reads, all events arrive.
    """
    engine = ScriptedEngine(TOKENS)
    listener = await open_listener("127.0.0.1", 0)
    address = Address(f"127.0.0.1:{find_port(listener)}")
    async with trio.open_nursery() as nursery:
        server = HttpServer(engine.handle, ServerLimits())
        nursery.start_soon(server.serve, listener)
        async with run_client_server(ScriptedCore([address], silence_ms=400)) as served:
            connection = await served.open(
                "POST", "/v1/completions", AUTHORIZED, build_completion()
            )
            await connection.read_head()
            sent = await wait_until_still(engine)
            assert 0 < sent < len(TOKENS)
            body = await connection.read_body(MAX_STREAM_BYTES)
            assert body.count(b"\nid: ") + 1 == len(TOKENS) + 2
            assert len(engine.requests) == 1
            await connection.close()
        nursery.cancel_scope.cancel()
