"""Arbitrary requests get a valid response, and the next caller is served."""

from __future__ import annotations

import re
from collections.abc import Awaitable, Callable

import msgspec
import trio
from hypothesis import example, given, settings, strategies as st
from trio.testing import MockClock

from support.callers import (
    AUTHORIZED,
    KEY,
    ClientServerHarness,
    build_completion,
    run_client_server_in_memory,
)
from support.engines import ScriptedEngine
from toucanyard.errorcodes import ANSWERS, ErrorKind
from toucanyard_node.http_client import Response

STATUS = re.compile(rb"HTTP/1\.1 (\d+)")
REFUSALS = {answer.status for kind, answer in ANSWERS.items() if kind != "internal"}
HEAD = b"Host: a\r\nAuthorization: Bearer " + KEY.encode() + b"\r\n"


def run_against_server(check: Callable[[ClientServerHarness], Awaitable[None]]) -> None:
    """Run a check against a server with one engine; then send valid requests."""

    async def run() -> None:
        async with run_client_server_in_memory(
            [ScriptedEngine((" uno", " dos"))]
        ) as served:
            with trio.fail_after(3_600):
                await check(served)
                assert (await served.ask("GET", "/v1/models")).status == 200
                assert (await served.complete()).body.endswith(b"data: [DONE]\n\n")

    trio.run(run, clock=MockClock(autojump_threshold=0))


LINES = st.sampled_from(
    [
        b"GET /v1/models HTTP/1.1\r\n",
        b"POST /v1/completions HTTP/1.1\r\n",
        b"GET //[x HTTP/1.1\r\n",
        b"GET /v1/streams/%00%ff HTTP/1.0\r\n",
        b"PRI * HTTP/2.0\r\n",
        HEAD,
        b"Content-Length: 5\r\n",
        b"Content-Length: -1\r\n",
        b"Content-Length: " + b"9" * 5_000 + b"\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Expect: 100-continue\r\n",
        b"Upgrade: websocket\r\nConnection: upgrade\r\n",
        b"X-Deadline-Ms: \xb2\r\n",
        b"\r\n",
        b"5\r\nabcde\r\n0\r\n\r\n",
        b"ffffffffffffffffffff\r\n",
        b'{"model":"model"}',
        b"\x16\x03\x01\x00",
    ]
)


@given(st.lists(LINES | st.binary(max_size=8), max_size=10).map(b"".join))
@example(b"GET //[x HTTP/1.1\r\n" + HEAD + b"\r\n")
@example(b"HEAD /v1/models HTTP/1.1\r\n" + HEAD + b"\r\n")
@settings(max_examples=100)
def test_any_bytes_are_answered_or_the_connection_ends(data: bytes) -> None:
    async def check(served: ClientServerHarness) -> None:
        assert served.network is not None
        stream = await served.network.open_stream(served.address)
        async with stream:
            await stream.send_all(data)
            answer = b"".join([bytes(part) async for part in stream])
        statuses = {int(status) for status in STATUS.findall(answer)}
        assert not answer or answer.startswith(b"HTTP/1.1 ")
        assert statuses <= {100, 200, *REFUSALS}

    run_against_server(check)


NUMBERS = ["0", "1", "-1", "9" * 9, "9" * 15, "9" * 5_000, "1e3", "\u00b2", ""]
HEADERS = {
    "X-Deadline-Ms": st.sampled_from(NUMBERS),
    "X-Key-Age-Ms": st.sampled_from(NUMBERS),
    "X-Run-Once": st.sampled_from(["true", "false", "TRUE", "yes", "\u00e9", ""]),
    "Idempotency-Key": st.sampled_from(["k", "\u00f1and\u00fa", "x" * 256, ""]),
    "Last-Event-ID": st.sampled_from(NUMBERS),
    "Content-Type": st.sampled_from(["text/caf\u00e9", "application/json"]),
    "Accept": st.sampled_from(["text/event-stream", "\u00ff"]),
}
TARGETS = st.sampled_from(
    [
        "/v1/completions",
        "/v1/chat/completions",
        "/v1/models?x=%ff&x",
        "/v1/locate?stay=",
        "/v1/streams/n1-x7-0",
        "/v1/streams/",
        "/v1/services/desk/holds?a=%",
        "/v1/services%2fdesk/holds",
        "/v1/services//",
        "//",
        "*",
        "http://a/v1/models",
    ]
)
BODIES = st.sampled_from(
    [
        b"",
        b"{",
        b"\xff",
        b"[" * 50_000,
        msgspec.json.encode(build_completion()),
        msgspec.json.encode(build_completion(is_stream=False)),
        b'{"model":"model","messages":[{"role":"user","content":"x"}]}',
        b'{"model":"model","prompt":"x","max_tokens":' + b"9" * 400 + b"}",
        b'{"model":"model","prompt":"x","tools":[1]}',
    ]
)


def check_refusal(answer: Response) -> None:
    """Check the format of a refusal, and that it is no internal error."""
    error = msgspec.json.decode(answer.body)["error"]
    kind = ErrorKind(error["code"])
    assert kind is not ErrorKind.INTERNAL
    assert answer.status == ANSWERS[kind].status
    assert error["request_id"] == answer.headers["x-request-id"]
    assert error["not_run"] == (error["ending"] == "not_run")


@given(
    st.sampled_from(["GET", "POST", "HEAD", "DELETE", "PATCH", "x"]),
    TARGETS,
    st.fixed_dictionaries({}, optional=HEADERS),
    BODIES,
)
@example("GET", "/v1/streams/n1-x7-0", {"Last-Event-ID": "9" * 5_000}, b"")
@settings(max_examples=150)
def test_any_request_is_answered(
    method: str, target: str, headers: dict[str, str], body: bytes
) -> None:
    async def check(served: ClientServerHarness) -> None:
        connection = await served.open(method, target, ())
        await connection.close()
        assert served.network is not None
        connection = await served.network.connect(served.address, 1_000)
        all_headers = (*AUTHORIZED, *headers.items())
        await connection.send(method, target, all_headers, body)
        head = await connection.read_head()
        answer = Response(head.status, head.headers, await connection.read_body())
        await connection.close()
        if answer.status >= 400 and method != "HEAD":
            check_refusal(answer)

    run_against_server(check)
