"""The holder of the right to order new weights misses another holder's time."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
import time
from pathlib import Path

import standins
from standins import HOST, KEY, MODEL, NODE_PORTS, Node, Replica, Store, wait_for

HERE = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEEP_S = 20.0
TURNED_AWAY_S = 9.0
BOUNDS = {"stableWindowMs": 3000, "drainMs": 2000, "graceS": 8, "configApplyMs": 2000,
          "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetSlack": 56, "fencingEnforced": False,
          "leaseMs": 3000, "thawMs": 300, "versionMs": 12000, "versionAllMs": 17000, "ttl_max_s": 5}
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
        self.orders = []

    def record(self, text):
        self.lines.append(f"{time.monotonic() - self.begun:8.3f} {text}")

    def on_order(self, replica, order, status):
        self.orders.append((time.monotonic(), replica.id, order["holder"], order["fencingToken"], status))

    async def name_weights(self, version, replicas):
        """Name new weights and wait until all replicas have them; return who ordered."""
        begun = len(self.orders)
        self.record(f"the operator names weights {version}")
        self.store.put("keyed.op", f"version/{MODEL}", {"model": MODEL, "version": version})

        async def have():
            return all(r.version >= version and not r.busy for r in replicas)

        await wait_for(have, 25, f"weights {version} in place")
        return {holder for _, _, holder, _, _ in self.orders[begun:]}

    def judge(self):
        """Return the orders that break rule ONE, as text."""
        highest, found = {}, []
        for at, replica, holder, fence, _ in self.orders:
            before = highest.get(replica)
            if before is not None and fence < before[0]:
                found.append(f"ONE: at {replica} an order of {holder} with fence {fence}, "
                             f"after one of {before[1]} with fence {before[0]}")
            if before is not None and fence == before[0] and holder != before[1]:
                found.append(f"ONE: two holders with fence {fence} at {replica}")
            if before is None or fence > before[0]:
                highest[replica] = (fence, holder)
        return found

    async def run(self):
        prefix = standins.find_prefix()
        self.store = store = Store(KEEP_S)
        await store.start(prefix)
        store.put("keyed.op", "config", CONFIGURATION)
        store.put("keyed.op", f"version/{MODEL}", {"model": MODEL, "version": 1})
        replicas = [Replica(n, prefix, store, "savjetnik", self.record, MODEL, load_s=1.0) for n in range(1, 7)]
        for replica in replicas:
            replica.on_order = self.on_order
            await replica.start()
        seeds = [f"{prefix}.2.{n}:{NODE_PORTS['controlPlane']}" for n in (1, 2, 3)]
        nodes = {}
        for n in (1, 2, 3):
            node = Node(n, prefix, store, self.folder, BOUNDS, CONTRACTS, seeds)
            nodes[node.name] = node
        try:
            for node in nodes.values():
                node.start()
            for node in nodes.values():
                await wait_for(node.is_ready, 20, f"{node.name} ready")
            await asyncio.sleep(4)
            (first,) = await self.name_weights(2, replicas)
            self.record(f"{first} has ordered weights 2")
            await asyncio.sleep(6)
            if TROUBLE:
                store.turned_away.add(nodes[first].process.pid)
                self.record(f"the store turns {first} away")
                asyncio.get_running_loop().call_later(TURNED_AWAY_S, self.serve_again, nodes[first])
                await asyncio.sleep(0.3)
            (second,) = await self.name_weights(3, replicas)
            done = time.monotonic()
            self.record(f"{second} has ordered weights 3")
            await asyncio.sleep(6)
            self.record(f"{second} gets SIGTERM")
            nodes[second].signal(signal.SIGTERM)

            async def has_ended():
                return nodes[second].process.poll() is not None

            await wait_for(has_ended, 9, f"{second} has ended")
            nodes[second].start()
            self.record(f"{second} is started again")
            await asyncio.sleep(max(done + KEEP_S + 6 - time.monotonic(), 0))
            third = await self.name_weights(4, replicas)
            self.record(f"{', '.join(sorted(third))} has ordered weights 4")
        finally:
            for node in nodes.values():
                node.end()
        return self.judge()

    def serve_again(self, node):
        self.store.turned_away.discard(node.process.pid)
        self.record(f"the store serves {node.name} again")


async def main():
    with tempfile.TemporaryDirectory() as folder:
        case = Case(Path(folder))
        try:
            found = await asyncio.wait_for(case.run(), 112)
            for text in found:
                case.record(text)
            case.record("ONE: the rule was broken" if found else "the rule held")
            status = 1 if found else 0
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
