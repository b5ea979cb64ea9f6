"""A whole request is answered or refused, whatever happens to its handler."""

from __future__ import annotations

from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import msgspec
import pytest
import trio
from structlog.testing import capture_logs
from trio.testing import MockClock

from toucanyard_node.http_exchange import (
    CallerGoneError,
    HttpRequest,
    Responder,
)
from toucanyard_node.http_server import (
    HttpServer,
    ServerLimits,
    find_port,
    open_listener,
)

Handler = Callable[[HttpRequest, Responder], Awaitable[None]]
REQUEST = (
    b"%s /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 4\r\n\r\nhola"
)
LINE = "closed_without_status"


@asynccontextmanager
async def serve(handler: Handler) -> AsyncIterator[tuple[HttpServer, int]]:
    listener = await open_listener("127.0.0.1", 0)
    server = HttpServer(handler, ServerLimits())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.serve, listener)
        yield server, find_port(listener)
        nursery.cancel_scope.cancel()


async def exchange(port: int, method: bytes = b"POST") -> bytes:
    """Send a request and return everything received."""
    stream = await trio.open_tcp_stream("127.0.0.1", port)
    async with stream:
        await stream.send_all(REQUEST % method)
        return b"".join([part async for part in stream])


async def raise_fault(_: HttpRequest, __: Responder) -> None:
    raise ValueError("a fault")


async def raise_group(_: HttpRequest, __: Responder) -> None:
    raise ExceptionGroup("faults", [ValueError("a fault")])


async def raise_gone(_: HttpRequest, __: Responder) -> None:
    raise CallerGoneError


async def raise_broken(_: HttpRequest, __: Responder) -> None:
    raise trio.BrokenResourceError


async def end_silently(_: HttpRequest, __: Responder) -> None:
    """Return without a response."""


async def send_bad_header(_: HttpRequest, responder: Responder) -> None:
    await responder.send(200, (("X-Bad", "a\r\nb"),), b"whole")


async def send_bad_name(_: HttpRequest, responder: Responder) -> None:
    await responder.start(200, (("caf\u00e9", "a"),))


async def send_bad_status(_: HttpRequest, responder: Responder) -> None:
    await responder.send(103, (), b"whole")


async def send_two_lengths(_: HttpRequest, responder: Responder) -> None:
    await responder.send(200, (("Content-Length", "9"),), b"whole")


async def send_body_of_none(_: HttpRequest, responder: Responder) -> None:
    """Send a body with a status that has none."""
    await responder.send(204, (), b"whole")


FAILING = [
    raise_fault,
    raise_group,
    raise_gone,
    raise_broken,
    end_silently,
    send_bad_header,
    send_bad_name,
    send_bad_status,
    send_two_lengths,
    send_body_of_none,
]


@pytest.mark.parametrize("handler", FAILING)
async def test_handler_without_a_response_is_answered_for(handler: Handler) -> None:
    """Guards against a closed connection that tells a caller nothing."""
    async with serve(handler) as (server, port):
        with trio.fail_after(5):
            answer = await exchange(port)
        head, _, body = answer.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 500")
        assert b"connection: close" in head.lower()
        error = msgspec.json.decode(body)["error"]
        assert (error["code"], error["ending"]) == ("internal", "unknown")
        assert not error["not_run"]
        assert server.closings.counts == Counter()


async def test_failing_handler_of_a_head_request_is_answered_for() -> None:
    async with serve(send_body_of_none) as (_, port):
        assert (await exchange(port, b"HEAD")).startswith(b"HTTP/1.1 204")
    async with serve(raise_fault) as (_, port):
        answer = await exchange(port, b"HEAD")
        assert answer.startswith(b"HTTP/1.1 500")
        assert answer.endswith(b"\r\n\r\n")


async def test_failure_after_the_status_closes_the_connection() -> None:
    """A response that has begun is cut, and nothing is appended to it."""

    async def fail_midway(_: HttpRequest, responder: Responder) -> None:
        await responder.start(200, ())
        await responder.write(b"part")
        raise ValueError("a fault")

    async with serve(fail_midway) as (server, port):
        answer = await exchange(port)
        assert answer.startswith(b"HTTP/1.1 200")
        assert answer.count(b"HTTP/1.1") == 1
        assert not answer.endswith(b"0\r\n\r\n")
        assert not server.closings.counts


async def test_caller_that_leaves_is_told_apart(autojump_clock: MockClock) -> None:
    """Guards against a line that blames the node for callers that leave."""
    started = trio.Event()

    async def wait(_: HttpRequest, __: Responder) -> None:
        started.set()
        await trio.sleep_forever()

    async with serve(wait) as (server, port):
        with capture_logs() as lines:
            stream = await trio.open_tcp_stream("127.0.0.1", port)
            await stream.send_all(REQUEST % b"POST")
            await started.wait()
            await stream.aclose()
            await trio.testing.wait_all_tasks_blocked(0.05)
        found = [line for line in lines if line["event"] == LINE]
        assert [(line["path"], line["reason"]) for line in found] == [
            ("/a", "caller_left")
        ]
        assert server.closings.counts == {"caller_left": 1}


async def test_request_that_the_node_ends_has_a_line() -> None:
    """Guards against cancelled handlers that leave no trace in the log."""
    started = trio.Event()

    async def wait(_: HttpRequest, __: Responder) -> None:
        started.set()
        await trio.sleep_forever()

    with capture_logs() as lines:
        async with serve(wait) as (server, port):
            stream = await trio.open_tcp_stream("127.0.0.1", port)
            await stream.send_all(REQUEST % b"POST")
            await started.wait()
    await stream.aclose()
    found = [line for line in lines if line["event"] == LINE]
    assert [line["reason"] for line in found] == ["cancelled"]
    assert found[0]["age_ms"] >= 0
    assert server.closings.counts == {"cancelled": 1}
