"""The replicas of one zone crash while they load new weights."""

from __future__ import annotations

import asyncio
import itertools
import os
import sys
import tempfile
import time
from pathlib import Path

import standins
from standins import HOST, KEY, MODEL, NODE_PORTS, Node, Replica, Store, fetch, wait_for

HERE = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
VERSION_MS, VERSION_ALL_MS = 12_000, 17_000
DOWN_S = 3.0
LOAD_S = 1.3
ASKED_PER_S = 5.0
AFTER_S = 45.0
"""Traffic after the new weights were named."""
BOUNDS = {"stableWindowMs": 3000, "drainMs": 2000, "graceS": 8, "configApplyMs": 2000,
          "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetSlack": 56, "fencingEnforced": False,
          "leaseMs": 3000, "thawMs": 300, "versionMs": VERSION_MS, "versionAllMs": VERSION_ALL_MS,
          "ttl_max_s": 5}
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine",
             "tenants", "platform"]
CONFIGURATION = {
    "version": 1,
    "routes": [{"name": "r1", "host": HOST, "pathPrefix": "/chat/", "routeKind": "streaming",
                "timeoutMs": 12000, "targetLatencyMs": 400, "priority": 0, "service": "savjetnik",
                "maxAttempts": 2, "public": False, "sticky": True, "resumable": True, "gapTargetMs": 400}],
    "services": [{"name": "savjetnik", "healthPath": "/healthz", "maxConns": 370, "protocol": "h1",
                  "tls": False, "engine": {"slots": 64, "kvCapacity": 110_234, "kvBytes": 35136,
                  "linkMbps": 1100000.0, "moves": True, "backups": True, "stride": 6, "maxInflight": 12,
                  "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0, "models": [{"name": MODEL}]}}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
               "idleTimeoutMs": 15000},
    "tenants": [{"name": "tenant-a", "apiKeys": [KEY], "priority": 1, "isolated": False}],
}


class Case:
    def __init__(self, folder):
        self.folder = folder
        self.begun = time.monotonic()
        self.lines = []
        self.answers = []
        self.ordered = asyncio.Event()
        self.numbers = itertools.count(1)

    def record(self, text):
        self.lines.append(f"{time.monotonic() - self.begun:8.3f} {text}")

    def on_order(self, replica, order, status):
        self.ordered.set()

    async def call(self, node):
        caller = f"q{next(self.numbers):06d}"
        headers = [("X-Attempt-Id", caller), ("Authorization", f"Token {KEY}"), ("X-Deadline-Ms", "4000"),
                   ("X-Model", MODEL), ("X-Token-Usage", "826,49"), ("X-Prompt-Prefix", f"aa11:198,{caller[1:]}:628")]
        sent = time.monotonic()
        try:
            status, _, _ = await fetch(f"{node.host}:{NODE_PORTS['frontend']}", "POST", f"/chat/{caller}",
                                       headers, b"x", 6.0)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            status = type(error).__name__
        self.answers.append((sent, status))
        self.record(f"request {caller} to {node.name}, answer {status}")

    async def send(self, nodes, until):
        tasks = set()
        for number in itertools.count():
            if time.monotonic() > until:
                break
            task = asyncio.create_task(self.call(nodes[number % len(nodes)]))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(1 / ASKED_PER_S)
        await asyncio.gather(*tasks)

    async def crash_zone(self, replicas, zone):
        await self.ordered.wait()
        await asyncio.sleep(0.5 * LOAD_S)
        hit = [r for r in replicas if r.zone == zone]
        self.record(f"zone {zone}: {len(hit)} replicas crash, {sum(r.busy for r in hit)} of them load weights")
        for replica in hit:
            replica.crash()
        await asyncio.sleep(DOWN_S)
        for replica in hit:
            await replica.start()
            replica.restarted = time.monotonic()
        self.record(f"zone {zone}: the replicas are back, with weights {sorted(r.version for r in hit)}")

    async def run(self):
        prefix = standins.find_prefix()
        store = Store()
        await store.start(prefix)
        store.put("keyed.op", "config", CONFIGURATION)
        store.put("keyed.op", f"version/{MODEL}", {"model": MODEL, "version": 1})
        replicas = []
        for n in range(1, 13):
            zone = ("zg-a", "zg-b", "ka-c")[(n - 1) // 4]
            replica = Replica(n, prefix, store, "savjetnik", self.record, MODEL, load_s=LOAD_S, zone=zone)
            replica.on_order = self.on_order
            replica.restarted = time.monotonic()
            replicas.append(replica)
            await replica.start()
        seeds = [f"{prefix}.2.{n}:{NODE_PORTS['controlPlane']}" for n in (1, 2, 3)]
        nodes = [Node(n, prefix, store, self.folder, BOUNDS, CONTRACTS, seeds) for n in (1, 2, 3)]
        try:
            for node in nodes:
                node.start()
            for node in nodes:
                await wait_for(node.is_ready, 20, f"{node.name} ready")
            await asyncio.sleep(4)
            named = time.monotonic()
            self.record("the operator names weights 2")
            store.put("keyed.op", f"version/{MODEL}", {"model": MODEL, "version": 2})
            jobs = [self.send(nodes, named + AFTER_S)]
            if TROUBLE:
                jobs.append(self.crash_zone(replicas, "zg-a"))
            await asyncio.gather(*jobs)
            ended = time.monotonic()
            old = [r for r in replicas if r.version < 2 and ended - max(named, r.restarted) > 1.5 * VERSION_MS / 1000]
        finally:
            for node in nodes:
                node.end()
        late = [status for sent, status in self.answers if sent > named + VERSION_MS / 1000]
        self.record(f"requests later than versionMs after the naming: {len(late)}, answered 200: {late.count(200)}")
        self.record(f"at the end of the traffic, {ended - named:.1f} s after the naming, {len(old)} of "
                    f"{len(replicas)} replicas have the older weights")
        return not (len(old) > 1 and len(old) > len(replicas) / 10)


async def main():
    with tempfile.TemporaryDirectory() as folder:
        case = Case(Path(folder))
        try:
            is_kept = await asyncio.wait_for(case.run(), 112)
            case.record("the rule held" if is_kept else "VERSION: the rule was broken")
            status = 0 if is_kept else 1
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
