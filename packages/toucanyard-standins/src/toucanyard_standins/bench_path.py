"""Measure the overhead of a node compared with a direct connection to an engine.

One run measures all request paths with the same engines and the same load: direct,
through a relay on the same libraries without routing decisions, and through a node. A
node is one process, so its CPU time gives the capacity of one core, independent of
the load generator and the engines.
"""

from __future__ import annotations

import argparse
import os
import pstats
import statistics
import sys
import tempfile
from pathlib import Path
from typing import Final

import msgspec
import trio

from toucanyard.configuration import PlacementPolicy
from toucanyard.names import Address, DomainName, NodeName
from toucanyard.options import (
    AdmissionLimits,
    CallerLimits,
    DrainTimings,
    ListenOptions,
    Options,
    PlatformOptions,
)
from toucanyard_standins.deployment import (
    CALLER_KEY,
    Deployment,
    DeploymentSizes,
    start_deployment,
)
from toucanyard_standins.engine_faults import SlowDown
from toucanyard_standins.harness import Harness, open_harness
from toucanyard_standins.load import (
    Target,
    hold_streams,
    run_short_requests,
    run_streams,
    time_streams,
)
from toucanyard_standins.processes import ProcessHandle

_MAX_FIRST_TOKEN_MS: Final = 3.0
_MIN_REQUESTS_PER_S: Final = 600.0
_MAX_EVENT_US: Final = 40.0
_MAX_STREAM_KB: Final = 64.0
_LIGHT_TOKENS: Final = 4
_CONNECTIONS: Final = 16
_HELD_SLOWDOWN: Final = 2_000.0
_MEMORY_SETTLE_S: Final = 1.0
_PROFILE_LINES: Final = 40
_PROFILE_STOP_S: Final = 15.0
_ANY_PORT: Final = Address("127.0.0.1:0")
_ENGINE_ARGUMENTS: Final = (
    *("--decode-step-ms", "2"),
    *("--decode-ms-per-sequence", "0"),
    *("--max-running", "2000"),
)


class BenchSizes(msgspec.Struct, frozen=True):
    """The number of requests, streams and tokens in each part of the bench."""

    light_requests: int
    short_requests: int
    streams: int
    tokens: int
    held_streams: int


class RequestPath(msgspec.Struct, frozen=True):
    """One path to an engine, and the process whose cost is measured."""

    name: str
    target: Target
    handle: ProcessHandle


class Cost(msgspec.Struct, frozen=True):
    """The CPU time of a process in one part of the bench, and the units processed."""

    cpu_s: float
    units: int
    elapsed_s: float


class Row(msgspec.Struct, frozen=True):
    """One measured quantity for every path."""

    name: str
    unit: str
    values: list[float]
    """Direct, through the relay, through the node."""
    added: float
    """The value that is compared with the aim."""
    aim: str
    is_met: bool


def build_options() -> Options:
    """Return settings with limits that the bench doesn't reach."""
    return Options(
        NodeName("node"),
        DomainName("domain"),
        ListenOptions(_ANY_PORT, _ANY_PORT, _ANY_PORT),
        PlatformOptions(_ANY_PORT, _ANY_PORT),
        ("bench",),
        callers=CallerLimits(locate_ttl_ms=1),
        admission=AdmissionLimits(max_queued=10_000, max_queued_per_customer=10_000),
        drain=DrainTimings(min_notice_ms=1, max_drain_ms=2_000),
    )


async def measure_first_token(targets: tuple[Target, ...], count: int) -> Row:
    """Compare the time to the first token at a light load."""
    times = await time_streams(targets, count, _LIGHT_TOKENS)
    medians = [
        statistics.median(each.first_token_ms for each in path) for path in times
    ]
    added = medians[2] - medians[0]
    aim = f"added < {_MAX_FIRST_TOKEN_MS:g}"
    is_met = added < _MAX_FIRST_TOKEN_MS
    name = "first token, median"
    return Row(name, "ms", medians, added, aim, is_met)


async def measure_requests(path: RequestPath, count: int) -> Cost:
    """Return the CPU time of a process for short requests."""
    before_s = path.handle.read_cpu_s()
    elapsed_s = await run_short_requests(path.target, count, _CONNECTIONS)
    return Cost(path.handle.read_cpu_s() - before_s, count, elapsed_s)


async def measure_events(path: RequestPath, sizes: BenchSizes) -> Cost:
    """Return the CPU time of a process for token events."""
    before_s, started_s = path.handle.read_cpu_s(), trio.current_time()
    times = await run_streams(path.target, sizes.streams, sizes.tokens)
    elapsed_s = trio.current_time() - started_s
    events = sum(each.events for each in times)
    return Cost(path.handle.read_cpu_s() - before_s, events, elapsed_s)


async def measure_memory(path: RequestPath, streams: int) -> float:
    """Return the resident memory that one open stream adds to a process."""
    handle = path.handle
    before = handle.read_resident_bytes()
    async with trio.open_nursery() as nursery:
        await nursery.start(hold_streams, path.target, streams)
        await trio.sleep(_MEMORY_SETTLE_S)
        after = handle.read_resident_bytes()
        nursery.cancel_scope.cancel()
    await trio.sleep(_MEMORY_SETTLE_S)
    return (after - before) / streams


