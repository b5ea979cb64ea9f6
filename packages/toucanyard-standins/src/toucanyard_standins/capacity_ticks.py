"""Measure the periodic work of a node's core without requests."""

from __future__ import annotations

import random
import time
from collections.abc import Iterator
from typing import Final

from toucanyard.cache_view import CacheEvents
from toucanyard.configuration import Configuration, Pool
from toucanyard.core_events import (
    CacheEventsRead,
    LogRead,
    LogStateSeen,
    ReadDump,
    TickPassed,
    VmsRead,
)
from toucanyard.names import Address, Incarnation, NodeName, PoolName
from toucanyard.node_core import NodeCore
from toucanyard.platform_log import LogRecord
from toucanyard.vm_view import Vm
from toucanyard_standins.bench_path import build_options
from toucanyard_standins.bench_restart import build_configuration
from toucanyard_standins.capacity_sizes import NODES, REPLICAS, encode_patches
from toucanyard_standins.capacity_slope import Slope, measure_slope

_POOLS: Final = 5
_TICK_MS: Final = 50.0
_TICKS: Final = 200
_NODE_COUNTS: Final = (40, 80, 160, 320)


def iterate_tick_slopes() -> Iterator[Slope]:
    """Measure ticks of a core with a view of every replica."""
    role, per = "core", "nodes, and 13.75 replicas for each"
    for cost, unit, action in (
        ("one tick, mean", "us", _time_tick),
        ("lists of blocks asked for", "a second", _count_dumps),
        ("one VM list taken in", "us", _time_vm_list),
    ):
        yield measure_slope(role, cost, unit, per, NODES, _NODE_COUNTS, action)


def _time_tick(nodes: int) -> float:
    core = _build_core(nodes)
    started_s = time.perf_counter()
    _run_ticks(core)
    return (time.perf_counter() - started_s) * 1e6 / _TICKS


def _count_dumps(nodes: int) -> float:
    return _run_ticks(_build_core(nodes)) * 1_000 / (_TICKS * _TICK_MS)


def _time_vm_list(nodes: int) -> float:
    core = _build_core(nodes)
    event = VmsRead(_build_vms(core.configuration, nodes))
    started_s = time.perf_counter()
    core.handle(event, 1.0)
    return (time.perf_counter() - started_s) * 1e6


def _run_ticks(core: NodeCore) -> int:
    """Run ticks; return how many cache dumps were requested."""
    dumps = 0
    for number in range(_TICKS):
        now_ms = 1_000.0 + number * _TICK_MS
        # The core ignores its pool leases unless the end of the log is known.
        core.log.update_log_end(core.log.next_offset, now_ms)
        actions = core.handle(TickPassed(), now_ms)
        dumps += sum(isinstance(action, ReadDump) for action in actions)
    return dumps


def _build_core(nodes: int) -> NodeCore:
    configuration = _build_pools(nodes * REPLICAS // NODES)
    core = NodeCore(build_options(), Incarnation("i"), random.Random(1))
    records = tuple(
        LogRecord(offset, 0.0, text)
        for offset, text in enumerate(encode_patches(configuration))
    )
    core.handle(LogRead(0, len(records), records, len(records), 0.0), 0.0)
    core.handle(LogStateSeen(True), 0.0)
    core.handle(VmsRead(_build_vms(core.configuration, nodes)), 0.0)
    no_events = CacheEvents(Incarnation("i"), 0, 1, ())
    for endpoint in core.list_endpoints():
        core.handle(CacheEventsRead(endpoint.name, no_events), 0.0)
    return core


def _build_pools(replicas: int) -> Configuration:
    endpoints = [
        endpoint
        for pool in build_configuration(replicas, 0).pools
        for endpoint in pool.endpoints
    ]
    pools = tuple(
        Pool(PoolName(f"pool-{number}"), f"m{number}", "w1", tuple(share))
        for number in range(_POOLS)
        if (share := endpoints[number::_POOLS])
    )
    return Configuration(pools=pools)


def _build_vms(configuration: Configuration, nodes: int) -> tuple[Vm, ...]:
    options = build_options()
    names = [options.name, *(NodeName(f"node-{each}") for each in range(1, nodes))]
    listed = [Vm(name, options.domain, peers=Address("10.255.0.1:1")) for name in names]
    listed += [
        Vm(
            f"vm-{endpoint.name}",
            endpoint.domain,
            runs="endpoint",
            endpoint=endpoint.address,
        )
        for pool in configuration.pools
        for endpoint in pool.endpoints
    ]
    return tuple(listed)
