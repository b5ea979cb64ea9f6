"""Measure the cost of requests in the decisions of one node, in this process."""

from __future__ import annotations

import random
import statistics
import time
from collections.abc import Iterator
from typing import Final

import msgspec

from toucanyard.admission import Admission
from toucanyard.configuration import Configuration, PriorityClass
from toucanyard.core_events import (
    DispatchFinished,
    LogRead,
    LogStateSeen,
    Reply,
    RequestArrived,
)
from toucanyard.explanations import DecisionRecord, Ended, ExplanationRing, Sent
from toucanyard.names import CustomerName, EndpointName, Incarnation, RequestId
from toucanyard.node_core import NodeCore
from toucanyard.options import AdmissionLimits
from toucanyard.platform_log import (
    LogRecord,
)
from toucanyard.requests import Dispatch, DispatchEnding, Outcome
from toucanyard.scoring import Score
from toucanyard.statistics import StatisticsCollector
from toucanyard_standins import bench_placement_cost as placement_cost
from toucanyard_standins.bench_path import build_options
from toucanyard_standins.bench_restart import build_configuration
from toucanyard_standins.capacity_sizes import CUSTOMERS, POOL_REPLICAS, encode_patches
from toucanyard_standins.capacity_slope import (
    Slope,
    measure_held_bytes,
    measure_slope,
    time_us,
)

_REQUESTS: Final = 400
_OUTCOME: Final = Outcome(
    RequestId("r"),
    EndpointName("e"),
    DispatchEnding.COMPLETED,
    first_token_ms=200.0,
    duration_ms=2_000.0,
    prompt_tokens=1_000,
    completion_tokens=100,
)


def iterate_request_slopes() -> Iterator[Slope]:
    """Measure decisions, admission, statistics and decision records."""
    sizes = (110, 220, 440, 880)
    yield measure_slope(
        "requests",
        "all decisions from arrival to end, median",
        "us",
        "replicas in the pool",
        POOL_REPLICAS,
        sizes,
        _time_request,
    )
    yield from _measure_admission()
    yield from _measure_statistics()
    yield from _measure_explanations()


def _time_request(replicas: int) -> float:
    core = _build_core(replicas)
    rng = random.Random(1)
    times_us: list[float] = []
    for number in range(_REQUESTS):
        request = placement_cost.make_request(rng, number)
        now_ms = number * 30.0
        started_s = time.perf_counter()
        actions = core.handle(RequestArrived(request), now_ms)
        (reply,) = [each for each in actions if isinstance(each, Reply)]
        assert isinstance(reply.verdict, Dispatch)
        outcome = Outcome(
            request.request_id,
            reply.verdict.endpoint,
            DispatchEnding.COMPLETED,
            first_token_ms=10.0,
            duration_ms=20.0,
            prompt_tokens=1_000,
            completion_tokens=10,
        )
        core.handle(DispatchFinished(outcome), now_ms + 20.0)
        times_us.append((time.perf_counter() - started_s) * 1e6)
    return statistics.median(times_us)


def _build_core(replicas: int) -> NodeCore:
    core = NodeCore(build_options(), Incarnation("i"), random.Random(1))
    configuration = Configuration(pools=(placement_cost.make_pool(replicas),))
    records = tuple(
        LogRecord(offset, 0.0, text)
        for offset, text in enumerate(encode_patches(configuration))
    )
    core.handle(LogRead(0, len(records), records, len(records), 0.0), 0.0)
    core.handle(LogStateSeen(True), 0.0)
    assert core.configuration.version == len(records)
    return core


def _measure_admission() -> Iterator[Slope]:
    def fill_queue(waiting: int) -> Admission:
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

    def time_offer(waiting: int) -> float:
        admission = fill_queue(waiting)
        request = placement_cost.make_request(random.Random(1), waiting + 1)

        def offer_and_abandon() -> None:
            admission.offer(request, 1.0)
            admission.abandon(request.request_id, 1.0)

        return time_us(offer_and_abandon)

    sizes = (250, 500, 1_000, 2_000)
    role, per = "admission", "waiting requests"
    yield measure_slope(role, "one in and out", "us", per, 2_000, sizes, time_offer)
    yield measure_slope(
        role,
        "memory of the queue, prompts' hashes with it",
        "B",
        per,
        2_000,
        sizes,
        lambda waiting: measure_held_bytes(lambda: fill_queue(waiting)),
    )


def _measure_statistics() -> Iterator[Slope]:
    """Measure customers in two classes; only the busiest have own histograms."""

    def fill(customers: int) -> StatisticsCollector:
        collector = StatisticsCollector()
        for number in range(customers):
            customer = CustomerName(f"customer-{number}")
            for priority in (PriorityClass.CHAT, PriorityClass.DRAFT):
                collector.record_outcome(customer, priority, _OUTCOME, 1.0)
        return collector

    def read(customers: int) -> float:
        collector = fill(customers)
        return time_us(lambda: list(collector.iterate_groups()))

    def read_one(customers: int) -> float:
        collector = fill(customers)
        return time_us(lambda: next(collector.iterate_groups()))

    def record(customers: int) -> float:
        collector = fill(customers)
        customer = CustomerName(f"customer-{customers - 1}")
        return time_us(
            lambda: collector.record_outcome(
                customer, PriorityClass.CHAT, _OUTCOME, 1.0
            )
        )

    role, per = "statistics", "customers in two classes"
    sizes, target_size = (200, 400, 800, CUSTOMERS), CUSTOMERS
    yield measure_slope(
        role,
        "memory of the histograms",
        "B",
        per,
        target_size,
        sizes,
        lambda customers: measure_held_bytes(lambda: fill(customers)),
    )
    yield measure_slope(role, "quantiles of all", "us", per, target_size, sizes, read)
    step = "the longest step of it, lists and the first group"
    yield measure_slope(role, step, "us", per, target_size, sizes, read_one)
    yield measure_slope(
        role, "one dispatch noted", "us", per, target_size, sizes, record
    )


def fill_records(count: int) -> ExplanationRing:
    """Return decision records of requests that were each dispatched once and ended."""
    ring = ExplanationRing()
    endpoint = EndpointName("replica-00001")
    for number in range(count):
        request_id = RequestId(f"node-1-0123456789-{number}")
        customer = CustomerName("customer-00001")
        ring.open(DecisionRecord(request_id, customer, 1, float(number)))
        scores = tuple(
            Score(endpoint, number + 0.1, number + 0.2, 0.0, 7, True, False, 1.5)
            for _ in range(3)
        )
        sent = Sent(float(number), endpoint, 1, 12, scores)
        ring.add_step(request_id, sent)
        ended = Ended(
            number + 30.5, endpoint, DispatchEnding.COMPLETED, number + 0.3, 640, 1_000
        )
        ring.add_step(request_id, ended)
    return ring


def _measure_explanations() -> Iterator[Slope]:
    yield measure_slope(
        "asking why",
        "memory of the records",
        "B",
        "records",
        20_000,
        (2_500, 5_000, 10_000, 20_000),
        lambda records: measure_held_bytes(lambda: fill_records(records)),
    )
