"""Steps that watch configuration versions during failures of nodes and the log."""

from __future__ import annotations

import itertools
import re

import msgspec
import trio
from behave import given, then, when
from behave.runner import Context

from toucanyard_node.http_client import ConnectionFailedError, Response
from toucanyard_standins.deployment import CALLER_KEY, OPERATOR_KEY, find_domain
from toucanyard_standins.harness import ask, wait_until_serving
from toucanyard_standins.platform_faults import SlowPart
from toucanyard_standins.version_watch import VersionWatch
from world import TIMEOUT_S, World

FOREIGN = '{"kind": "other"}'
MIN_READS = 100


@given("the log holds {count:d} records of other kinds")
def fill_log(context: Context, count: int) -> None:
    world: World = context.world
    world.portal.call(world.harness.publish, *(FOREIGN,) * count)


@given("all nodes' versions are watched")
def watch(context: Context) -> None:
    world: World = context.world
    context.watch = VersionWatch(OPERATOR_KEY)
    for node in world.deployment.nodes:
        world.portal.spawn(context.watch.follow, node)


@when("operators keep submitting patches")
def keep_patching(context: Context) -> None:
    world: World = context.world
    context.accepted = [1]

    async def submit(number: int) -> Response:
        nodes = world.deployment.nodes
        address = nodes[number % len(nodes)].addresses["operators"]
        customer = {"name": "new", "key_hashes": [f"{number:064}"]}
        patch = {
            "patch_id": f"patch-{number}",
            "base": context.accepted[-1],
            "put": {"customers": [customer]},
        }
        body = msgspec.json.encode(patch)
        return await ask(address, "POST", "/patches", OPERATOR_KEY, body, (), 20_000)

    async def patch_on() -> None:
        for number in itertools.count():
            try:
                answer = await submit(number)
            except ConnectionFailedError:
                continue
            finally:
                await trio.sleep(0.05)
            # If the response to a patch was lost, a retry conflicts with its version.
            if answer.status in (200, 409):
                version = msgspec.json.decode(answer.body)["version"]
                context.accepted.append(max(version, context.accepted[-1]))

    world.portal.spawn(patch_on)


@when("{count:d} more versions are accepted")
def wait_accepted(context: Context, count: int) -> None:
    wanted = context.accepted[-1] + count
    context.world.wait_for("more versions", lambda: context.accepted[-1] >= wanted)


@when("the log answers {delay_ms:d} ms late")
def slow_log(context: Context, delay_ms: int) -> None:
    world: World = context.world
    platform = world.harness.get_platform()
    world.portal.call(world.harness.control, platform, SlowPart(delay_ms))


@when("nodes {numbers} are killed and started again together")
def restart_together(context: Context, numbers: str) -> None:
    world: World = context.world
    indices = [int(text) - 1 for text in re.findall(r"\d+", numbers)]
    nodes = list(world.deployment.nodes)

    async def restart(index: int) -> None:
        name = nodes[index].name
        nodes[index] = await world.harness.start_node(name, find_domain(index))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(context.watch.follow, nodes[index])
            await wait_until_serving(nodes[index], CALLER_KEY, TIMEOUT_S)
            nursery.cancel_scope.cancel()

    async def restart_all() -> None:
        for index in indices:
            await nodes[index].kill_and_wait()
        async with trio.open_nursery() as nursery:
            for index in indices:
                nursery.start_soon(restart, index)

    world.portal.call(restart_all)
    for index in indices:
        world.portal.spawn(context.watch.follow, nodes[index])
    world.deployment = msgspec.structs.replace(world.deployment, nodes=tuple(nodes))


@then("every watched node comes to the last accepted version")
def check_last(context: Context) -> None:
    wanted = context.accepted[-1]
    names = [node.name for node in context.world.deployment.nodes]
    context.world.wait_for(
        "the last version",
        lambda: all(context.watch.find_highest(name) >= wanted for name in names),
    )


@then("no node showed a lower version")
def check_regressions(context: Context) -> None:
    assert context.watch.reads > MIN_READS
    assert context.watch.regressions == []
