"""Measure the cost of placement: decision time, events per second and memory.

Each is measured at several sizes, which shows how it scales. Times depend on the
machine and its load; medians over many decisions are printed.
"""

from __future__ import annotations

import gc
import random
import sys
import time
import tracemalloc
from collections.abc import Sequence
from typing import Final

import click
from hdrh.histogram import HdrHistogram

from toucanyard.cache_view import CacheEvent, CacheEventKind, CacheEvents
from toucanyard.configuration import (
    Endpoint,
    PlacementPolicy,
    Pool,
    PriorityClass,
)
from toucanyard.load_view import LoadReport
from toucanyard.names import (
    Address,
    CustomerName,
    DomainName,
    EndpointName,
    Incarnation,
    PoolName,
    RequestId,
)
from toucanyard.placement import Placement, PlacementLimits
from toucanyard.requests import ModelTarget, Repeatability, Request

REPLICAS: Final = (50, 200, 800, 2_000, 4_400)
BLOCKS: Final = (25_000, 50_000, 100_000, 200_000, 400_000)
CHAIN_BLOCKS: Final = 140
LEVELS: Final = 12
PREFIXES: Final = 400
DECISIONS: Final = 4_000
EVENTS: Final = 40_000
HASHES_PER_EVENT: Final = 8
MAX_US: Final = 1_000_000


def make_pool(replicas: int) -> Pool:
    """Return a pool with the given number of replicas."""
    endpoints = tuple(
        Endpoint(
            EndpointName(f"engine-{number}"),
            Address(f"10.0.{number // 250}.{number % 250}:8000"),
            DomainName(f"domain-{number % 5}"),
        )
        for number in range(replicas)
    )
    policy = PlacementPolicy(recompute_price=8.0)
    return Pool(PoolName("pool"), "m", "w1", endpoints, placement=policy)


def make_chain(rng: random.Random, prefix: int) -> tuple[int, ...]:
    """Return a prompt with 12 levels; deeper levels have more variants."""
    chain: list[int] = []
    parent = prefix
    for level in range(LEVELS):
        parent = hash((parent, rng.randrange(1 + level // 3)))
        for number in range(CHAIN_BLOCKS // LEVELS):
            chain.append(hash((parent, number)) & (2**64 - 1))
    return tuple(chain)


def make_request(rng: random.Random, number: int) -> Request:
    """Return a request with one of the prefixes."""
    prefix = int(PREFIXES * rng.random() ** 3)
    chain = make_chain(rng, prefix)
    target = ModelTarget(PoolName("pool"), "m", "", "w1", chain, len(chain) * 256, 100)
    return Request(
        RequestId(f"r{number}"),
        CustomerName(f"c{prefix % 8}"),
        PriorityClass.CHAT,
        target,
        Repeatability.REPEATABLE,
        0.0,
        1e12,
        1,
    )


def measure_decisions(replicas: int) -> HdrHistogram:
    """Return decision times in microseconds, measured while the views fill up."""
    rng = random.Random(replicas)
    placement = Placement(rng)
    placement.apply_node_count(320)
    pool = make_pool(replicas)
    for endpoint in pool.endpoints:
        report = LoadReport(
            Incarnation("i1"), rng.randrange(16), 100.0, 0, rng.randrange(40), 900, 900
        )
        placement.apply_load(endpoint.name, report, 0.0)
    histogram = HdrHistogram(1, MAX_US, 3)
    requests = [make_request(rng, number) for number in range(DECISIONS)]
    for number, request in enumerate(requests):
        now_ms = number * 5.0
        started_ns = time.perf_counter_ns()
        placed = placement.choose(request, pool, pool.endpoints, now_ms)
        took_us = (time.perf_counter_ns() - started_ns) // 1_000
        assert placed is not None
        placement.record_dispatch(request, placed, pool, now_ms)
        if number >= DECISIONS // 4:
            histogram.record_value(max(int(took_us), 1))
    return histogram


def measure_events(endpoints: int) -> float:
    """Return the hashes of cache events that one core applies per second."""
    placement = Placement(random.Random(1))
    batches = [
        CacheEvents(
            Incarnation("i1"),
            1,
            number + 2,
            (
                CacheEvent(
                    number + 1,
                    CacheEventKind.STORED if number % 2 else CacheEventKind.EVICTED,
                    tuple(range(number * 4, number * 4 + HASHES_PER_EVENT)),
                ),
            ),
        )
        for number in range(EVENTS // endpoints)
    ]
    names = [EndpointName(f"e{number}") for number in range(endpoints)]
    started_ns = time.perf_counter_ns()
    for number, batch in enumerate(batches):
        for name in names:
            placement.apply_cache_events(name, batch, float(number))
    took_s = (time.perf_counter_ns() - started_ns) / 1e9
    return len(batches) * endpoints * HASHES_PER_EVENT / took_s


def measure_memory(blocks: int, endpoints: int = 16) -> tuple[int, int]:
    """Return the blocks in a full view and their memory, with twice as many added."""
    gc.collect()
    tracemalloc.start()
    placement = Placement(random.Random(1), PlacementLimits(max_blocks=blocks))
    names = [EndpointName(f"e{number}") for number in range(endpoints)]
    rng = random.Random(2)
    for number in range(2 * blocks // (endpoints * HASHES_PER_EVENT)):
        for name in names:
            hashes = tuple(rng.getrandbits(63) for _ in range(HASHES_PER_EVENT))
            event = CacheEvent(number + 1, CacheEventKind.STORED, hashes)
            events = CacheEvents(Incarnation("i1"), 1, number + 2, (event,))
            placement.apply_cache_events(name, events, 0.0)
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return placement.count_blocks(), size


@click.command()
def run() -> None:
    """Measure the cost of placement at several sizes."""
    click.echo("replicas  decision us: median   p99")
    for replicas in REPLICAS:
        times = measure_decisions(replicas)
        middle = times.get_value_at_percentile(50)
        tail = times.get_value_at_percentile(99)
        click.echo(f"{replicas:8}  {middle:20} {tail:5}")
    click.echo("endpoints  hashes of cache events taken in per second")
    for endpoints in (1, 4, 16, 64):
        click.echo(f"{endpoints:9}  {measure_events(endpoints):.0f}")
    click.echo("bound on blocks   held      bytes  bytes/block")
    for blocks in BLOCKS:
        held, size = measure_memory(blocks)
        click.echo(f"{blocks:15} {held:6} {size:10}  {size / held:.1f}")


def main(arguments: Sequence[str]) -> int:
    """Run the bench; return an exit status."""
    run.main(list(arguments), "bench placement-cost", standalone_mode=False)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
