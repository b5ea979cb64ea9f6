"""Calls of plain services against the stand-in, by repeatability."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import msgspec
import pytest
import trio
from trio.testing import MockClock

from standin_examples import control, read, start_service
from support.callers import (
    AUTHORIZED,
    ClientServerHarness,
    ScriptedCore,
    build_completion,
    build_configuration,
    read_text,
    run_client_server,
    run_client_server_in_memory,
)
from support.engines import ScriptedEngine, Step
from toucanyard.names import Address
from toucanyard.requests import DispatchEnding, Repeatability
from toucanyard_node.http_client import Headers, Response
from toucanyard_node.service_handler import find_call_repeatability
from toucanyard_standins.plain_service import (
    CrossAnswers,
    DelayAnswers,
    DieAfterExecution,
    RefuseCalls,
    ServiceCounters,
)

HOLDS = "/v1/services/desk/holds?seat=4"
KEYED_HEADERS = (*AUTHORIZED, ("Idempotency-Key", "k1"))


@asynccontextmanager
async def serve_desk(
    repeatable: tuple[str, ...] = (),
) -> AsyncIterator[tuple[ClientServerHarness, list[Address]]]:
    """Run a server with two replicas of a service; attempts use them in order."""
    async with trio.open_nursery() as nursery:
        addresses = [await start_service(nursery), await start_service(nursery)]
        core = ScriptedCore(addresses)
        core.configuration = build_configuration(repeatable)
        async with run_client_server(core) as served:
            yield served, addresses
        nursery.cancel_scope.cancel()


async def count_executions(addresses: list[Address]) -> list[int]:
    return [
        (await read(address, "/control", ServiceCounters)).executions
        for address in addresses
    ]


def read_error(answer: Response) -> dict[str, Any]:
    error = msgspec.json.decode(answer.body)["error"]
    assert isinstance(error, dict)
    return error


async def test_call_and_answer() -> None:
    async with serve_desk() as (served, _):
        answer = await served.ask("POST", HOLDS, AUTHORIZED, {"seat": 4})
        body = msgspec.json.decode(answer.body)
        assert (body["method"], body["path"]) == ("POST", "/holds")
        assert (body["customer"], body["body_bytes"]) == ("rio", 10)
        assert body["request_id"] == answer.headers["x-request-id"]


@pytest.mark.parametrize("headers", [AUTHORIZED, KEYED_HEADERS])
async def test_death_after_execution(headers: Headers) -> None:
    """A replica makes the hold and crashes before it responds.

    The caller gets "outcome unknown"; no second hold is made.
    """
    async with serve_desk() as (served, addresses):
        await control(addresses[0], DieAfterExecution())
        answer = await served.ask("POST", HOLDS, headers, {"seat": 4})
        error = read_error(answer)
        assert (error["code"], error["not_run"]) == ("outcome_unknown", False)
        assert await count_executions(addresses) == [1, 0]
        assert served.core.find_endings() == [DispatchEnding.LOST]


async def test_death_of_repeatable_call() -> None:
    """The same with a call declared repeatable: it is retried on another replica."""
    async with serve_desk(("POST /holds",)) as (served, addresses):
        await control(addresses[0], DieAfterExecution())
        answer = await served.ask("POST", HOLDS, AUTHORIZED, {"seat": 4})
        assert answer.status == 200
        assert await count_executions(addresses) == [1, 1]


@pytest.mark.parametrize("headers", [AUTHORIZED, KEYED_HEADERS])
async def test_refusing_replica_of_a_call_that_may_run_once(headers: Headers) -> None:
    """A replica returns 503, which it may also do after it has made a hold.

    The caller gets that response unchanged. Retrying on the other replica could make a
    second hold, and "not run" could be false.
    """
    async with serve_desk() as (served, addresses):
        await control(addresses[0], RefuseCalls(is_on=True))
        answer = await served.ask("POST", HOLDS, headers, {"seat": 4})
        assert (answer.status, answer.body) == (503, b'{"error":"takes no calls"}')
        assert await count_executions(addresses) == [0, 0]


async def test_refusing_replica_of_repeatable_call() -> None:
    """A replica refuses calls: the call is retried on another replica."""
    async with serve_desk(("POST /holds",)) as (served, addresses):
        await control(addresses[0], RefuseCalls(is_on=True))
        answer = await served.ask("POST", HOLDS, AUTHORIZED, {"seat": 4})
        assert answer.status == 200
        assert await count_executions(addresses) == [0, 1]


async def test_crossed_answer() -> None:
    """A response with the id of another call is not delivered."""
    async with serve_desk() as (served, addresses):
        await control(addresses[0], CrossAnswers())
        answer = await served.ask("POST", HOLDS, AUTHORIZED, {"seat": 4})
        assert b"crossed" not in answer.body.replace(b"the answer is for crossed", b"")
        assert read_error(answer)["code"] == "outcome_unknown"
        assert await count_executions(addresses) == [1, 0]


async def test_late_answer() -> None:
    """The response arrives after the deadline.

    The caller already got "outcome unknown"; the late response must not be taken for
    that of its next call.
    """
    async with serve_desk() as (served, addresses):
        await control(addresses[0], DelayAnswers(delay_ms=100))
        short_deadline_headers = (*AUTHORIZED, ("X-Deadline-Ms", "50"))
        answer = await served.ask("POST", HOLDS, short_deadline_headers, {"seat": 4})
        assert read_error(answer)["code"] == "outcome_unknown"
        answer = await served.ask("POST", HOLDS, AUTHORIZED, {"seat": 5})
        body = msgspec.json.decode(answer.body)
        assert body["request_id"] == answer.headers["x-request-id"]


async def test_keyed_call_runs_on() -> None:
    """The caller of a keyed call disconnects; the response is stored for a retry."""
    async with serve_desk() as (served, addresses):
        await control(addresses[0], DelayAnswers(delay_ms=50))
        connection = await served.open("POST", HOLDS, KEYED_HEADERS, {"seat": 4})
        while not served.core.requests:
            await trio.sleep(0.001)
        await connection.close()
        while not served.core.outcomes:
            await trio.sleep(0.001)
        [outcome] = served.core.outcomes
        assert outcome.ending is DispatchEnding.COMPLETED
        assert outcome.answer is not None


@pytest.mark.parametrize(
    "target", ["/v1/services/desk/holds", "/v1/completions"], ids=["service", "model"]
)
async def test_refused_at_the_deadline_while_connecting(
    autojump_clock: MockClock, target: str
) -> None:
    """The deadline of a first attempt passes while the node connects to the endpoint.

    The caller gets "not run" and repeats its call under another key. A keyed attempt
    continues without its caller, so a connection that is established later must not be
    used: the endpoint would execute a call that was reported as not run.
    """
    engine = ScriptedEngine(("a",))
    async with run_client_server_in_memory([engine]) as served:
        assert served.network is not None
        served.network.connect_delay_s = 0.2
        first = (("X-Key-Age-Ms", "0"), ("X-Deadline-Ms", "100"))
        answer = await served.ask(
            "POST", target, (*KEYED_HEADERS, *first), build_completion()
        )
        error = read_error(answer)
        assert (error["code"], error["not_run"]) == ("deadline_exceeded", True)
        await trio.sleep(1)
        assert engine.requests == []
        assert served.core.find_endings() == [DispatchEnding.NOT_SENT]


async def test_keyed_stream_runs_on_after_the_deadline(
    autojump_clock: MockClock,
) -> None:
    """An engine starts a keyed stream only after the caller's deadline.

    The caller got "outcome unknown". The response is stored for a retry, and the end of
    the dispatch is reported to the core; otherwise the key would stay in progress and
    its slot at the engine occupied.
    """
    engine = ScriptedEngine(("a", "b"), Step(head_delay_s=0.2))
    async with run_client_server_in_memory([engine]) as served:
        headers = (*KEYED_HEADERS, ("X-Deadline-Ms", "100"))
        answer = await served.ask(
            "POST", "/v1/completions", headers, build_completion()
        )
        assert read_error(answer)["code"] == "outcome_unknown"
        await trio.sleep(1)
        [outcome] = served.core.outcomes
        assert outcome.ending is DispatchEnding.COMPLETED
        assert outcome.answer is not None
        assert read_text(outcome.answer.body) == "ab"


@pytest.mark.parametrize(
    ("method", "path", "expected"),
    [
        ("GET", "/holds", Repeatability.REPEATABLE),
        ("POST", "/fares/today", Repeatability.REPEATABLE),
        ("POST", "/holds", Repeatability.RUN_ONCE),
        ("DELETE", "/fares/today", Repeatability.RUN_ONCE),
    ],
)
def test_declared_calls(method: str, path: str, expected: Repeatability) -> None:
    [service] = build_configuration(("POST /fares",)).services
    assert find_call_repeatability(service, method, path) is expected


async def test_key_outside_ascii() -> None:
    """A key in Latin-1 is forwarded to the service unchanged."""
    async with serve_desk() as (served, addresses):
        headers = (*AUTHORIZED, ("Idempotency-Key", "ñandú"))
        answer = await served.ask("POST", HOLDS, headers, {"seat": 4})
        assert answer.status == 200
        counters = await read(addresses[0], "/control", ServiceCounters)
        assert counters.by_key == {"ñandú": 1}


@pytest.mark.parametrize("headers", [AUTHORIZED, KEYED_HEADERS])
@pytest.mark.parametrize("target", [HOLDS, "/v1/completions"])
async def test_fault_gives_the_place_back(headers: Headers, target: str) -> None:
    """An internal error ends a request after the core has placed it.

    The caller gets the error immediately, and the end of the dispatch is reported to
    the core; otherwise its slot at the endpoint would stay occupied.
    """
    core = ScriptedCore([Address("nonsense")])
    async with run_client_server(core) as served:
        answer = await served.ask("POST", target, headers, build_completion())
        assert read_error(answer)["code"] == "internal"
        assert core.find_endings() == [DispatchEnding.CANCELLED]
