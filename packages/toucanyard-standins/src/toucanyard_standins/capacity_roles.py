"""Measure the cost of all roles of a node, in this process."""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Iterator
from typing import Final

import msgspec

from toucanyard.at_most_once import AtMostOnce
from toucanyard.configuration import Pool
from toucanyard.configuration_log import ConfigurationLog
from toucanyard.configuration_records import (
    CheckpointRecord,
    decode_record,
    encode_checkpoint,
)
from toucanyard.names import (
    Address,
    DomainName,
    Incarnation,
    NodeName,
)
from toucanyard.options import ConfigurationTimings
from toucanyard.order_messages import EndpointState
from toucanyard.orders import PoolOrders
from toucanyard.snapshots import encode_snapshot
from toucanyard.vm_view import Vm
from toucanyard_node.endpoint_responses import decode_events
from toucanyard_node.http_client import Response
from toucanyard_node.vm_list import VmListBody
from toucanyard_standins import bench_placement_cost as placement_cost, key_slopes
from toucanyard_standins.bench_restart import (
    build_configuration,
    build_snapshot,
)
from toucanyard_standins.capacity_requests import iterate_request_slopes
from toucanyard_standins.capacity_sizes import CUSTOMERS, NODES, POOL_REPLICAS, REPLICAS
from toucanyard_standins.capacity_slope import (
    Slope,
    measure_held_bytes,
    measure_slope,
    time_us,
)
from toucanyard_standins.capacity_ticks import iterate_tick_slopes
from toucanyard_standins.membership_costs import measure_bytes, measure_costs

VMS: Final = 4_720
BLOCKS_HELD: Final = 400_000
KEYS: Final = 20_600
"""Ended keys of one node in a window of 600 s at 34 per second."""
EVENTS_PER_S: Final = 3_094
"""Cache events that one node reads per second: 330,000, each by 3 of 320 nodes."""

_REPLICA_SIZES: Final = (550, 1_100, 2_200, 4_400)
_DEAD_ENDPOINTS: Final = 14
_BYTES_RUN_S: Final = 20


def iterate_slopes() -> Iterator[Slope]:
    """Yield the slopes of all roles."""
    yield from _measure_configuration()
    yield from _measure_membership()
    yield from iterate_tick_slopes()
    yield from _measure_placement()
    yield from _measure_keys()
    yield from iterate_request_slopes()
    yield from _measure_orders()
    yield from _measure_vm_list()


def _build_checkpoint(replicas: int) -> CheckpointRecord:
    customers = replicas * CUSTOMERS // REPLICAS
    return CheckpointRecord(
        configuration=build_configuration(replicas, customers), next_offset=1
    )


def _measure_configuration() -> Iterator[Slope]:
    def size(replicas: int) -> float:
        return float(len(encode_checkpoint(_build_checkpoint(replicas))))

    def replay(replicas: int) -> float:
        text = encode_checkpoint(_build_checkpoint(replicas))
        return time_us(lambda: decode_record(text))

    def measure_held(replicas: int) -> float:
        text = encode_checkpoint(_build_checkpoint(replicas))
        return measure_held_bytes(lambda: decode_record(text))

    def snapshot(replicas: int) -> float:
        log = ConfigurationLog(ConfigurationTimings())
        log.adopt(_build_checkpoint(replicas))
        return float(len(encode_snapshot(build_snapshot(log, replicas))))

    role, per = "configuration", "replicas (with customers in proportion)"
    for cost, unit, action in (
        ("checkpoint", "B", size),
        ("reading a checkpoint", "us", replay),
        ("memory of one version", "B", measure_held),
        ("snapshot with 4,096 prefixes", "B", snapshot),
    ):
        yield measure_slope(role, cost, unit, per, REPLICAS, _REPLICA_SIZES, action)


def _measure_placement() -> Iterator[Slope]:
    def decide(replicas: int) -> float:
        times = placement_cost.measure_decisions(replicas)
        return float(times.get_value_at_percentile(50))

    def measure_held(blocks: int) -> float:
        held, held_bytes = placement_cost.measure_memory(blocks)
        return held_bytes * blocks / held

    def apply_events(endpoints: int) -> float:
        hashes = placement_cost.HASHES_PER_EVENT
        return hashes * 1e6 / placement_cost.measure_events(endpoints)

    role = "placement view"
    sizes = placement_cost.REPLICAS[:4]
    yield measure_slope(
        role,
        "one decision, median",
        "us",
        "replicas in the pool",
        POOL_REPLICAS,
        sizes,
        decide,
    )
    sizes = placement_cost.BLOCKS[:4]
    yield measure_slope(
        role, "memory of the view", "B", "blocks", BLOCKS_HELD, sizes, measure_held
    )
    yield measure_slope(
        role, "one event", "us", "endpoints fed", 41, (1, 4, 16, 64), apply_events
    )
    for cost, unit, action in (
        ("an answer with events, bytes", "B", _count_event_bytes),
        ("an answer with events, decoding", "us", _time_event_decoding),
    ):
        sizes = (50, 100, 200, 400)
        yield measure_slope(role, cost, unit, "events", EVENTS_PER_S, sizes, action)


