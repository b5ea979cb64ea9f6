"""Another writer overwrites the entry of a replica that has crashed."""

from __future__ import annotations

import asyncio
import itertools
import os
import sys
import tempfile
import time
from pathlib import Path

import standins
from standins import HOST, KEY, NODE_PORTS, Node, Replica, Store, read_message, wait_for

HERE = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WORK_S = 0.3
CHANNELS = 18
"""Channels of requesters to each node; each sends a request, waits for its answer, and sends the next."""
TRAFFIC_S = 50.0
CRASH_AT_S = 4.0
BOUNDS = {"stableWindowMs": 4000, "drainMs": 3000, "graceS": 8, "configApplyMs": 3000,
          "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetSlack": 184, "fencingEnforced": False,
          "leaseMs": 3000, "thawMs": 300, "versionMs": 10000, "versionAllMs": 14000, "ttl_max_s": 5}
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "health", "tenants", "platform"]
CONFIGURATION = {
    "version": 1,
    "routes": [{"name": "r1", "host": HOST, "pathPrefix": "/correct/", "routeKind": "non_idempotent",
                "timeoutMs": 2689, "targetLatencyMs": 215, "priority": 2, "service": "records-app",
                "maxAttempts": 1, "public": False}],
    "services": [{"name": "records-app", "healthPath": "/healthz", "maxConns": 490, "protocol": "h1", "tls": False}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
               "idleTimeoutMs": 15000},
    "tenants": [{"name": "tenant-a", "apiKeys": [KEY], "priority": 1, "isolated": False}],
}


class Case:
    def __init__(self, folder):
        self.folder = folder
        self.begun = time.monotonic()
        self.lines = []
        self.ran = {}
        self.lost = []
        self.counts = {}
        self.numbers = itertools.count(1)

    def record(self, text):
        self.lines.append(f"{time.monotonic() - self.begun:8.3f} {text}")

    def on_run(self, request, caller, began):
        self.ran[caller] = began

    async def channel(self, node, until):
        """Send one request after the other on kept channels."""
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection(node.host, NODE_PORTS["frontend"])
            except OSError:
                await asyncio.sleep(0.2)
                continue
            is_first = True
            try:
                while time.monotonic() < until:
                    if not await self.exchange(node, reader, writer, is_first):
                        break
                    is_first = False
            finally:
                writer.close()

    async def exchange(self, node, reader, writer, is_first):
        """Send one request; return whether the channel may be used again."""
        caller = f"q{next(self.numbers):06d}"
        head = (f"POST /correct/{caller} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {caller}\r\n"
                f"Authorization: Token {KEY}\r\nX-Deadline-Ms: 2600\r\nContent-Length: 1\r\n\r\nx")
        try:
            writer.write(head.encode())
            await writer.drain()
            first, headers, _ = await asyncio.wait_for(read_message(reader), 4.0)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
            self.count(type(error).__name__)
            if caller in self.ran and not is_first:
                self.lost.append(caller)
                self.record(f"request {caller} on a kept channel of {node.name} ran and got no answer")
            return False
        self.count(first.split(" ")[1])
        return headers.get("connection", "").lower() != "close"

    def count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1

    async def trouble(self, store, replica):
        """Let a replica crash; with the disruption another writer then writes its entry."""
        await asyncio.sleep(CRASH_AT_S)
        replica.crash()
        await asyncio.sleep(1.0)
        if TROUBLE:
            entry = {"service": "another-program", "address": f"{replica.host}:{replica.port}",
                     "zone": replica.zone, "version": "v1", "slots": 64, "state": "ready",
                     "coldLeftMs": 0, "sequence": 1}
            store.put("keyed.servers", replica.id, entry)
            self.record(f"another writer overwrites the entry of {replica.id}: {entry}")

    async def watch(self, node):
        """Start a node again that ends by itself, as the platform does."""
        while True:
            await asyncio.sleep(0.05)
            if node.process.poll() is None:
                continue
            self.record(f"{node.name} has ended by itself with status {node.process.poll()}")
            for line in node.log.read_text(errors="replace").splitlines()[-3:]:
                self.record(f"  end of its log: {line.strip()[:160]}")
            await asyncio.sleep(1.0)
            node.start()
            self.record(f"{node.name} is started again")

    async def run(self):
        prefix = standins.find_prefix()
        store = Store()
        await store.start(prefix)
        store.put("keyed.op", "config", CONFIGURATION)
        replicas = [Replica(n, prefix, store, "records-app", self.record, work_s=WORK_S) for n in range(1, 5)]
        for replica in replicas:
            replica.on_run = self.on_run
            await replica.start()
        seeds = [f"{prefix}.2.{n}:{NODE_PORTS['controlPlane']}" for n in (1, 2, 3)]
        nodes = [Node(n, prefix, store, self.folder, BOUNDS, CONTRACTS, seeds) for n in (1, 2, 3)]
        watchers = []
        try:
            for node in nodes:
                node.start()
            for node in nodes:
                await wait_for(node.is_ready, 20, f"{node.name} ready")
            await asyncio.sleep(4)
            watchers = [asyncio.create_task(self.watch(node)) for node in nodes]
            until = time.monotonic() + TRAFFIC_S
            jobs = [self.channel(node, until) for node in nodes for _ in range(CHANNELS)]
            await asyncio.gather(self.trouble(store, replicas[-1]), *jobs)
        finally:
            for watcher in watchers:
                watcher.cancel()
            for node in nodes:
                node.end()
        self.record(f"answers: {dict(sorted(self.counts.items()))}")
        return self.lost


async def main():
    with tempfile.TemporaryDirectory() as folder:
        case = Case(Path(folder))
        try:
            lost = await asyncio.wait_for(case.run(), 112)
            case.record(f"requests on kept channels that ran and got no answer: {len(lost)}")
            case.record("LOST: the rule was broken" if len(lost) > 3 else "the rule held")
            status = 1 if len(lost) > 3 else 0
        except Exception as error:  # the case could not run
            case.record(f"the case could not run: {error!r}")
            status = 2
        (HERE / "record.txt").write_text("\n".join(case.lines) + "\n")
        print("\n".join(case.lines[-3:]))
        if os.environ.get("KEEP_LOGS"):
            import shutil
            shutil.copytree(folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
    return status


sys.exit(asyncio.run(main()))
