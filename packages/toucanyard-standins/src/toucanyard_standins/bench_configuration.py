"""Measure the time until a patch is in force on every node.

Runs real processes: one platform, one engine and nine nodes. Times are measured from
sending the patch until the last node has logged that its version is in force.
"""

from __future__ import annotations

import argparse
import itertools
import sys
import time
from collections.abc import Sequence
from datetime import datetime
from typing import Final

import msgspec
import trio
from hdrh.histogram import HdrHistogram

from toucanyard.configuration import Customer
from toucanyard.errorcodes import ErrorKind
from toucanyard.names import Address, CustomerName, DomainName, NodeName
from toucanyard.options import ClaimLimits, ListenOptions, Options, PlatformOptions
from toucanyard.patches import Put
from toucanyard_node.operator_messages import PatchBody, PatchReply
from toucanyard_standins.deployment import (
    OPERATOR_KEY,
    DeploymentSizes,
    find_domain,
    start_deployment,
)
from toucanyard_standins.harness import Harness, ask, hash_key, open_harness
from toucanyard_standins.log_proxy import LogProxy
from toucanyard_standins.platform_faults import SlowPart
from toucanyard_standins.processes import HarnessError, ProcessHandle

_NODES: Final = 9
_BOUND_MS: Final = 5_000
_IN_FORCE_TIMEOUT_S: Final = 30.0
_MAX_ATTEMPTS: Final = 2
_LONG_TIMEOUT_MS: Final = 4_000
_ANY_PORT: Final = Address("127.0.0.1:0")
_PATCH_TIMEOUT_MS: Final = 20_000.0
_CUSTOMERS: Final = 8
_IN_FORCE: Final = "event=configuration_in_force"
_MAX_US: Final = 60_000_000
_HISTOGRAM_DIGITS: Final = 3


class Condition(msgspec.Struct, frozen=True):
    """The delay of the log while patches are submitted."""

    name: str
    delay_ms: int
    patches: int


class PatchTimes:
    """Times of the patches under one condition."""

    def __init__(self) -> None:
        self.in_force = HdrHistogram(1, _MAX_US, _HISTOGRAM_DIGITS)
        self.answered = HdrHistogram(1, _MAX_US, _HISTOGRAM_DIGITS)
        self.unknown = 0

    def render(self, name: str) -> str:
        """Return one row."""
        force = self.in_force
        figures = [
            force.get_value_at_percentile(50.0),
            force.get_value_at_percentile(99.0),
            force.get_max_value(),
            self.answered.get_value_at_percentile(50.0),
            self.answered.get_max_value(),
        ]
        texts = " ".join(f"{figure / 1000:>9.0f}" for figure in figures)
        if force.get_total_count() == 0:
            return f"{name:<28} {0:>7} none accepted, {self.unknown} tries unknown"
        is_met = force.get_max_value() < _BOUND_MS * 1000
        return (
            f"{name:<28} {force.get_total_count():>7} {texts} {self.unknown:>7}"
            f" {'yes' if is_met else 'NO':>5}"
        )


class PatchSender:
    """Submit patches sequentially and time them."""

    def __init__(self, nodes: Sequence[ProcessHandle]) -> None:
        self._nodes = nodes
        self._version = 1
        self._numbers = itertools.count()

    async def send(self, through: Sequence[ProcessHandle], times: PatchTimes) -> bool:
        """Submit one patch and wait for every node; return whether it was accepted."""
        number = next(self._numbers)
        node = through[number % len(through)]
        started_s = time.time()
        reply = await self._submit(node, number, self._version, times)
        if reply is None:
            return False
        times.answered.record_value(int((time.time() - started_s) * 1e6))
        self._version = reply.version
        last_s = await self._wait_in_force(reply.version)
        times.in_force.record_value(int((last_s - started_s) * 1e6))
        return True

    async def _submit(
        self, node: ProcessHandle, number: int, base: int, times: PatchTimes
    ) -> PatchReply | None:
        body = msgspec.json.encode(build_patch(number, base))
        address = node.addresses["operators"]
        for _ in range(_MAX_ATTEMPTS):
            answer = await ask(
                address, "POST", "/patches", OPERATOR_KEY, body, (), _PATCH_TIMEOUT_MS
            )
            reply = msgspec.json.decode(answer.body, type=PatchReply)
            if reply.error is None:
                return reply
            if reply.error is not ErrorKind.OUTCOME_UNKNOWN:
                raise HarnessError(f"patch {number}: {reply}")
            times.unknown += 1
        return None

    async def _wait_in_force(self, version: int) -> float:
        with trio.fail_after(_IN_FORCE_TIMEOUT_S):
            while True:
                found = [find_in_force_s(each, version) for each in self._nodes]
                times = [each for each in found if each is not None]
                if len(times) == len(found):
                    return max(times)
                await trio.sleep(0.01)