def _encode_events(count: int) -> bytes:
    rng = random.Random(count)
    events = [
        {
            "seq": number,
            "kind": "stored",
            "hashes": [f"{rng.getrandbits(64):016x}" for _ in range(8)],
        }
        for number in range(count)
    ]
    body = {"incarnation": "i", "oldest": 0, "next": count, "events": events}
    return msgspec.json.encode(body)


def _count_event_bytes(count: int) -> float:
    return float(len(_encode_events(count)))


def _time_event_decoding(count: int) -> float:
    response = Response(200, {}, _encode_events(count))
    return time_us(lambda: decode_events(response))


def _measure_keys() -> Iterator[Slope]:
    sizes = (5_000, 10_000, 20_000, 40_000)
    fills: tuple[tuple[str, Callable[[AtMostOnce, int], None], int], ...] = (
        ("claim of any node", key_slopes.fill_claims, 50_000),
        ("issued key with an answer of 300 B", key_slopes.fill_issued, KEYS),
        ("key noted as witness", key_slopes.fill_backup_records, 2 * KEYS),
    )
    for cost, fill, target_size in fills:

        def measure_held(
            count: int, fill: Callable[[AtMostOnce, int], None] = fill
        ) -> float:
            return measure_held_bytes(lambda: _fill(fill, count))

        def measure_time_us(
            count: int, fill: Callable[[AtMostOnce, int], None] = fill
        ) -> float:
            started_s = time.process_time()
            _fill(fill, count)
            return (time.process_time() - started_s) * 1e6

        role = "at most once"
        yield measure_slope(
            role, f"{cost}, memory", "B", "keys", target_size, sizes, measure_held
        )
        yield measure_slope(
            role, f"{cost}, time", "us", "keys", target_size, sizes, measure_time_us
        )


def _fill(fill: Callable[[AtMostOnce, int], None], count: int) -> AtMostOnce:
    core = key_slopes.make_core()
    fill(core, count)
    return core


def _measure_orders() -> Iterator[Slope]:
    def plan(replicas: int) -> float:
        pool: Pool = placement_cost.make_pool(replicas)
        orders = PoolOrders(pool.name, 1, 0.0)
        state = EndpointState(Incarnation("i"), "m", "w1")
        for endpoint in pool.endpoints:
            orders.record_state(endpoint.name, state, 1.0)
        return time_us(lambda: orders.plan(pool, 10_000.0, 2.0))

    yield measure_slope(
        "orders",
        "one plan",
        "us",
        "replicas",
        POOL_REPLICAS,
        (110, 220, 440, 880),
        plan,
    )


def _measure_membership() -> Iterator[Slope]:
    sizes = (40, 80, 160, 320)
    costs = {nodes: measure_costs(nodes, nodes * REPLICAS // NODES) for nodes in sizes}
    sent = {
        nodes: measure_bytes(nodes, _DEAD_ENDPOINTS, _BYTES_RUN_S) for nodes in sizes
    }
    rows: tuple[tuple[str, str, Callable[[int], float]], ...] = (
        ("one tick", "us", lambda nodes: costs[nodes].tick_ms * 1_000),
        ("a VM list", "us", lambda nodes: costs[nodes].vm_list_ms * 1_000),
        ("usable of all replicas", "us", lambda nodes: costs[nodes].usable_ms * 1_000),
        (
            "usable after one has changed",
            "us",
            lambda nodes: costs[nodes].usable_changed_ms * 1_000,
        ),
        ("memory", "B", lambda nodes: float(costs[nodes].held_bytes)),
        ("digests sent, quiet", "B/s", lambda nodes: sent[nodes].quiet_bytes_per_s),
        (
            f"digests sent after {_DEAD_ENDPOINTS} deaths at once, mean",
            "B/s",
            lambda nodes: sent[nodes].after_bytes_per_s,
        ),
        ("the same, worst second", "B", lambda nodes: float(sent[nodes].worst_bytes)),
    )
    for cost, unit, action in rows:
        yield measure_slope("membership", cost, unit, "nodes", NODES, sizes, action)


def _measure_vm_list() -> Iterator[Slope]:
    def encode(vms: int) -> bytes:
        listed = tuple(
            Vm(
                NodeName(f"replica-{number:05}"),
                DomainName("domain-1"),
                runs="endpoint",
                endpoint=Address(f"10.{number // 250}.{number % 250}.1:8000"),
            )
            for number in range(vms)
        )
        return msgspec.json.encode(VmListBody(listed))

    def decode(vms: int) -> float:
        body = encode(vms)
        return time_us(lambda: msgspec.json.decode(body, type=VmListBody))

    sizes = (590, 1_180, 2_360, 4_720)
    yield measure_slope(
        "VM list", "bytes", "B", "VMs", VMS, sizes, lambda vms: float(len(encode(vms)))
    )
    yield measure_slope("VM list", "decoding", "us", "VMs", VMS, sizes, decode)
