"""Measure the effect of restarts on callers, with real processes.

First, measure the time from the start of a node to its first served request, with
peers, the log, both or neither. Then measure hit rate and time to first token before
and after all nodes but one, and all nodes, are killed and restarted under a load with
hot prefixes.
"""

from __future__ import annotations

import argparse
import random
import sys
import time
from collections import Counter
from collections.abc import Sequence
from typing import Final

import msgspec
import trio
from hdrh.histogram import HdrHistogram

from toucanyard.configuration_log import ConfigurationLog
from toucanyard.configuration_records import encode_checkpoint
from toucanyard.options import ConfigurationTimings
from toucanyard_node.log_client import read_records
from toucanyard_standins.deployment import (
    CALLER_KEY,
    Deployment,
    DeploymentSizes,
    find_domain,
    start_deployment,
)
from toucanyard_standins.harness import Harness, ask, open_harness
from toucanyard_standins.load import encode_completion
from toucanyard_standins.platform_faults import AgeRecords, Outage
from toucanyard_standins.prefix_load import (
    LoadShape,
    PrefixLoad,
    RequestResult,
    find_error,
)
from toucanyard_standins.processes import ProcessHandle

_ENGINES: Final = 6
_NODES: Final = 4
_ENGINE_ARGUMENTS: Final = ("--capacity-blocks", "160")
_WARM_UP_S: Final = 8.0
_BEFORE_S: Final = 6.0
_WINDOWS_S: Final = ((0.0, 2.0), (2.0, 5.0), (5.0, 10.0))
_REFUSED_TIMEOUT_S: Final = 2.0
_SERVED_TIMEOUT_S: Final = 30.0
_OTHER_RECORD: Final = msgspec.json.encode({"kind": "other", "x": "x" * 200}).decode()
_RECORDS_PER_APPEND: Final = 1_000
_AGE_MS: Final = 2_400_000
"""Older than the records a starting node reads, younger than the retention."""
_MAX_US: Final = 60_000_000
_HISTOGRAM_DIGITS: Final = 3
_COMPLETION: Final = encode_completion("first", 1, is_stream=False)


class StartTimes(msgspec.Struct, frozen=True):
    """The times of one start, measured from the start of the process."""

    listening_ms: float
    served_ms: float | None
    refusals: Counter[str]


async def start_and_ask(harness: Harness, name: str, timeout_s: float) -> StartTimes:
    """Start a node and send requests until it serves a completion."""
    started_s = time.monotonic()
    node = await harness.start_node(name, find_domain(0))
    listening_ms = (time.monotonic() - started_s) * 1000
    refusals: Counter[str] = Counter()
    served_ms: float | None = None
    with trio.move_on_after(timeout_s):
        while True:
            answer = await ask(
                node.address, "POST", "/v1/completions", CALLER_KEY, _COMPLETION
            )
            if answer.status == 200:
                served_ms = (time.monotonic() - started_s) * 1000
                break
            refusals[find_error(answer.status, answer.body)] += 1
            await trio.sleep(0.005)
    await node.kill_and_wait()
    await harness.remove_vm(name)
    return StartTimes(listening_ms, served_ms, refusals)