def compare_requests(costs: list[Cost]) -> Row:
    """Compare the rate of short requests that one core serves."""
    rates = [cost.units / cost.cpu_s for cost in costs]
    is_met = rates[2] >= _MIN_REQUESTS_PER_S
    aim = f"node >= {_MIN_REQUESTS_PER_S:g}"
    return Row("short requests of one core", "1/s", rates, rates[2], aim, is_met)


def compare_events(costs: list[Cost]) -> Row:
    """Compare the CPU time of one token event."""
    each_us = [cost.cpu_s * 1e6 / cost.units for cost in costs]
    is_met = each_us[2] < _MAX_EVENT_US
    aim = f"node < {_MAX_EVENT_US:g}"
    return Row("processor time of one event", "us", each_us, each_us[2], aim, is_met)


def compare_memory(sizes_bytes: list[float]) -> Row:
    """Compare the memory of one open stream."""
    sizes = [each / 1024 for each in sizes_bytes]
    is_met = sizes[2] < _MAX_STREAM_KB
    aim = f"node < {_MAX_STREAM_KB:g}"
    return Row("memory of one stream", "KB", sizes, sizes[2], aim, is_met)


async def measure(deployment: Deployment, harness: Harness, sizes: BenchSizes) -> None:
    """Measure all quantities and print each as soon as it is known."""
    node, engine = deployment.nodes[0], deployment.engines[0]
    relay = await harness.start_relay(engine)
    paths = (
        RequestPath("direct", Target(engine.address), engine),
        RequestPath("relay", Target(relay.address), relay),
        RequestPath("node", Target(node.address, CALLER_KEY), node),
    )
    for path in paths:
        await run_short_requests(path.target, 10 * _CONNECTIONS, _CONNECTIONS)
    targets = tuple(path.target for path in paths)
    print_row(await measure_first_token(targets, sizes.light_requests))
    costs = [await measure_requests(path, sizes.short_requests) for path in paths]
    print_row(compare_requests(costs))
    print_costs(paths, costs)
    costs = [await measure_events(path, sizes) for path in paths]
    print_row(compare_events(costs))
    print_costs(paths, costs)
    for each in deployment.engines:
        await harness.control(each, SlowDown(_HELD_SLOWDOWN))
    memory = [await measure_memory(path, sizes.held_streams) for path in paths]
    print_row(compare_memory(memory))


def print_row(row: Row) -> None:
    """Print one row."""
    verdict = "met" if row.is_met else "missed"
    direct, relay, node = row.values
    print(
        f"{row.name:28} {row.unit:4} direct {direct:8.2f}  relay {relay:8.2f}"
        f"  node {node:8.2f}  node/direct {node / direct:5.2f}"
        f"  node/relay {node / relay:5.2f}  measured {row.added:8.2f}"
        f"  aim {row.aim}: {verdict}",
        flush=True,
    )


def print_costs(paths: tuple[RequestPath, ...], costs: list[Cost]) -> None:
    """Print the raw measurements of one part."""
    for path, cost in zip(paths, costs, strict=True):
        print(
            f"  {path.name}: {cost.units} in {cost.elapsed_s:.2f} s with"
            f" {cost.cpu_s:.2f} s of processor time"
        )


def print_parameters(sizes: BenchSizes, engines: int) -> None:
    """Print the parameters of the run and the machine."""
    load = os.getloadavg()[0]
    version = sys.version.split()[0]
    print(
        f"this machine: {os.cpu_count()} cores, load {load:.1f} at the start, Python"
        f" {version}; absolute values are of this machine only"
    )
    print(f"engines {engines}, nodes 1, connections {_CONNECTIONS}, {sizes}")


async def run(sizes: BenchSizes, engines: int, profile_directory: str) -> None:
    """Start a deployment, measure it and stop it."""
    deployment_sizes = DeploymentSizes(
        engines=engines,
        engine_arguments=_ENGINE_ARGUMENTS,
        placement=PlacementPolicy(max_running=2_000),
        options=build_options(),
        profile_directory=profile_directory,
    )
    async with open_harness() as harness:
        deployment = await start_deployment(harness, deployment_sizes)
        print_parameters(sizes, engines)
        await measure(deployment, harness, sizes)
        if profile_directory:
            await deployment.nodes[0].stop(_PROFILE_STOP_S)


def print_profile(directory: str) -> None:
    """Print the profile of the node."""
    file = Path(directory) / "node-0.profile"
    if not file.exists():
        print("the node wrote no profile")
        return
    print("profile of the node; the figures above were taken under it")
    stats = pstats.Stats(str(file)).strip_dirs()
    stats.sort_stats("tottime").print_stats(_PROFILE_LINES)


def main(arguments: list[str]) -> int:
    """Run the bench."""
    parser = argparse.ArgumentParser(prog="./dev bench path", description=__doc__)
    parser.add_argument("--light-requests", type=int, default=300)
    parser.add_argument("--short-requests", type=int, default=4_000)
    parser.add_argument("--streams", type=int, default=16)
    parser.add_argument("--tokens", type=int, default=1_000)
    parser.add_argument("--held-streams", type=int, default=300)
    parser.add_argument("--engines", type=int, default=2)
    parser.add_argument("--profile", action="store_true")
    given = parser.parse_args(arguments)
    sizes = BenchSizes(
        given.light_requests,
        given.short_requests,
        given.streams,
        given.tokens,
        given.held_streams,
    )
    with tempfile.TemporaryDirectory(prefix="toucanyard-") as directory:
        profile_directory = directory if given.profile else ""
        trio.run(run, sizes, given.engines, profile_directory)
        if given.profile:
            print_profile(directory)
    return 0
