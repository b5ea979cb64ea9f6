"""Measure what each role of one node costs, inside this process."""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Iterator
from typing import Final

import msgspec

from toucanyard.admission import Admission
from toucanyard.at_most_once import AtMostOnce
from toucanyard.configuration import Pool, PriorityClass
from toucanyard.configuration_log import ConfigurationLog
from toucanyard.configuration_records import (
    CheckpointRecord,
    decode_record,
    encode_checkpoint,
)
from toucanyard.explanations import DecisionRecord, ExplanationRing, Sent
from toucanyard.names import (
    Address,
    CustomerName,
    DomainName,
    EndpointName,
    Incarnation,
    NodeName,
    RequestId,
)
from toucanyard.options import AdmissionLimits, ConfigurationTimings
from toucanyard.orders import EndpointState, PoolOrders
from toucanyard.requests import EndingSeen, Outcome
from toucanyard.scoring import Score
from toucanyard.snapshots import encode_snapshot
from toucanyard.statistics import StatisticsCollector
from toucanyard.vm_view import Vm
from toucanyard_node.endpoint_watch import decode_events
from toucanyard_node.http_client import Response
from toucanyard_node.vm_list import VmListBody
from toucanyard_standins import bench_placement_cost as placement_cost, key_slopes
from toucanyard_standins.bench_detectors import measure_bytes, measure_costs
from toucanyard_standins.bench_restart import (
    build_configuration,
    build_snapshot,
    measure,
)
from toucanyard_standins.capacity_slope import (
    Slope,
    measure_held_bytes,
    measure_slope,
)

NODES: Final = 320
REPLICAS: Final = 4_400
CUSTOMERS: Final = 1_600
POOL: Final = 880
VMS: Final = 4_720
BLOCKS_HELD: Final = 400_000
KEYS: Final = 20_600
"""Ended keys of one node in a window of 600 s at 34 a second."""
EVENTS_PER_S: Final = 3_094
"""Cache events that one node reads a second: 330,000, each by 3 of 320 nodes."""

_REPLICA_SIZES: Final = (550, 1_100, 2_200, 4_400)
_TIMES: Final = 9
_DEAD: Final = 14
_BYTES_S: Final = 20


def iterate_slopes() -> Iterator[Slope]:
    """Measure one role after the other."""
    yield from _measure_configuration()
    yield from _measure_membership()
    yield from _measure_placement()
    yield from _measure_keys()
    yield from _measure_admission()
    yield from _measure_statistics()
    yield from _measure_explanations()
    yield from _measure_orders()
    yield from _measure_vm_list()


def _time_us(action: Callable[[], object]) -> float:
    return measure(action, _TIMES)[0] * 1_000


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
        return _time_us(lambda: decode_record(text))

    def hold(replicas: int) -> float:
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
        ("memory of one version", "B", hold),
        ("snapshot with 4,096 prefixes", "B", snapshot),
    ):
        yield measure_slope(role, cost, unit, per, REPLICAS, _REPLICA_SIZES, action)


