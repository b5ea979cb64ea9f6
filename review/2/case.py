"""A stream that starts 3.15 s after SIGTERM is cut when its node stops."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE))

from replica import Replica
from standins import (
    Channel,
    Connection,
    Node,
    Record,
    Request,
    Store,
    exit_with,
    find_port,
    find_prefix,
    is_ready,
    request_once,
    serve,
    wait_until,
)

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""Whether the case is run with its disruption."""
EVENTS = 14
EVENT_S = 0.45
"""Pause between two events, below the route's gapTargetMs of 500."""
SEND_AFTER_S = 3.15
"""Later than 3 s after SIGTERM, while the node still accepts requests."""
GRACE_S = 8.0
KEY = "key-of-a-tenant"
HEADERS = {
    "Host": "notices.example",
    "Authorization": f"Token {KEY}",
    "X-Deadline-Ms": "15000",
    "X-Model": "m0",
    "X-Token-Usage": "300,40",
    "X-Prompt-Prefix": "5c1e07a2:200,91bd3f06:100",
}
CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "lang-summary",
            "host": "notices.example",
            "pathPrefix": "/summary/",
            "routeKind": "streaming",
            "service": "drafter-llm",
            "timeoutMs": 15000,
            "targetLatencyMs": 800,
            "gapTargetMs": 500,
            "maxAttempts": 1,
            "priority": 0,
            "resumable": False,
            "sticky": True,
        }
    ],
    "services": [
        {
            "name": "drafter-llm",
            "maxConns": 630,
            "engine": {
                "slots": 128,
                "kvCapacity": 91305,
                "kvBytes": 131072,
                "linkMbps": 550000.0,
                "maxInflight": 8,
            },
        }
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 2000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [{"name": "tenant-a", "apiKeys": [KEY]}],
}


async def stream(replica: Replica, request: Request, channel: Channel) -> None:
    """Run a stream of EVENTS events, or one event for a short request."""
    count = EVENTS if request.path.startswith("/summary/long") else 1
    headers = replica.build_headers(request)
    await channel.start_chunked(200, {**headers, "Content-Type": "text/event-stream"})
    for number in range(1, count + 1):
        await channel.write_chunk(f"id: {number}\ndata: part {number}\n\n".encode())
        await asyncio.sleep(EVENT_S if count > 1 else 0)
    await channel.write_chunk(b"")


async def send_long(
    node: Node, connection: Connection, begun: float, record: Record
) -> str:
    """Send the long stream on a kept connection; return how it ended."""
    attempt = f"long-{node.name}"
    record.write(
        "caller_sends",
        attempt=attempt,
        node=node.name,
        after_sigterm_s=f"{time.monotonic() - begun:.3f}",
    )
    headers = {**HEADERS, "X-Attempt-Id": attempt}
    connection.send("POST", "/summary/long", headers, b"x" * 200)
    body = b""
    try:
        status, found = await connection.read_head()
        if status != 200:
            record.write("caller_gets", attempt=attempt, status=status)
            return f"status {status}"
        while chunk := await connection.read_chunk():
            body += chunk
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        record.write(
            "channel_ended",
            attempt=attempt,
            events=body.count(b"id:"),
            of=EVENTS,
            after_sigterm_s=f"{time.monotonic() - begun:.3f}",
            error=type(error).__name__,
        )
        return "cut"
    record.write("caller_gets", attempt=attempt, status=200, events=body.count(b"id:"))
    return "complete" if body.count(b"id:") == EVENTS else "short"


async def open_kept(node: Node, record: Record) -> Connection:
    """Open a connection and make one short request on it."""
    connection = await Connection.open(node.address("frontend"))
    headers = {**HEADERS, "X-Attempt-Id": f"first-{node.name}"}
    connection.send("POST", "/summary/short", headers, b"x")
    status, found, _ = await connection.read_answer()
    record.write(
        "kept_connection",
        node=node.name,
        status=status,
        connection=found.get("connection", "keep-alive"),
    )
    if status != 200 or "close" in found.get("connection", ""):
        raise RuntimeError("no kept connection")
    return connection


async def resolve(node: Node) -> str:
    """Ask a node where to connect; return its status and answer."""
    try:
        status, _, body = await request_once(
            node.address("directory"),
            "GET",
            "/api/resolve?name=notices.example&region=region-a&zone=zone-a",
            {"Host": "x"},
            timeout_s=1.0,
        )
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        return type(error).__name__
    return f"{status} {body.decode()}"


async def watch_resolve(nodes: list[Node], begun: float, record: Record) -> None:
    """Ask for new addresses once a second, as a caller whose answer has expired."""
    while True:
        for node in nodes:
            answer = await resolve(node)
            after_s = f"{time.monotonic() - begun:.3f}"
            record.write("resolve", node=node.name, after_sigterm_s=after_s, got=answer)
        await asyncio.sleep(1.0)


async def keep_running(nodes: list[Node], record: Record) -> None:
    """Start processes again that have ended, as the platform does."""
    while True:
        await asyncio.sleep(0.2)
        for node in nodes:
            assert node.process is not None
            if node.process.poll() is not None:
                record.write("node_ended", node=node.name, code=node.process.poll())
                await asyncio.sleep(0.5)
                node.start([])


async def run(folder: Path, record: Record) -> int:
    prefix = find_prefix()
    store = Store(record)
    store_host = f"{prefix}.200"
    store_port = find_port(store_host)
    await serve(store_host, store_port, store.handle)
    replica = Replica(
        "i-7f3a91c2", f"{prefix}.100", "drafter-llm", store, record, stream, "m0"
    )
    await replica.start()
    store.publish("keyed.op", "config", CONFIGURATION)
    store.publish("keyed.op", "version/m0", {"model": "m0", "version": 1})
    nodes = [
        Node(f"edge-{number}", f"{prefix}.{number}", f"{store_host}:{store_port}", folder)
        for number in (1, 2)
    ]
    try:
        for node in nodes:
            node.start([f"{nodes[0].host}:{nodes[0].ports['controlPlane']}"])
        for node in nodes:
            await wait_until(lambda node=node: is_ready(node), f"{node.name} is ready")
        await asyncio.sleep(2.0)
        kept = [await open_kept(node, record) for node in nodes]
        record.write("resolve", node=nodes[0].name, got=await resolve(nodes[0]))
        begun = time.monotonic()
        background = [asyncio.create_task(watch_resolve(nodes, begun, record))]
        if HAS_TROUBLE:
            for node in nodes:
                node.send_signal(signal.SIGTERM)
                record.write("sigterm", node=node.name)
            background.append(asyncio.create_task(keep_running(nodes, record)))
        await asyncio.sleep(begun + SEND_AFTER_S - time.monotonic())
        endings = await asyncio.gather(
            *(
                send_long(node, connection, begun, record)
                for node, connection in zip(nodes, kept, strict=True)
            )
        )
        for task in background:
            task.cancel()
        record.write("endings", endings=endings)
        return 1 if "cut" in endings else 0
    finally:
        for node in nodes:
            node.kill()
            node.keep_log_tail(HERE / "nodes.log")


async def main() -> int:
    record = Record(HERE / "record.txt")
    with tempfile.TemporaryDirectory() as folder:
        return await run(Path(folder), record)


exit_with(main)
