"""Responses of the client server for each kind of request and refusal."""

from __future__ import annotations

import math
from typing import Any

import msgspec
import pytest
import trio
from trio.testing import MockClock

from support.callers import (
    AUTHORIZED,
    ClientServerHarness,
    ScriptedCore,
    build_completion,
    build_options,
    run_client_server,
    run_client_server_in_memory,
)
from support.engines import ScriptedEngine, Step, StepEnd
from toucanyard.names import Address, RequestId
from toucanyard.requests import (
    CachedAnswer,
    DispatchEnding,
    ModelTarget,
    Repeatability,
    Replay,
)
from toucanyard_node.http_client import Headers, Response

TOKENS = (" uno", " dos")
CHAT = "/v1/chat/completions"
RUN_ONCE_HEADERS = (*AUTHORIZED, ("X-Run-Once", "true"))
SHORT_DEADLINE_HEADERS = (*AUTHORIZED, ("X-Deadline-Ms", "200"))
RUN_ONCE_SHORT_DEADLINE_HEADERS = (*RUN_ONCE_HEADERS, ("X-Deadline-Ms", "200"))


def read_error(answer: Response) -> dict[str, Any]:
    error = msgspec.json.decode(answer.body)["error"]
    assert error["request_id"] == answer.headers["x-request-id"]
    assert isinstance(error, dict)
    return error


@pytest.mark.parametrize(
    ("headers", "status"),
    [
        ((), 401),
        ((("Authorization", "Bearer wrong"),), 401),
        ((("Authorization", "Basic key-of-rio"),), 401),
        (AUTHORIZED, 200),
    ],
)
async def test_api_keys(headers: Headers, status: int) -> None:
    async with run_client_server_in_memory([]) as served:
        answer = await served.ask("GET", "/v1/models", headers)
        assert answer.status == status
        assert answer.headers["x-node"] == "n1"
        assert answer.headers["x-configuration-version"] == "7"


async def test_locate_needs_no_key() -> None:
    async with run_client_server_in_memory([]) as served:
        answer = await served.ask("GET", "/v1/locate", ())
        body = msgspec.json.decode(answer.body)
        assert (body["node"], body["keep_ms"]) == ("n1", 10_000)


@pytest.mark.parametrize(
    ("method", "target", "body", "status", "code"),
    [
        ("POST", CHAT, {"messages": []}, 400, "bad_request"),
        ("POST", CHAT, {"model": "model"}, 400, "bad_request"),
        ("POST", CHAT, [1], 400, "bad_request"),
        ("POST", CHAT, {"model": "model", "messages": "x"}, 400, "bad_request"),
        ("POST", CHAT, {"model": "m", "messages": []}, 404, "not_found"),
        ("POST", CHAT, {"model": "model:b", "messages": []}, 404, "not_found"),
        (
            "POST",
            CHAT,
            {"model": "model", "messages": [], "max_tokens": 0},
            400,
            "bad_request",
        ),
        ("GET", CHAT, "", 405, "method_not_allowed"),
        ("GET", "/v1/nothing", "", 404, "not_found"),
        ("POST", "/v1/services/none/x", "", 404, "not_found"),
        ("POST", "/v1/services/desk", "", 404, "not_found"),
    ],
)
async def test_bad_requests(
    method: str, target: str, body: object, status: int, code: str
) -> None:
    async with run_client_server_in_memory([]) as served:
        answer = await served.ask(method, target, AUTHORIZED, body)
        error = read_error(answer)
        assert (answer.status, error["code"]) == (status, code)
        assert error["not_run"] is True
        assert "retry-after" not in answer.headers
        (rejection,) = served.core.rejections
        assert rejection.refusal.request_id == answer.headers["x-request-id"]
        assert rejection.refusal.kind == code


async def test_stranger_leaves_no_record() -> None:
    # Anyone can send requests without a key; recording them would evict the records
    # of customers.
    async with run_client_server_in_memory([]) as served:
        answer = await served.ask("GET", "/v1/nothing", (), "")
        assert answer.status == 401
        assert not served.core.rejections


@pytest.mark.parametrize(
    "header",
    [
        ("X-Deadline-Ms", "soon"),
        ("X-Deadline-Ms", "0"),
        ("X-Run-Once", "yes"),
        ("Idempotency-Key", ""),
        ("Idempotency-Key", "k" * 300),
        ("X-Key-Age-Ms", "-1"),
    ],
)
async def test_bad_headers(header: tuple[str, str]) -> None:
    async with run_client_server_in_memory([]) as served:
        answer = await served.complete(headers=(*AUTHORIZED, header))
        assert read_error(answer)["code"] == "bad_request"


