"""Replicas stay on old weights for good after a node was frozen during two rollouts."""

from __future__ import annotations

import asyncio
import json
import os
import random
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
REPLICAS = 6
LOAD_S = 0.55
FREEZE_S = 3.5
"""As in the site's `troubles`; its days freeze machines for up to 7.9 s."""
FIRST_NAMED_S = 0.3
"""When the first of the two versions is named, after the freeze begins."""
SECOND_NAMED_S = 3.2
VERSION_S = 8.0
"""versionMs of the settings."""
ROUNDS = 4
"""Times that it is done; the case ends at the first in which the rule is broken."""
REQUESTERS = 40
INTERVAL_S = 1.0
"""Time between two requests of one requester."""
PATIENCE_S = 4.0
"""How long a requester waits for a stream's first event: the longest of 2 s, 4 x the
latency target of 800 ms and 8 x the pause of 500 ms."""
KEY = "key-of-a"
ROUTE = {
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
    "public": False,
}
CONFIGURATION = {
    "version": 1,
    "routes": [ROUTE],
    "services": [
        {
            "name": "drafter-llm",
            "healthPath": "/healthz",
            "maxConns": 630,
            "engine": {
                "slots": 128,
                "kvCapacity": 91305,
                "kvBytes": 131072,
                "linkMbps": 550000.0,
                "maxInflight": 12,
            },
        }
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [{"name": "tenant-a", "apiKeys": [KEY], "priority": 1}],
}


async def stream(replica: Replica, request: Request, channel: Channel) -> None:
    """Run a short stream."""
    headers = replica.build_headers(request)
    await channel.start_chunked(200, {**headers, "Content-Type": "text/event-stream"})
    for number in range(1, 4):
        await channel.write_chunk(f"id: {number}\ndata: part {number}\n\n".encode())
        await asyncio.sleep(0.03)
    await channel.write_chunk(b"")


class Requester:
    """One caller; it behaves as the pages say and opens a channel for each request."""

    def __init__(
        self, name: str, nodes: list[Node], keeps_s: float, callers: Callers
    ) -> None:
        self._name = name
        self._nodes = nodes
        """Nodes that it asks where to connect, nearest first."""
        self._keeps_s = keeps_s
        """How long it keeps an answer, as a multiple of its `ttlS`."""
        self._callers = callers
        self._addresses: list[str] = []
        self._until = 0.0
        self._failed: set[str] = set()
        """Addresses that have failed it since its last new answer."""

    async def run(self, interval_s: float) -> None:
        """Send a request each interval, until cancelled."""
        number = 0
        async with asyncio.TaskGroup() as group:
            while True:
                number += 1
                attempt = f"{self._name}-{number}"
                group.create_task(self._callers.call(self, attempt, number))
                await asyncio.sleep(interval_s)

    async def choose(self) -> str | None:
        """Return the address for a new channel."""
        if time.monotonic() >= self._until:
            await self._resolve()
        usable = [each for each in self._addresses if each not in self._failed]
        return random.choice(usable or self._addresses or [None])

    def record_failed(self, address: str) -> None:
        """Exclude an address that has failed."""
        self._failed.add(address)

    async def _resolve(self) -> None:
        for node in self._nodes:
            try:
                status, _, body = await request_once(
                    node.address("directory"),
                    "GET",
                    "/api/resolve?name=notices.example&region=region-a&zone=zone-a",
                    {"Host": "x"},
                    timeout_s=1.0,
                )
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                continue
            found = json.loads(body)
            if status == 200 and found.get("addresses"):
                self._addresses = found["addresses"]
                self._until = time.monotonic() + found["ttlS"] * self._keeps_s
                self._failed.clear()
                return


class Callers:
    """All callers, and how their requests ended."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self.results: list[tuple[float, object]] = []
        """When each request was sent, and its status or how it failed."""

    async def call(self, requester: Requester, attempt: str, number: int) -> None:
        """Send one request and wait for its answer as long as the pages say."""
        address = await requester.choose()
        if address is None:
            return
        host, _, port = address.rpartition(":")
        headers = {
            "Host": "notices.example",
            "X-Attempt-Id": attempt,
            "Authorization": f"Token {KEY}",
            "X-Deadline-Ms": "15000",
            "X-Model": "m0",
            "X-Token-Usage": "400,20",
            "X-Prompt-Prefix": f"{number % 8 + 16:x}:300,{random.getrandbits(32):08x}:100",
        }
        sent = time.monotonic()
        result: object
        try:
            result, _, _ = await request_once(
                (host, int(port)),
                "POST",
                "/summary/x",
                headers,
                b"x" * 100,
                timeout_s=PATIENCE_S,
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            requester.record_failed(address)
            result = type(error).__name__
        self.results.append((sent, result))
        self._record.write("caller", attempt=attempt, node=host, got=result)

    def count_since(self, since: float) -> dict[str, int]:
        """Return how many requests sent since a time ended in each way."""
        found: dict[str, int] = {}
        for sent, result in self.results:
            if sent >= since:
                found[str(result)] = found.get(str(result), 0) + 1
        return found


async def wait_versions(replicas: list[Replica], version: int, timeout_s: float) -> None:
    """Wait until all replicas have a version."""

    async def have_it() -> bool:
        return all(each.version >= version for each in replicas)

    await wait_until(have_it, f"all replicas have version {version}", timeout_s)


def name_version(store: Store, version: int, record: Record) -> float:
    """Name new weights as the operator does; return when that was confirmed."""
    store.publish("keyed.op", "version/m0", {"model": "m0", "version": version})
    record.write("version_named", version=version)
    return time.monotonic()


async def run_round(
    first: int,
    replicas: list[Replica],
    nodes: list[Node],
    store: Store,
    callers: Callers,
    record: Record,
) -> bool:
    """Name two versions while a node is frozen; return whether the rule is broken."""
    holders = {each.holder for each in replicas}
    frozen = next(node for node in nodes if node.name not in holders)
    begun = time.monotonic()
    if HAS_TROUBLE:
        frozen.send_signal(signal.SIGSTOP)
        record.write("frozen", node=frozen.name)
    await asyncio.sleep(begun + FIRST_NAMED_S - time.monotonic())
    name_version(store, first, record)
    await asyncio.sleep(begun + SECOND_NAMED_S - time.monotonic())
    versions = [each.version for each in replicas]
    record.write("versions_before_second", versions=versions)
    confirmed = name_version(store, first + 1, record)
    await asyncio.sleep(begun + FREEZE_S - time.monotonic())
    if HAS_TROUBLE:
        frozen.send_signal(signal.SIGCONT)
        record.write("thawed", node=frozen.name)
    until = confirmed + 1.5 * VERSION_S + 3.0
    await asyncio.sleep(until - time.monotonic())
    old = [each.name for each in replicas if each.version <= first]
    record.write("replicas_on_old_weights", count=len(old), of=REPLICAS, which=old)
    ended = callers.count_since(confirmed + VERSION_S)
    record.write("requests_sent_after_version_ms", ended=ended)
    return len(old) > 1 and len(old) > REPLICAS / 10


async def run(folder: Path, record: Record) -> int:
    prefix = find_prefix()
    store = Store(record)
    store_host = f"{prefix}.200"
    store_port = find_port(store_host)
    await serve(store_host, store_port, store.handle)
    replicas = [
        Replica(f"i-{n}f3a91c2", f"{prefix}.{100 + n}", "drafter-llm", store, record, stream, "m0")
        for n in range(1, REPLICAS + 1)
    ]
    for replica in replicas:
        replica.load_s = LOAD_S
        await replica.start()
    store.publish("keyed.op", "config", CONFIGURATION)
    name_version(store, 1, record)
    address = f"{store_host}:{store_port}"
    nodes = [Node(f"edge-{n}", f"{prefix}.{n}", address, folder) for n in (1, 2, 3)]
    callers = Callers(record)
    background: list[asyncio.Task[None]] = []
    try:
        for node in nodes:
            node.start([f"{nodes[0].host}:{nodes[0].ports['controlPlane']}"])
        for node in nodes:
            await wait_until(lambda node=node: is_ready(node), f"{node.name} is ready")
        await asyncio.sleep(1.5)
        for number in range(REQUESTERS):
            begin = number % len(nodes)
            nearest_first = nodes[begin:] + nodes[:begin]
            keeps = 3.0 if number % 3 == 0 else 1.0
            requester = Requester(f"r{number}", nearest_first, keeps, callers)
            background.append(asyncio.create_task(requester.run(INTERVAL_S)))
            await asyncio.sleep(INTERVAL_S / REQUESTERS)
        name_version(store, 2, record)
        await wait_versions(replicas, 2, 12.0)
        await asyncio.sleep(1.5)
        for number in range(ROUNDS):
            first = 3 + 2 * number
            if await run_round(first, replicas, nodes, store, callers, record):
                return 1
        return 0
    finally:
        for task in background:
            task.cancel()
        for node in nodes:
            node.kill()
            node.keep_log_tail(HERE / "nodes.log")


async def main() -> int:
    record = Record(HERE / "record.txt")
    with tempfile.TemporaryDirectory() as folder:
        return await run(Path(folder), record)


exit_with(main)
