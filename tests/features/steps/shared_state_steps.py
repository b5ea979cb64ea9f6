"""Steps about configuration, restarts and the VM list."""

from __future__ import annotations

import msgspec
from behave import then, when
from behave.runner import Context
from whole_path_steps import COMPLETIONS, PROMPT

from toucanyard_node.http_client import Response
from toucanyard_standins.deployment import (
    CALLER_KEY,
    OPERATOR_KEY,
    find_domain,
)
from toucanyard_standins.engine_faults import EngineCounters
from toucanyard_standins.harness import ask, wait_until_serving
from toucanyard_standins.platform_vms import Vm, VmKind
from world import World, build_completion

QUIET_REQUESTS = 20


def build_patch(patch_id: str, base: int) -> bytes:
    customer = {"name": patch_id, "key_hashes": [f"{len(patch_id):064d}"]}
    put = {"customers": [customer]}
    return msgspec.json.encode({"patch_id": patch_id, "base": base, "put": put})


def submit(
    world: World, number: int, patch_id: str, base: int, to: list[Response]
) -> None:
    address = world.find_node(number).addresses["operators"]

    async def post() -> None:
        body = build_patch(patch_id, base)
        to.append(
            await ask(address, "POST", "/patches", OPERATOR_KEY, body, (), 20_000)
        )

    world.portal.spawn(post)


@when(
    "two operators submit patches on version {base:d} through nodes {first:d}"
    " and {second:d} at once"
)
def race(context: Context, base: int, first: int, second: int) -> None:
    world: World = context.world
    context.answers = []
    submit(world, first, "first-rival", base, context.answers)
    submit(world, second, "other-rival2", base, context.answers)
    world.wait_for("both answers", lambda: len(context.answers) == 2)


@when("an operator submits a patch on version {base:d} through node {number:d}")
def submit_one(context: Context, base: int, number: int) -> None:
    context.answers = []
    submit(context.world, number, "lonely", base, context.answers)
    context.world.wait_for("the answer", lambda: len(context.answers) == 1)


@then(
    "one patch made version {version:d} and the other is refused with version {won:d}"
)
def check_race(context: Context, version: int, won: int) -> None:
    statuses = sorted(answer.status for answer in context.answers)
    versions = [msgspec.json.decode(each.body)["version"] for each in context.answers]
    assert statuses == [200, 409], context.answers
    assert versions == [version, won], context.answers


@then("the patch is accepted as version {version:d}")
def check_accepted(context: Context, version: int) -> None:
    (answer,) = context.answers
    assert answer.status == 200, answer
    assert msgspec.json.decode(answer.body)["version"] == version, answer


@then("every node has version {version:d}")
def check_versions(context: Context, version: int) -> None:
    world: World = context.world
    numbers = range(1, len(world.deployment.nodes) + 1)

    def has_all() -> bool:
        return all(world.find_version(number) == version for number in numbers)

    world.wait_for(f"version {version} everywhere", has_all)


@when("node {number:d} is killed and started again")
def restart(context: Context, number: int) -> None:
    world: World = context.world
    old = world.find_node(number)
    old.kill()
    node = world.portal.call(
        world.harness.start_node, old.name, find_domain(number - 1)
    )
    nodes = list(world.deployment.nodes)
    nodes[number - 1] = node
    world.deployment = msgspec.structs.replace(world.deployment, nodes=tuple(nodes))
    world.portal.call(wait_until_serving, node, CALLER_KEY)


@when("the VM list calls engine {number:d} leaving")
def leave_engine(context: Context, number: int) -> None:
    world: World = context.world
    engine = world.deployment.engines[number]
    vm = Vm(engine.name, find_domain(number), VmKind.ENDPOINT, endpoint=engine.address)
    world.portal.call(world.harness.mark_vm_leaving, vm)


@then("both nodes soon send nothing more to engine {number:d}")
def check_idle(context: Context, number: int) -> None:
    world: World = context.world
    engine = world.deployment.engines[number]

    def count() -> int:
        counters = world.portal.call(
            world.harness.read_counters, engine, EngineCounters
        )
        return sum(counters.executions.values())

    def is_quiet() -> bool:
        before = count()
        for request_number in range(QUIET_REQUESTS):
            body = build_completion(f"{request_number} {PROMPT}", 1, is_stream=False)
            answer = world.ask_node(request_number % 2 + 1, "POST", COMPLETIONS, body)
            assert answer.status == 200, answer
        return count() == before

    world.wait_for("no new work", is_quiet)
    # The change of the VM list is now visible to both nodes, so the engine must
    # stay without requests.
    assert is_quiet() and is_quiet()
