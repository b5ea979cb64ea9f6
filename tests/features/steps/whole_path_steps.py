"""Steps about deployments, requests and responses."""

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
    answer = msgspec.json.decode(world.results[-1].body)
    addresses = [node.address for node in world.deployment.nodes]
    assert answer["address"] in addresses, answer
    # Only the node that issued a key can run it.
    is_asked = answer["node"] == world.results[-1].headers["x-node"]
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
    result = world.begin_request(number, "POST", COMPLETIONS, body)
    world.wait_for("first events", lambda: result.body.count(b"data:") >= 3)


@when('a caller sends a hold with key "{key}" to node {number:d}')
def hold(context: Context, key: str, number: int) -> None:
    headers = (("Idempotency-Key", key),)
    context.world.ask_node(number, "POST", HOLDS, b'{"seat": 1}', headers)


@then("the answer is whole with status {status:d}")
def check_answer(context: Context, status: int) -> None:
    result = context.world.results[-1]
    assert result.is_whole and result.status == status, result


@then("each answer from where the prompt was before reports cached tokens")
def check_cached(context: Context) -> None:
    world: World = context.world
    cached_tokens: dict[str, list[int]] = {}
    for result in world.results:
        usage = msgspec.json.decode(result.body)["usage"]
        endpoint = find_endpoint(world, result)
        found = usage["prompt_tokens_details"]["cached_tokens"]
        cached_tokens.setdefault(endpoint, []).append(found)
    again = [each for found in cached_tokens.values() for each in found[1:]]
    assert again and all(again), cached_tokens


def find_endpoint(world: World, result: RequestResult) -> str:
    """Return the endpoint of a request, from the explanation of its node."""
    names = [node.name for node in world.deployment.nodes]
    number = names.index(result.headers["x-node"]) + 1
    steps = explain_request(world, number, result)
    (sent,) = [step for step in steps if step["kind"] == "sent"]
    return str(sent["endpoint"])


@then("the stream is whole, numbered and in order")
def check_stream(context: Context) -> None:
    check_stream_of(context, context.world.results[-1])


def check_stream_of(context: Context, result: RequestResult) -> None:
    context.world.wait_for("the stream's end", lambda: result.is_over)
    assert result.is_whole and result.status == 200, result
    lines = result.body.decode().splitlines()
    numbers = [int(line[3:]) for line in lines if line.startswith("id:")]
    assert numbers == list(range(len(numbers))), numbers
    assert "data: [DONE]" in lines[-3:], lines[-4:]


@then("node {number:d} explains where it was sent and why")
def explain(context: Context, number: int) -> None:
    steps = explain_request(context.world, number, context.world.results[-1])
    sent = next(step for step in steps if step["kind"] == "sent")
    assert sent["endpoint"] == sent["scores"][0]["endpoint"], sent


def explain_request(
    world: World, number: int, result: RequestResult
) -> list[dict[str, Any]]:
    """Return the steps of a request from the explanation of a node."""
    request_id = result.headers["x-request-id"]
    answer = world.ask_operator(number, f"/explain/{request_id}")
    assert answer.status == 200, answer
    steps: list[dict[str, Any]] = msgspec.json.decode(answer.body)["steps"]
    return steps
