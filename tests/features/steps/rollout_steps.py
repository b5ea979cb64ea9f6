"""Steps about weights, pool leases and orders."""

from __future__ import annotations

import msgspec
import trio
from behave import given, then, when
from behave.runner import Context
from whole_path_steps import COMPLETIONS, PROMPT

from toucanyard_node.http_client import fetch
from toucanyard_standins.deployment import OPERATOR_KEY
from toucanyard_standins.harness import ask
from world import RequestResult, World, build_completion, request

INTERVAL_S = 0.05


@when("callers keep sending completions to every node")
def keep_sending(context: Context) -> None:
    world: World = context.world
    context.sent = []

    async def send_on(address: str) -> None:
        while True:
            result = RequestResult()
            body = build_completion(PROMPT, 2, is_stream=False)
            await request(address, "POST", COMPLETIONS, body, (), result)
            context.sent.append(result)
            await trio.sleep(INTERVAL_S)

    for node in world.deployment.nodes:
        world.portal.spawn(send_on, node.address)
    world.wait_for("first answers", lambda: len(context.sent) > 10)


@when('an operator asks for weights "{version}" through node {number:d}')
def ask_for_weights(context: Context, version: str, number: int) -> None:
    world: World = context.world
    answer_body = msgspec.json.decode(world.ask_operator(number, "/configuration").body)
    configuration = answer_body["configuration"]
    pool = {**configuration["pools"][0], "weights_version": version}
    patch = {
        "patch_id": f"roll-out-{version}",
        "base": configuration["version"],
        "put": {"pools": [pool]},
    }
    address = world.find_node(number).addresses["operators"]
    body = msgspec.json.encode(patch)
    answer = world.portal.call(ask, address, "POST", "/patches", OPERATOR_KEY, body)
    assert answer.status == 200, answer


@then('every engine loads "{version}"')
def check_weights(context: Context, version: str) -> None:
    world: World = context.world

    def has_all() -> bool:
        for engine in world.deployment.engines:
            answer = world.portal.call(fetch, engine.address, "GET", "/v1/state")
            if msgspec.json.decode(answer.body)["weights_version"] != version:
                return False
        return True

    world.wait_for(f"{version} everywhere", has_all)


@then("no completion failed")
def check_none_failed(context: Context) -> None:
    failed = [
        result for result in context.sent if result.status != 200 or not result.is_whole
    ]
    assert not failed, (len(failed), len(context.sent), failed[:3])


def find_lease_holder(world: World) -> int:
    """Return the number of the node that holds a pool lease, or 0."""
    for number in range(1, len(world.deployment.nodes) + 1):
        if not world.find_node(number).is_running():
            continue
        status = msgspec.json.decode(world.ask_operator(number, "/status").body)
        if status["duties"]:
            return number
    return 0


@given("a node holds the duty")
def wait_holder(context: Context) -> None:
    context.world.wait_for("a holder", lambda: find_lease_holder(context.world) > 0)


@when("the holder of the duty is killed")
def kill_holder(context: Context) -> None:
    world: World = context.world
    context.killed = find_lease_holder(world)
    world.find_node(context.killed).kill()


@when('an operator asks for weights "{version}" through another node')
def ask_another(context: Context, version: str) -> None:
    number = context.killed % len(context.world.deployment.nodes) + 1
    ask_for_weights(context, version, number)
