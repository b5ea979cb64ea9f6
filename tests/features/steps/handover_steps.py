"""Steps about the handover at a planned stop, and about an unresponsive log."""

from __future__ import annotations

import msgspec
from behave import given, then, when
from behave.runner import Context
from fault_steps import BODY, control_all, wait_outage
from whole_path_steps import HOLDS, hold

from toucanyard.names import Address, DomainName, NodeName
from toucanyard.options import (
    CallerLimits,
    ConfigurationTimings,
    DrainTimings,
    ListenOptions,
    Options,
    PlatformOptions,
)
from toucanyard_standins import platform_faults
from toucanyard_standins.deployment import DeploymentSizes
from world import World

ANY = Address("127.0.0.1:0")
SHORT_MS = 100
SILENT_MS = 600_000
LONG_MS = 50_000


def build_options() -> Options:
    return Options(
        NodeName("node"),
        DomainName("domain"),
        ListenOptions(ANY, ANY, ANY),
        PlatformOptions(ANY, ANY),
        ("harness",),
    )


@given("{nodes:d} nodes that stop soon after they are asked to")
def start_stoppable(context: Context, nodes: int) -> None:
    options = msgspec.structs.replace(
        build_options(),
        callers=CallerLimits(locate_ttl_ms=SHORT_MS),
        drain=DrainTimings(min_notice_ms=SHORT_MS),
    )
    start_linked(context, nodes, options)


@given("{nodes:d} nodes that wait long for records of the log")
def start_with_long_log_poll(context: Context, nodes: int) -> None:
    """Set long polls, so that no log read times out while its node is paused."""
    timings = ConfigurationTimings(log_poll_wait_ms=LONG_MS, stale_after_ms=LONG_MS)
    options = msgspec.structs.replace(build_options(), configuration=timings)
    start_linked(context, nodes, options)


def start_linked(context: Context, nodes: int, options: Options) -> None:
    context.world.start(DeploymentSizes(nodes, 1, 1, options=options))
    for number in range(1, nodes + 1):
        wait_linked(context.world, number, nodes - 1)


def wait_linked(world: World, number: int, count: int) -> None:
    world.wait_for("links", lambda: world.count_peers(number) == count)


@when("a caller sends a hold with a key that node {number:d} issues")
def hold_issued_key(context: Context, number: int) -> None:
    world: World = context.world
    located = world.ask_node(number, "GET", "/v1/locate?stay=true")
    prefix = msgspec.json.decode(located.body)["issued_key"]["prefix"]
    context.issued_key = f"{prefix}1"
    hold(context, context.issued_key, number)


@when("a caller sends the same hold to node {number:d}")
def hold_same(context: Context, number: int) -> None:
    hold(context, context.issued_key, number)


@then("the same hold ran once")
def check_same_ran(context: Context) -> None:
    count = context.world.count_holds(context.issued_key)
    assert count == 1, count


@when("the log gives no answers any more")
def log_silent(context: Context) -> None:
    control_all(context.world, "platform", platform_faults.SlowPart(SILENT_MS))


@when("the log gives answers again")
def log_answers(context: Context) -> None:
    control_all(context.world, "platform", platform_faults.SlowPart(0))


@when("the nodes have noticed the outage")
def wait_noticed(context: Context) -> None:
    for number in range(1, len(context.world.deployment.nodes) + 1):
        wait_outage(context.world, number)


@when(
    'a caller sends a first try of a hold with key "{key}" and {patience_ms:d} ms'
    " of patience"
)
def hold_first_with_deadline(context: Context, key: str, patience_ms: int) -> None:
    headers = (
        ("Idempotency-Key", key),
        ("X-Key-Age-Ms", "0"),
        ("X-Deadline-Ms", str(patience_ms)),
    )
    context.world.ask_node(1, "POST", HOLDS, BODY, headers)