async def test_refusal_of_core() -> None:
    async with run_client_server_in_memory([ScriptedEngine(TOKENS)]) as served:
        served.core.is_refusing = True
        answer = await served.complete()
        error = read_error(answer)
        assert (answer.status, error["code"]) == (503, "overloaded")
        assert error["retry_after_ms"] == 800
        assert answer.headers["retry-after"] == str(math.ceil(0.8))


async def test_request_as_core_sees_it() -> None:
    async with run_client_server_in_memory([ScriptedEngine(TOKENS)]) as served:
        headers = (*AUTHORIZED, ("Idempotency-Key", "k1"), ("X-Key-Age-Ms", "0"))
        body = {
            "model": "model:a",
            "messages": [{"role": "user", "content": "ñ" * 300}],
            "max_tokens": 9,
        }
        await served.ask("POST", CHAT, headers, body)
        [request] = served.core.requests
        assert request.request_id == "n1-x7-0"
        assert request.customer == "rio"
        assert request.repeatability is Repeatability.KEYED
        assert (request.key, request.key_age_ms) == ("k1", 0)
        target = request.target
        assert isinstance(target, ModelTarget)
        assert (target.model, target.adapter, target.max_tokens) == ("model", "a", 9)
        assert target.prompt_bytes == len("user\n") + 600 + 1
        assert len(target.chain) == 2


async def test_answer_kept_by_core() -> None:
    async with run_client_server_in_memory([]) as served:
        kept = CachedAnswer(200, "text/event-stream", b"data: [DONE]\n\n")
        served.core.replay = Replay(RequestId("n1-x7-0"), kept)
        answer = await served.complete()
        assert answer.body == kept.body
        assert answer.headers["content-type"] == kept.content_type


async def ask_with_deadline(
    served: ClientServerHarness, headers: Headers
) -> dict[str, Any]:
    answer = await served.complete(is_stream=False, headers=headers)
    error = read_error(answer)
    if error["retry_after_ms"] is not None:
        assert "retry-after" in answer.headers
    return error


@pytest.mark.parametrize(
    ("headers", "is_queued", "code", "is_not_run"),
    [
        (SHORT_DEADLINE_HEADERS, True, "deadline_exceeded", True),
        (RUN_ONCE_SHORT_DEADLINE_HEADERS, True, "deadline_exceeded", True),
        (SHORT_DEADLINE_HEADERS, False, "deadline_exceeded", False),
        (RUN_ONCE_SHORT_DEADLINE_HEADERS, False, "outcome_unknown", False),
    ],
)
async def test_deadline(
    autojump_clock: MockClock,
    headers: Headers,
    is_queued: bool,
    code: str,
    is_not_run: bool,
) -> None:
    """The deadline passes while a request is queued, or while an engine runs it.

    The caller gets an error at the deadline; only the queued request is "not run".
    """
    engine = ScriptedEngine(TOKENS, Step(stop_before=1, then=StepEnd.HEARTBEAT))
    async with run_client_server_in_memory([engine]) as served:
        served.core.is_waiting = is_queued
        started_s = trio.current_time()
        error = await ask_with_deadline(served, headers)
        assert (error["code"], error["not_run"]) == (code, is_not_run)
        assert trio.current_time() - started_s == pytest.approx(0.2, abs=0.01)


@pytest.mark.parametrize(
    ("step", "headers", "code", "is_not_run", "ending"),
    [
        (
            Step(status=503),
            RUN_ONCE_HEADERS,
            "no_endpoint",
            True,
            DispatchEnding.REFUSED,
        ),
        (
            Step(status=412),
            RUN_ONCE_HEADERS,
            "no_endpoint",
            True,
            DispatchEnding.REFUSED,
        ),
        (
            Step(status=500),
            RUN_ONCE_HEADERS,
            "outcome_unknown",
            False,
            DispatchEnding.FAILED,
        ),
        (Step(status=500), AUTHORIZED, "endpoint_lost", False, DispatchEnding.FAILED),
    ],
)
async def test_endings(
    autojump_clock: MockClock,
    step: Step,
    headers: Headers,
    code: str,
    is_not_run: bool,
    ending: DispatchEnding,
) -> None:
    """An engine responds that it did not run a request, or that it failed.

    Only the former proves that the request did not run.
    """
    async with run_client_server_in_memory([ScriptedEngine(TOKENS, step)]) as served:
        answer = await served.complete(headers=headers)
        error = read_error(answer)
        assert (error["code"], error["not_run"]) == (code, is_not_run)
        assert served.core.find_endings() == [ending]