def find_in_force_s(node: ProcessHandle, version: int) -> float | None:
    """Return when a version or a later one came into force, from a node's log."""
    for line in node.read_log().splitlines():
        if _IN_FORCE not in line:
            continue
        fields = dict(part.split("=", 1) for part in line.split() if "=" in part)
        if int(fields["version"]) >= version:
            return datetime.fromisoformat(fields["timestamp"]).timestamp()
    return None


def build_patch(number: int, base: int) -> PatchBody:
    """Return a patch that sets a new key for one of a few customers."""
    name = CustomerName(f"customer-{number % _CUSTOMERS}")
    customer = Customer(name, (hash_key(f"key {number}"),))
    return PatchBody(f"patch-{number}", base, Put(customers=(customer,)))


async def run_conditions(
    conditions: Sequence[Condition], append_timeout_ms: int
) -> None:
    """Print a row for each condition of the log, which applies to all nodes."""
    options = build_options(append_timeout_ms)
    async with open_harness() as harness:
        sizes = DeploymentSizes(nodes=_NODES, engines=1, services=0, options=options)
        nodes = (await start_deployment(harness, sizes)).nodes
        sender = PatchSender(nodes)
        for condition in conditions:
            await harness.control(harness.get_platform(), SlowPart(condition.delay_ms))
            times = PatchTimes()
            for _ in range(condition.patches):
                if not await sender.send(nodes, times):
                    break
            print(times.render(condition.name), flush=True)


def build_options(append_timeout_ms: int) -> Options:
    """Return default settings with another timeout of appends."""
    return Options(
        NodeName("node"),
        DomainName("domain"),
        ListenOptions(_ANY_PORT, _ANY_PORT, _ANY_PORT),
        PlatformOptions(_ANY_PORT, _ANY_PORT),
        ("bench",),
        claims=ClaimLimits(append_timeout_ms=append_timeout_ms),
    )


async def run_blocked_log(patches: int) -> str:
    """Return the row for a log that only one node can reach."""
    async with open_harness() as harness, trio.open_nursery() as nursery:
        sizes = DeploymentSizes(nodes=1, engines=1, services=0)
        (first,) = (await start_deployment(harness, sizes)).nodes
        platform = harness.get_platform()
        proxy = LogProxy(platform.address)
        proxied_platform = ProcessHandle(
            platform.name, platform.process, platform.log_file
        )
        proxied_platform.addresses = {"address": await nursery.start(proxy.serve)}
        harness.platform = proxied_platform
        nodes = [first, *await start_more(harness)]
        sender = PatchSender(nodes)
        proxy.is_log_blocked = True
        times = PatchTimes()
        for _ in range(patches):
            await sender.send([first], times)
        nursery.cancel_scope.cancel()
    return times.render("log down for 8 of 9 nodes")


async def start_more(harness: Harness) -> list[ProcessHandle]:
    """Start all nodes except the first one."""
    return [
        await harness.start_node(f"node-{number}", find_domain(number))
        for number in range(1, _NODES)
    ]


async def run(patches: int) -> None:
    """Print a row for each condition."""
    print(
        f"{'log':<28} {'patches':>7} {'median_ms':>9} {'p99_ms':>9} {'max_ms':>9}"
        f" {'answer_ms':>9} {'its_max':>9} {'unknown':>7} {'< 5 s':>5}"
    )
    slow = Condition("each answer 1.5 s late", 1_500, patches)
    conditions = (
        Condition("normal", 0, patches),
        Condition("each answer 400 ms late", 400, patches),
        slow,
    )
    await run_conditions(conditions, ClaimLimits().append_timeout_ms)
    print(f"claims.append_timeout_ms {_LONG_TIMEOUT_MS}:")
    await run_conditions((slow,), _LONG_TIMEOUT_MS)
    print("default settings again:")
    print(await run_blocked_log(patches))


def main(arguments: list[str]) -> int:
    """Run the bench under each condition."""
    parser = argparse.ArgumentParser(prog="bench configuration")
    parser.add_argument("--patches", type=int, default=30)
    options = parser.parse_args(arguments)
    trio.run(run, options.patches)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