def _measure_placement() -> Iterator[Slope]:
    def decide(replicas: int) -> float:
        times = placement_cost.measure_decisions(replicas)
        return float(times.get_value_at_percentile(50))

    def hold(blocks: int) -> float:
        held, held_bytes = placement_cost.measure_memory(blocks)
        return held_bytes * blocks / held

    def take_in(endpoints: int) -> float:
        hashes = placement_cost.HASHES_PER_EVENT
        return hashes * 1e6 / placement_cost.measure_events(endpoints)

    role = "placement view"
    sizes = placement_cost.REPLICAS[:4]
    yield measure_slope(
        role, "one decision, median", "us", "replicas in the pool", POOL, sizes, decide
    )
    sizes = placement_cost.BLOCKS[:4]
    yield measure_slope(
        role, "memory of the view", "B", "blocks", BLOCKS_HELD, sizes, hold
    )
    yield measure_slope(
        role, "one event", "us", "endpoints fed", 41, (1, 4, 16, 64), take_in
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
    return _time_us(lambda: decode_events(response))


def _measure_keys() -> Iterator[Slope]:
    sizes = (5_000, 10_000, 20_000, 40_000)
    fills: tuple[tuple[str, Callable[[AtMostOnce, int], None], int], ...] = (
        ("claim of any node", key_slopes.fill_claims, 50_000),
        ("issued key with an answer of 300 B", key_slopes.fill_issued, KEYS),
        ("key noted as witness", key_slopes.fill_notes, 2 * KEYS),
    )
    for cost, fill, wanted in fills:

        def hold(count: int, fill: Callable[[AtMostOnce, int], None] = fill) -> float:
            return measure_held_bytes(lambda: _fill(fill, count))

        def take(count: int, fill: Callable[[AtMostOnce, int], None] = fill) -> float:
            began_s = time.process_time()
            _fill(fill, count)
            return (time.process_time() - began_s) * 1e6

        role = "at most once"
        yield measure_slope(role, f"{cost}, memory", "B", "keys", wanted, sizes, hold)
        yield measure_slope(role, f"{cost}, time", "us", "keys", wanted, sizes, take)


def _fill(fill: Callable[[AtMostOnce, int], None], count: int) -> AtMostOnce:
    core = key_slopes.make_core()
    fill(core, count)
    return core


def _measure_admission() -> Iterator[Slope]:
    def queue(waiting: int) -> Admission:
        limits = AdmissionLimits(
            max_queued=10**6, max_queued_per_customer=10**6, max_wait_ms=10**8
        )
        admission = Admission(limits, random.Random(1))
        pool = placement_cost.make_pool(1)
        configuration = build_configuration(0, CUSTOMERS)
        admission.apply_configuration(
            msgspec.structs.replace(configuration, pools=(pool,))
        )
        rng = random.Random(1)
        for number in range(waiting):
            admission.offer(placement_cost.make_request(rng, number), 0.0)
        return admission

    def turn(waiting: int) -> float:
        admission = queue(waiting)
        request = placement_cost.make_request(random.Random(1), waiting + 1)

        def take_turn() -> None:
            admission.offer(request, 1.0)
            admission.abandon(request.request_id, 1.0)

        return _time_us(take_turn)

    sizes = (250, 500, 1_000, 2_000)
    role, per = "admission", "waiting requests"
    yield measure_slope(role, "one in and out", "us", per, 2_000, sizes, turn)
    yield measure_slope(
        role,
        "memory of the queue, prompts' hashes with it",
        "B",
        per,
        2_000,
        sizes,
        lambda waiting: measure_held_bytes(lambda: queue(waiting)),
    )


def _measure_statistics() -> Iterator[Slope]:
    def fill(groups: int) -> StatisticsCollector:
        collector = StatisticsCollector()
        outcome = Outcome(
            RequestId("r"),
            EndpointName("e"),
            EndingSeen.COMPLETED,
            first_token_ms=200.0,
            duration_ms=2_000.0,
            prompt_tokens=1_000,
            completion_tokens=100,
        )
        for number in range(groups):
            customer = CustomerName(f"customer-{number}")
            collector.record_outcome(customer, PriorityClass.CHAT, outcome, 1.0)
        return collector

    def read(groups: int) -> float:
        collector = fill(groups)
        return _time_us(collector.compute_statistics)

    role, per = "statistics", "customers and classes"
    sizes, wanted = (10, 20, 40, 80), 2 * CUSTOMERS
    yield measure_slope(
        role,
        "memory of the histograms",
        "B",
        per,
        wanted,
        sizes,
        lambda groups: measure_held_bytes(lambda: fill(groups)),
    )
    yield measure_slope(role, "quantiles of all", "us", per, wanted, sizes, read)


def _measure_explanations() -> Iterator[Slope]:
    def fill(records: int) -> ExplanationRing:
        ring = ExplanationRing()
        endpoint = EndpointName("replica-00001")
        for number in range(records):
            request_id = RequestId(f"node-1-0123456789-{number}")
            customer = CustomerName("customer-00001")
            ring.open(DecisionRecord(request_id, customer, 1, float(number), []))
            scores = tuple(
                Score(endpoint, number + 0.1, number + 0.2, 0.0, 7, True, False, 1.5)
                for _ in range(3)
            )
            sent = Sent(float(number), endpoint, 1, 12, scores)
            ring.add_step(request_id, sent)
        return ring

    yield measure_slope(
        "asking why",
        "memory of the records",
        "B",
        "records",
        20_000,
        (2_500, 5_000, 10_000, 20_000),
        lambda records: measure_held_bytes(lambda: fill(records)),
    )


def _measure_orders() -> Iterator[Slope]:
    def plan(replicas: int) -> float:
        pool: Pool = placement_cost.make_pool(replicas)
        orders = PoolOrders(pool.name, 1, 0.0)
        state = EndpointState(Incarnation("i"), "m", "w1")
        for endpoint in pool.endpoints:
            orders.note_state(endpoint.name, state, 1.0)
        return _time_us(lambda: orders.plan(pool, 10_000.0, 2.0))

    yield measure_slope(
        "orders", "one plan", "us", "replicas", POOL, (110, 220, 440, 880), plan
    )


def _measure_membership() -> Iterator[Slope]:
    sizes = (40, 80, 160, 320)
    costs = {nodes: measure_costs(nodes, nodes * REPLICAS // NODES) for nodes in sizes}
    sent = {nodes: measure_bytes(nodes, _DEAD, _BYTES_S) for nodes in sizes}
    rows: tuple[tuple[str, str, Callable[[int], float]], ...] = (
        ("one tick", "us", lambda nodes: costs[nodes].tick_ms * 1_000),
        ("a VM list", "us", lambda nodes: costs[nodes].vm_list_ms * 1_000),
        ("usable of all replicas", "us", lambda nodes: costs[nodes].usable_ms * 1_000),
        ("memory", "B", lambda nodes: float(costs[nodes].held_bytes)),
        ("digests sent, quiet", "B/s", lambda nodes: sent[nodes].quiet_bytes_per_s),
        (
            f"digests sent after {_DEAD} deaths at once, mean",
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
        return _time_us(lambda: msgspec.json.decode(body, type=VmListBody))

    sizes = (590, 1_180, 2_360, 4_720)
    yield measure_slope(
        "VM list", "bytes", "B", "VMs", VMS, sizes, lambda vms: float(len(encode(vms)))
    )
    yield measure_slope("VM list", "decoding", "us", "VMs", VMS, sizes, decode)
