from __future__ import annotations

import random

from core_world import build_endpoint, build_patch
from toucanyard.configuration import Configuration
from toucanyard.core_events import AppendToLog
from toucanyard.names import (
    EndpointName,
    Incarnation,
    NodeId,
    NodeName,
)
from toucanyard.order_messages import EndpointState, ReadState
from toucanyard.pool_order_runner import PoolOrderRunner

NODE = NodeId(NodeName("node-1"), Incarnation("a"))
TICK_MS = 100
ROUNDS = 600


def test_dead_replica_does_not_keep_its_pool_read_all_the_time() -> None:
    # One replica of a pool stays dead; the others are as desired. Reading all of them
    # twice a second because of it used a full core of a node with large pools.
    pools = build_patch().put.pools
    configuration = Configuration(version=1, pools=pools)
    dead = EndpointName(build_endpoint("engine-0", 10).name)
    runner = PoolOrderRunner(NODE, random.Random(1))
    runner.leases.set_read_start(0, 0)
    runner.leases.update_log_end(0.0)
    offset = 0
    reads: list[int] = []
    for number in range(ROUNDS):
        now_ms = float(number * TICK_MS)
        for action in runner.tick(configuration, [NODE.node], True, now_ms):
            match action:
                case AppendToLog(text=text):
                    runner.leases.apply_record(offset, now_ms, text, now_ms)
                    offset += 1
                case ReadState(endpoint=endpoint):
                    reads.append(number)
                    if endpoint != dead:
                        state = EndpointState(Incarnation("x"), "m", "w1")
                        runner.record_state(endpoint, state, now_ms)
    assert any(reads)
    late = [number for number in reads if number >= ROUNDS // 2]
    assert len(late) <= 7 * len(pools[0].endpoints)