async def run_first_requests(times: int, records: int) -> None:
    """Print a row for each state of peers and log that a starting node may meet."""
    print(f"{'a node starts with':<34} {'starts':>6} {'listening_ms':>12} served_ms")
    async with open_harness() as harness:
        sizes = DeploymentSizes(nodes=2, engines=2, services=0)
        deployment = await start_deployment(harness, sizes)
        platform = deployment.platform
        await _measure_starts(harness, "two peers and the log", times)
        await harness.control(platform, Outage(is_on=True))
        await _measure_starts(harness, "two peers, the log down", times)
        for node in deployment.nodes:
            await node.kill_and_wait()
            await harness.remove_vm(node.name)
        await _measure_starts(harness, "neither peer nor log", 1, _REFUSED_TIMEOUT_S)
        await harness.control(platform, Outage(is_on=False))
        await _measure_starts(harness, "the log only", times)
        for _ in range(records // _RECORDS_PER_APPEND):
            await harness.publish(*(_OTHER_RECORD,) * _RECORDS_PER_APPEND)
        await _measure_starts(harness, f"the log only, {records} records", times)
        await harness.control(platform, AgeRecords(_AGE_MS))
        await publish_checkpoint(harness)
        await _measure_starts(harness, "the same, older than a span", times)


async def publish_checkpoint(harness: Harness) -> None:
    """Append the checkpoint that a running node would have appended in time."""
    log = ConfigurationLog(ConfigurationTimings())
    address = harness.get_platform().address
    head = 1
    while log.next_offset < head:
        page = await read_records(address, log.next_offset, _RECORDS_PER_APPEND, 0)
        head = page.head
        for each in page.records:
            log.apply_record(each.offset, each.at_ms, each.text, 0.0)
    checkpoint = log.build_checkpoint()
    assert checkpoint is not None
    await harness.publish(encode_checkpoint(checkpoint))


async def _measure_starts(
    harness: Harness, what: str, times: int, timeout_s: float = _SERVED_TIMEOUT_S
) -> None:
    starts = [
        await start_and_ask(harness, f"late-{number}", timeout_s)
        for number in range(times)
    ]
    listening = sorted(each.listening_ms for each in starts)
    served = sorted(each.served_ms for each in starts if each.served_ms is not None)
    refusals = sum((each.refusals for each in starts), Counter[str]())
    texts = ", ".join(f"{count} x {code}" for code, count in refusals.items())
    median = f"{served[len(served) // 2]:.0f}" if served else "never"
    worst = f" (worst {served[-1]:.0f})" if served else ""
    print(
        f"{what:<34} {len(starts):>6} {listening[len(starts) // 2]:>12.0f}"
        f" {median}{worst}; refused before: {texts or 'none'}",
        flush=True,
    )


async def run_herd(kept: int, seed: int) -> None:
    """Print a row for each window around a restart of all but `kept` nodes."""
    async with open_harness() as harness, trio.open_nursery() as nursery:
        sizes = DeploymentSizes(
            nodes=_NODES,
            engines=_ENGINES,
            services=0,
            engine_arguments=_ENGINE_ARGUMENTS,
        )
        deployment = await start_deployment(harness, sizes)
        load = PrefixLoad(LoadShape(), random.Random(seed))
        load.targets = deployment.nodes
        nursery.start_soon(load.run)
        await trio.sleep(_WARM_UP_S + _BEFORE_S)
        now_s = time.monotonic()
        before = load.find_between(now_s - _BEFORE_S, now_s - 0.5, deployment.nodes)
        print_window(f"kept {kept} of {_NODES}: before", before)
        restarted, ready_s = await _restart(harness, deployment, load, kept)
        print(f"  restarted nodes listen after {(ready_s - now_s) * 1000:.0f} ms")
        await trio.sleep(_WINDOWS_S[-1][1] + 2)
        for begin_s, end_s in _WINDOWS_S:
            results = load.find_between(ready_s + begin_s, ready_s + end_s, restarted)
            print_window(f"restarted, {begin_s:g} to {end_s:g} s", results)
        nursery.cancel_scope.cancel()


async def _restart(
    harness: Harness, deployment: Deployment, load: PrefixLoad, kept: int
) -> tuple[list[ProcessHandle], float]:
    """Kill and restart all but `kept` nodes together; return them and the time."""
    survivors, stopped = deployment.nodes[:kept], deployment.nodes[kept:]
    load.targets = survivors
    for node in stopped:
        await node.kill_and_wait()
    started: list[ProcessHandle] = []

    async def start(number: int, name: str) -> None:
        started.append(await harness.start_node(name, find_domain(number)))

    async with trio.open_nursery() as nursery:
        for number, node in enumerate(stopped, start=kept):
            nursery.start_soon(start, number, node.name)
    load.targets = (*survivors, *started)
    return started, time.monotonic()


def print_window(name: str, results: Sequence[RequestResult]) -> None:
    """Print hit rate, time to first token and errors of requests."""
    whole = [each for each in results if not each.error]
    errors = Counter(each.error for each in results if each.error)
    histogram = HdrHistogram(1, _MAX_US, _HISTOGRAM_DIGITS)
    for each in whole:
        histogram.record_value(max(1, int(each.first_token_ms * 1000)))
    prompt = sum(each.prompt_tokens for each in whole)
    cached = sum(each.cached_tokens for each in whole)
    median, p99 = (histogram.get_value_at_percentile(q) / 1000 for q in (50.0, 99.0))
    print(
        f"{name:<26} {len(results):>5} requests,"
        f" hit rate {cached / max(1, prompt):.3f},"
        f" first token median {median:.0f} p99 {p99:.0f} ms, errors {dict(errors)}",
        flush=True,
    )


async def run(times: int, records: int, seed: int) -> None:
    """Run all measurements."""
    arguments = " ".join(_ENGINE_ARGUMENTS)
    print(f"{_NODES} nodes, {_ENGINES} engines {arguments}, seed {seed}")
    if times:
        await run_first_requests(times, records)
    await run_herd(1, seed)
    await run_herd(0, seed)


def main(arguments: list[str]) -> int:
    """Measure first requests and both kinds of restarts."""
    parser = argparse.ArgumentParser(prog="bench herd")
    parser.add_argument("--times", type=int, default=5, help="0: only the herds")
    parser.add_argument("--records", type=int, default=50_000)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(arguments)
    trio.run(run, options.times, options.records, options.seed)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
