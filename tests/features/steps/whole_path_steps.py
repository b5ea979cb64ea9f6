"""Steps about deployments, requests and their answers."""

from __future__ import annotations

from typing import Any

import msgspec
from behave import given, then, when
from behave.runner import Context

from toucanyard_standins.deployment import DeploymentSizes
from world import RequestResult, World, build_completion

PROMPT = "All the rules of the ferry. " * 60
COMPLETIONS = "/v1/completions"
HOLDS = "/v1/services/booking-app/holds"


@given(
    "a deployment with {nodes:d} nodes, {engines:d} engines and {services:d} service"
)
def start(context: Context, nodes: int, engines: int, services: int) -> None:
    context.world.start(DeploymentSizes(nodes, engines, services))


@when("a caller asks node {number:d} where to connect")
def locate(context: Context, number: int) -> None:
    context.world.ask_node(number, "GET", "/v1/locate")


@then("the answer names a live node, and a key prefix if it is the one asked")
def check_located(context: Context) -> None:
    world: World = context.world
    answer = msgspec.json.decode(world.seen[-1].body)
    addresses = [node.address for node in world.deployment.nodes]
    assert answer["address"] in addresses, answer
    # An issued key runs only at the node that issued it.
    is_asked = answer["node"] == world.seen[-1].headers["x-node"]
    assert ("issued_key" in answer) == is_asked, answer


@when("a caller sends a completion to node {number:d}")
def complete(context: Context, number: int) -> None:
    body = build_completion(PROMPT, 4, is_stream=False)
    context.world.ask_node(number, "POST", COMPLETIONS, body)


@when("a caller with a wrong key sends a completion to node {number:d}")
def complete_wrongly(context: Context, number: int) -> None:
    body = build_completion(PROMPT, 4, is_stream=False)
    wrong = (("Authorization", "Bearer wrong"),)
    context.world.ask_node(number, "POST", COMPLETIONS, body, wrong)


@when("a caller streams {tokens:d} tokens from node {number:d}")
def stream(context: Context, tokens: int, number: int) -> None:
    body = build_completion(PROMPT, tokens, is_stream=True)
    context.world.ask_node(number, "POST", COMPLETIONS, body)


@when("a caller begins to stream {tokens:d} tokens from node {number:d}")
def begin_stream(context: Context, tokens: int, number: int) -> None:
    world: World = context.world
    body = build_completion(PROMPT, tokens, is_stream=True)
    seen = world.begin_request(number, "POST", COMPLETIONS, body)
    world.wait_for("first events", lambda: seen.body.count(b"data:") >= 3)


@when('a caller sends a hold with key "{key}" to node {number:d}')
def hold(context: Context, key: str, number: int) -> None:
    headers = (("Idempotency-Key", key),)
    context.world.ask_node(number, "POST", HOLDS, b'{"seat": 1}', headers)


@then("the answer is whole with status {status:d}")
def check_answer(context: Context, status: int) -> None:
    seen = context.world.seen[-1]
    assert seen.is_whole and seen.status == status, seen


@then("each answer from where the prompt was before reports cached tokens")
def check_cached(context: Context) -> None:
    world: World = context.world
    cached_tokens: dict[str, list[int]] = {}
    for seen in world.seen:
        usage = msgspec.json.decode(seen.body)["usage"]
        endpoint = find_endpoint(world, seen)
        found = usage["prompt_tokens_details"]["cached_tokens"]
        cached_tokens.setdefault(endpoint, []).append(found)
    again = [each for found in cached_tokens.values() for each in found[1:]]
    assert again and all(again), cached_tokens


def find_endpoint(world: World, seen: RequestResult) -> str:
    """Return where a request was sent, as the node that served it explains it."""
    names = [node.name for node in world.deployment.nodes]
    number = names.index(seen.headers["x-node"]) + 1
    steps = explain_request(world, number, seen)
    (sent,) = [step for step in steps if step["kind"] == "sent"]
    return str(sent["endpoint"])


@then("the stream is whole, numbered and in order")
def check_stream(context: Context) -> None:
    check_stream_of(context, context.world.seen[-1])


def check_stream_of(context: Context, seen: RequestResult) -> None:
    context.world.wait_for("the stream's end", lambda: seen.is_over)
    assert seen.is_whole and seen.status == 200, seen
    lines = seen.body.decode().splitlines()
    numbers = [int(line[3:]) for line in lines if line.startswith("id:")]
    assert numbers == list(range(len(numbers))), numbers
    assert "data: [DONE]" in lines[-3:], lines[-4:]


@then("node {number:d} explains where it was sent and why")
def explain(context: Context, number: int) -> None:
    steps = explain_request(context.world, number, context.world.seen[-1])
    sent = next(step for step in steps if step["kind"] == "sent")
    assert sent["endpoint"] == sent["scores"][0]["endpoint"], sent


def explain_request(
    world: World, number: int, seen: RequestResult
) -> list[dict[str, Any]]:
    """Return the steps of a request as a node explains them."""
    request_id = seen.headers["x-request-id"]
    answer = world.ask_operator(number, f"/explain/{request_id}")
    assert answer.status == 200, answer
    steps: list[dict[str, Any]] = msgspec.json.decode(answer.body)["steps"]
    return steps
