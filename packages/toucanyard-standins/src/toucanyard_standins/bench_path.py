"""Measure what a node adds on the path of a request, against a direct connection.

One run measures both ways with the same engines and the same load. A node is one
process, so its processor time tells what one core carries, whatever the load
generator and the engines can do.
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

_AIM_FIRST_TOKEN_MS: Final = 3.0
_AIM_REQUESTS_PER_S: Final = 600.0
_AIM_EVENT_US: Final = 40.0
_AIM_STREAM_KB: Final = 64.0
_LIGHT_TOKENS: Final = 4
_CONNECTIONS: Final = 16
_HELD_SLOWDOWN: Final = 2_000.0
_SETTLE_S: Final = 1.0
_PROFILE_LINES: Final = 40
_PROFILE_STOP_S: Final = 15.0
_ANY: Final = Address("127.0.0.1:0")
_ENGINE_ARGUMENTS: Final = (
    *("--decode-step-ms", "2"),
    *("--decode-ms-per-sequence", "0"),
    *("--max-running", "2000"),
)


class BenchSizes(msgspec.Struct, frozen=True):
    """How much each part of the bench does."""

    light_requests: int
    short_requests: int
    streams: int
    tokens: int
    held_streams: int


class Cost(msgspec.Struct, frozen=True):
    """What a process used for one part of the bench, and for how many units."""

    cpu_s: float
    units: int
    elapsed_s: float


class Row(msgspec.Struct, frozen=True):
    """One measured figure of both ways."""

    name: str
    unit: str
    direct: float
    node: float
    added: float
    """What is compared with the aim."""
    aim: str
    is_met: bool


def build_options() -> Options:
    """Return settings under which the node's limits don't bound the bench."""
    return Options(
        NodeName("node"),
        DomainName("domain"),
        ListenOptions(_ANY, _ANY, _ANY),
        PlatformOptions(_ANY, _ANY),
        ("bench",),
        callers=CallerLimits(locate_ttl_ms=1),
        admission=AdmissionLimits(max_queued=10_000, max_queued_per_customer=10_000),
        drain=DrainTimings(min_notice_ms=1, max_drain_ms=2_000),
    )


async def measure_first_token(direct: Target, node: Target, sizes: BenchSizes) -> Row:
    """Compare the time to the first token at a light load."""
    times = await time_streams((direct, node), sizes.light_requests, _LIGHT_TOKENS)
    medians = [statistics.median(each.first_token_ms for each in way) for way in times]
    added = medians[1] - medians[0]
    aim = f"added < {_AIM_FIRST_TOKEN_MS:g}"
    is_met = added < _AIM_FIRST_TOKEN_MS
    name = "first token, median"
    return Row(name, "ms", medians[0], medians[1], added, aim, is_met)


async def measure_requests(
    target: Target, handles: tuple[ProcessHandle, ...], count: int
) -> Cost:
    """Return the processor time that processes use for short requests."""
    before_s = sum(handle.find_cpu_s() for handle in handles)
    elapsed_s = await run_short_requests(target, count, _CONNECTIONS)
    cpu_s = sum(handle.find_cpu_s() for handle in handles) - before_s
    return Cost(cpu_s, count, elapsed_s)


async def measure_events(
    target: Target, handles: tuple[ProcessHandle, ...], sizes: BenchSizes
) -> Cost:
    """Return the processor time that processes use for token events."""
    before_s = sum(handle.find_cpu_s() for handle in handles)
    started_s = trio.current_time()
    times = await run_streams(target, sizes.streams, sizes.tokens)
    elapsed_s = trio.current_time() - started_s
    cpu_s = sum(handle.find_cpu_s() for handle in handles) - before_s
    return Cost(cpu_s, sum(each.events for each in times), elapsed_s)


async def measure_memory(target: Target, handle: ProcessHandle, streams: int) -> float:
    """Return the bytes that one open stream adds to a process."""
    before = handle.find_resident_bytes()
    async with trio.open_nursery() as nursery:
        await nursery.start(hold_streams, target, streams)
        await trio.sleep(_SETTLE_S)
        after = handle.find_resident_bytes()
        nursery.cancel_scope.cancel()
    await trio.sleep(_SETTLE_S)
    return (after - before) / streams


def compare_requests(direct: Cost, node: Cost) -> Row:
    """Return the short requests that one core carries."""
    rates = [cost.units / cost.cpu_s for cost in (direct, node)]
    is_met = rates[1] >= _AIM_REQUESTS_PER_S
    aim = f"node >= {_AIM_REQUESTS_PER_S:g}"
    name = "short requests of one core"
    return Row(name, "1/s", rates[0], rates[1], rates[1], aim, is_met)


def compare_events(direct: Cost, node: Cost) -> Row:
    """Return the processor time of one token event."""
    costs = [cost.cpu_s * 1e6 / cost.units for cost in (direct, node)]
    is_met = costs[1] < _AIM_EVENT_US
    aim = f"node < {_AIM_EVENT_US:g}"
    name = "processor time of one event"
    return Row(name, "us", costs[0], costs[1], costs[1], aim, is_met)


def compare_memory(direct: float, node: float) -> Row:
    """Return the memory of one open stream."""
    sizes = [each / 1024 for each in (direct, node)]
    is_met = sizes[1] < _AIM_STREAM_KB
    aim = f"node < {_AIM_STREAM_KB:g}"
    return Row("memory of one stream", "KB", sizes[0], sizes[1], sizes[1], aim, is_met)


async def measure(deployment: Deployment, harness: Harness, sizes: BenchSizes) -> None:
    """Measure every figure and print each as soon as it is known."""
    node, engine = deployment.nodes[0], deployment.engines[0]
    direct, through = Target(engine.address), Target(node.address, CALLER_KEY)
    await run_short_requests(direct, 10 * _CONNECTIONS, _CONNECTIONS)
    await run_short_requests(through, 10 * _CONNECTIONS, _CONNECTIONS)
    print_row(await measure_first_token(direct, through, sizes))
    short = sizes.short_requests
    costs = (
        await measure_requests(direct, (engine,), short),
        await measure_requests(through, (node,), short),
    )
    print_row(compare_requests(*costs))
    print_cost("short requests", *costs)
    costs = (
        await measure_events(direct, (engine,), sizes),
        await measure_events(through, (node,), sizes),
    )
    print_row(compare_events(*costs))
    print_cost("token events", *costs)
    for each in deployment.engines:
        await harness.control(each, SlowDown(_HELD_SLOWDOWN))
    held = sizes.held_streams
    memory = (
        await measure_memory(direct, engine, held),
        await measure_memory(through, node, held),
    )
    print_row(compare_memory(*memory))


def print_row(row: Row) -> None:
    """Print one figure."""
    ratio = row.node / row.direct if row.direct else float("nan")
    verdict = "met" if row.is_met else "missed"
    print(
        f"{row.name:28} {row.unit:4} direct {row.direct:9.2f}  node {row.node:9.2f}"
        f"  ratio {ratio:6.2f}  measured {row.added:9.2f}  aim {row.aim}: {verdict}",
        flush=True,
    )


def print_cost(name: str, direct: Cost, node: Cost) -> None:
    """Print what the figures of one part were taken from."""
    for way, cost in (("direct", direct), ("node", node)):
        print(
            f"  {name}, {way}: {cost.units} in {cost.elapsed_s:.2f} s with"
            f" {cost.cpu_s:.2f} s of processor time"
        )


def print_parameters(sizes: BenchSizes, engines: int) -> None:
    """Print what the figures depend on."""
    load = os.getloadavg()[0]
    version = sys.version.split()[0]
    print(
        f"this machine: {os.cpu_count()} cores, load {load:.1f} at the start, Python"
        f" {version}; absolute values are of this machine only"
    )
    print(f"engines {engines}, nodes 1, connections {_CONNECTIONS}, {sizes}")


async def run(sizes: BenchSizes, engines: int, profile_directory: str) -> None:
    """Start a deployment, measure it and end it."""
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
    """Print where the node's time went."""
    file = Path(directory) / "node-0.profile"
    if not file.exists():
        print("the node wrote no profile")
        return
    print("profile of the node; the figures above were taken under it")
    pstats.Stats(str(file)).sort_stats("tottime").print_stats(_PROFILE_LINES)


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
