"""Steps about streams, planned stops and callers that disconnect."""

from __future__ import annotations

import msgspec
from behave import given, then, when
from behave.runner import Context
from whole_path_steps import COMPLETIONS, PROMPT, check_stream_of

from toucanyard_node.http_client import connect
from toucanyard_standins.deployment import CALLER_KEY, DeploymentSizes
from toucanyard_standins.engine_faults import EngineCounters
from world import RequestResult, World, build_completion

SLOW_TOKENS = ("--time-scale", "4")


@given("a deployment with {nodes:d} nodes, {engines:d} engines with slow tokens")
def start_slow(context: Context, nodes: int, engines: int) -> None:
    sizes = DeploymentSizes(nodes, engines, 0, engine_arguments=SLOW_TOKENS)
    context.world.start(sizes)


@when("a caller begins to stream {tokens:d} tokens from node {number:d} and goes away")
def stream_and_leave(context: Context, tokens: int, number: int) -> None:
    world: World = context.world
    address = world.find_node(number).address
    body = build_completion(PROMPT, tokens, is_stream=True)

    async def begin() -> None:
        connection = await connect(address, 5_000)
        named = (("Authorization", f"Bearer {CALLER_KEY}"),)
        await connection.send("POST", COMPLETIONS, named, body)
        await connection.read_head()
        await connection.read_body_chunk()
        await connection.close()

    world.portal.call(begin)


@then("an engine is told to cancel")
def check_cancelled(context: Context) -> None:
    world: World = context.world

    def is_cancelled() -> bool:
        counts = [
            world.portal.call(world.harness.read_counters, engine, EngineCounters)
            for engine in world.deployment.engines
        ]
        return any(each.cancelled for each in counts)

    world.wait_for("a cancel", is_cancelled)


@then("the stream has {count:d} tokens")
def check_tokens(context: Context, count: int) -> None:
    body = context.world.results[-1].body.decode()
    texts = [line[5:].strip() for line in body.splitlines() if line.startswith("data:")]
    events = [msgspec.json.decode(text) for text in texts if text != "[DONE]"]
    tokens = [
        choice["text"]
        for event in events
        for choice in event["choices"]
        if choice["text"]
    ]
    assert len(tokens) == count, len(tokens)


@when("node {number:d} is asked to stop")
def ask_to_stop(context: Context, number: int) -> None:
    context.world.find_node(number).process.terminate()


@when(
    "a caller asks node {other:d} where to connect until node {number:d} is not named"
)
def locate_until(context: Context, other: int, number: int) -> None:
    world: World = context.world
    address = world.find_node(number).address

    def is_gone() -> bool:
        answer = world.ask_node(other, "GET", "/v1/locate")
        named = msgspec.json.decode(answer.body)
        return address not in [each["address"] for each in named["addresses"]]

    world.wait_for("locate to leave the node out", is_gone)


@then("the first stream is whole, numbered and in order")
def check_first_stream(context: Context) -> None:
    check_stream_of(context, context.world.results[0])


@then("node {number:d} ends by itself")
def check_ended(context: Context, number: int) -> None:
    world: World = context.world
    node = world.find_node(number)
    status = world.portal.call(node.process.wait)
    assert status == 0, status
    assert "is_clean=true" in node.read_log(), node.read_log()[-500:]


@then("the caller gets the same text as before, or a refusal")
def check_own_answer(context: Context) -> None:
    first, last = context.world.results[0], context.world.results[-1]
    assert last.is_whole, last
    if last.status == 200:
        assert find_text(last) == find_text(first), last
    else:
        assert last.find_ending() in ("not_run", "unknown"), last


def find_text(result: RequestResult) -> str:
    """Return the text of a response without streaming."""
    (choice,) = msgspec.json.decode(result.body)["choices"]
    return str(choice["text"])
