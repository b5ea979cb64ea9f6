"""Serve requests through a deployment of processes and explain one of them."""

from __future__ import annotations

import sys
from typing import Final

import msgspec
import trio

from toucanyard.names import Address
from toucanyard_node.http_client import ConnectionFailedError, Headers, Response
from toucanyard_standins.deployment import (
    CALLER_KEY,
    MODEL,
    OPERATOR_KEY,
    SERVICE,
    Deployment,
    DeploymentSizes,
    start_deployment,
)
from toucanyard_standins.harness import Harness, ask, open_harness
from toucanyard_standins.openai_shape import Completion
from toucanyard_standins.plain_service import ServiceCounters
from toucanyard_standins.processes import HarnessError

_RULEBOOK: Final = "Rule: no crossing above 1.2 m of tide at the quay. " * 60
_QUESTION: Final = "May lancha 4 cross at 06:40?"
_TOKENS: Final = 12
_MAX_EXPLAIN_ATTEMPTS: Final = 20
_EXPLAIN_INTERVAL_S: Final = 0.1


class DemoError(Exception):
    """A step of the demo had an unexpected result."""


class LocateBody(msgspec.Struct, frozen=True):
    """The fields of a locate response that the demo uses."""

    node: str
    address: str
    addresses: tuple[msgspec.Raw, ...]


class StreamResult(msgspec.Struct, frozen=True):
    """The result of one streamed completion."""

    request_id: str
    node: str
    version: str
    text: str
    cached_tokens: int
    prompt_tokens: int


def check(is_expected: bool, text: str) -> None:
    """Raise DemoError unless a condition holds."""
    if not is_expected:
        raise DemoError(text)


def check_status(answer: Response, what: str) -> None:
    """Raise DemoError unless a response has status 200."""
    text = answer.body.decode(errors="replace")
    check(answer.status == 200, f"{what}: status {answer.status}: {text}")


async def locate(address: Address) -> Address:
    """Request the address to use from a node."""
    answer = await ask(address, "GET", "/v1/locate", CALLER_KEY)
    check_status(answer, "locate")
    found = msgspec.json.decode(answer.body, type=LocateBody)
    print(f"locate: use {found.node} at {found.address}, {len(found.addresses)} known")
    return Address(found.address)


async def complete(address: Address) -> StreamResult:
    """Stream one completion with a long shared prompt."""
    body = {
        "model": MODEL,
        "prompt": _RULEBOOK + _QUESTION,
        "max_tokens": _TOKENS,
        "stream": True,
    }
    answer = await ask(
        address, "POST", "/v1/completions", CALLER_KEY, msgspec.json.encode(body)
    )
    check_status(answer, "completion")
    result = read_stream(answer)
    print(
        f"completion {result.request_id} by {result.node} under version"
        f" {result.version}:{result.text}"
    )
    print(f"  {result.cached_tokens} of {result.prompt_tokens} prompt tokens cached")
    return result


def read_stream(answer: Response) -> StreamResult:
    """Check that a stream is complete and in order, and return its content."""
    text = ""
    usage = None
    numbers: list[int] = []
    lines = answer.body.decode().splitlines()
    for line in lines:
        name, _, value = line.partition(": ")
        if name == "id":
            numbers.append(int(value))
        elif name == "data" and value.startswith("{"):
            chunk = msgspec.json.decode(value, type=Completion)
            text += "".join(choice.text or "" for choice in chunk.choices)
            usage = chunk.usage or usage
    check("data: [DONE]" in lines, "the stream has no end")
    check(numbers == list(range(len(numbers))), f"the stream's numbers are {numbers}")
    check(usage is not None, "the stream has no usage")
    assert usage is not None
    check(usage.completion_tokens == _TOKENS, f"{usage.completion_tokens} tokens")
    return StreamResult(
        answer.headers.get("x-request-id", ""),
        answer.headers.get("x-node", ""),
        answer.headers.get("x-configuration-version", ""),
        text,
        usage.prompt_tokens_details.cached_tokens,
        usage.prompt_tokens,
    )


async def hold_seat_on_every_node(harness: Harness, deployment: Deployment) -> None:
    """Send one seat hold to each node with the same key; it must run only once."""
    headers: Headers = (("Idempotency-Key", "demo-hold-1"),)
    body = msgspec.json.encode({"crossing": "06:40", "seat": 7})
    bodies: list[bytes] = []
    for node in deployment.nodes:
        target = f"/v1/services/{SERVICE}/holds"
        answer = await ask(node.address, "POST", target, CALLER_KEY, body, headers)
        check_status(answer, f"seat hold through {node.name}")
        bodies.append(answer.body)
        print(f"seat hold through {node.name}: {answer.body.decode()}")
    check(len(set(bodies)) == 1, "the answers to one seat hold differ")
    executions = 0
    for service in deployment.services:
        counters = await harness.read_counters(service, ServiceCounters)
        executions += counters.executions
    check(executions == 1, f"the seat hold ran {executions} times")
    print(f"seat hold sent {len(bodies)} times, run once")


async def explain(deployment: Deployment, request_id: str) -> None:
    """Request the explanation of a routing decision from the last node."""
    address = deployment.nodes[-1].addresses["operators"]
    for _ in range(_MAX_EXPLAIN_ATTEMPTS):
        answer = await ask(address, "GET", f"/explain/{request_id}", OPERATOR_KEY)
        if answer.status == 200:
            break
        await trio.sleep(_EXPLAIN_INTERVAL_S)
    check_status(answer, f"explain {request_id}")
    text = msgspec.json.format(answer.body).decode()
    print(f"explain {request_id}, asked of {deployment.nodes[-1].name}:")
    print("\n".join(f"  {line}" for line in text.splitlines()))


async def run_steps(harness: Harness, deployment: Deployment) -> None:
    """Run the steps of the demo; raise DemoError at the first unexpected result."""
    address = await locate(deployment.nodes[0].address)
    first = await complete(address)
    again = await complete(address)
    check(first.text == again.text, "the answers to the same prompt differ")
    check(again.cached_tokens > first.cached_tokens, "the prompt was not cached")
    await hold_seat_on_every_node(harness, deployment)
    await explain(deployment, first.request_id)


async def run() -> None:
    """Start the processes, run the steps and terminate the processes."""
    async with open_harness() as harness:
        print("starting a platform, 3 engines, a plain service and 2 nodes")
        deployment = await start_deployment(harness, DeploymentSizes(nodes=2))
        for handle in (*deployment.engines, *deployment.services, *deployment.nodes):
            print(f"  {handle.name} at {handle.address}")
        await run_steps(harness, deployment)


def main() -> int:
    """Run the demo; return exit status 1 if a step failed."""
    errors: list[BaseException] = []
    try:
        trio.run(run)
    except* (DemoError, HarnessError, ConnectionFailedError) as group:
        errors = find_leaves(group)
    for error in errors:
        print(f"demo failed: {error}", file=sys.stderr)
    if errors:
        return 1
    print("demo passed")
    return 0


def find_leaves(errors: BaseExceptionGroup[BaseException]) -> list[BaseException]:
    """Return the errors inside nested groups."""
    leaves: list[BaseException] = []
    for error in errors.exceptions:
        if isinstance(error, BaseExceptionGroup):
            leaves += find_leaves(error)
        else:
            leaves.append(error)
    return leaves


if __name__ == "__main__":
    sys.exit(main())