async def test_not_sent() -> None:
    """Connecting to the engine fails, so no byte of the request was sent."""
    async with run_client_server_in_memory([ScriptedEngine(TOKENS)]) as served:
        assert served.network is not None
        served.network.remove(served.core.addresses[0])
        answer = await served.complete(headers=RUN_ONCE_HEADERS)
        assert read_error(answer)["not_run"] is True
        assert served.core.find_endings() == [DispatchEnding.NOT_SENT]


async def test_refusal_after_a_lost_try(autojump_clock: MockClock) -> None:
    """The first attempt is lost and the core refuses the second for overload.

    "Not run" applies to the second attempt only. The first may have run, so the
    response to the caller must not claim "not run".
    """
    lost = ScriptedEngine(TOKENS, Step(status=500))
    async with run_client_server_in_memory([lost]) as served:
        served.core.is_refusing_retries = True
        answer = await served.complete()
        error = read_error(answer)
        assert (error["code"], error["not_run"]) == ("overloaded", False)


async def test_refused_after_a_lost_try(autojump_clock: MockClock) -> None:
    """The first attempt is lost and the second is refused by its engine."""
    lost = ScriptedEngine(TOKENS, Step(status=500))
    refusing = ScriptedEngine(TOKENS, Step(status=503))
    async with run_client_server_in_memory([lost, refusing]) as served:
        answer = await served.complete()
        assert read_error(answer)["not_run"] is False
        assert served.core.find_endings() == [
            DispatchEnding.FAILED,
            DispatchEnding.REFUSED,
        ]


async def test_idle_connection_died(autojump_clock: MockClock) -> None:
    """The engine closes a pooled connection just as it is reused.

    A repeatable request is sent again on a new connection immediately.
    """
    engine = ScriptedEngine(
        TOKENS, Step(), Step(stop_before=0, then=StepEnd.CUT, status=0)
    )
    async with run_client_server_in_memory([engine]) as served:
        await served.complete()
        answer = await served.complete()
        assert answer.status == 200
        assert len(engine.find_requests("POST")) == 3
        assert served.core.find_endings() == [DispatchEnding.COMPLETED] * 2


async def test_run_once_uses_new_connection(autojump_clock: MockClock) -> None:
    """A dead pooled connection would leave the outcome unknown.

    A request that may run once is therefore never sent on a pooled connection.
    """
    engine = ScriptedEngine(TOKENS)
    async with run_client_server_in_memory([engine]) as served:
        await served.complete()
        await served.complete()
        await served.complete(headers=RUN_ONCE_HEADERS)
        assert served.network is not None
        opened = served.network.opened.count(served.core.addresses[0])
        assert opened == 2


async def test_engine_rejects_body() -> None:
    """A 4xx response of the engine is forwarded to the caller unchanged."""
    engine = ScriptedEngine(TOKENS, Step(status=422))
    async with run_client_server_in_memory([engine]) as served:
        answer = await served.complete()
        assert (answer.status, answer.body) == (422, b'{"error": "scripted"}')


async def test_body_too_large() -> None:
    options = msgspec.structs.replace(
        build_options(),
        callers=msgspec.structs.replace(build_options().callers, max_body_bytes=100),
    )
    async with run_client_server(
        ScriptedCore([Address("127.0.0.1:1")]), options
    ) as served:
        body = build_completion() | {"prompt": "x" * 1_000_000}
        answer = await served.ask("POST", "/v1/completions", AUTHORIZED, body)
        error = msgspec.json.decode(answer.body)["error"]
        assert (answer.status, error["code"]) == (413, "body_too_large")


@pytest.mark.parametrize(
    ("age", "is_not_run"), [((("X-Key-Age-Ms", "0"),), True), ((), False)]
)
async def test_keyed_request_refused_early_is_not_called_not_run(
    age: Headers, is_not_run: bool
) -> None:
    """A retry of a hold reaches a node that doesn't know the caller's API key yet.

    The first attempt ran through another node. If the 401 said "not run", the caller
    would make a second hold under a new idempotency key.
    """
    headers = (("Authorization", "Bearer new"), ("Idempotency-Key", "k1"), *age)
    async with run_client_server(ScriptedCore([])) as served:
        answer = await served.ask("POST", "/v1/services/desk/holds", headers)
        assert answer.status == 401
        assert read_error(answer)["not_run"] is is_not_run
