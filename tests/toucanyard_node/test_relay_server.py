from __future__ import annotations

import trio
import trio.testing

from .relay_harness import (
    RelayHarness,
    ScriptedReplica,
    answer,
    build_call,
    find_header,
    start_harness,
)
from .test_relay_exchange import find_status


async def test_calls_that_no_route_or_key_allows_are_turned_away() -> None:
    replica = ScriptedReplica("x", answer())
    async with start_harness(RelayHarness([replica])) as harness:
        assert find_status(await harness.call(build_call("/other/"))) == 404
        wrong = build_call().replace(b"X-Key: key", b"X-Key: wrong")
        assert find_status(await harness.call(wrong)) == 401
        without_id = build_call().replace(b"X-Id: q1\r\n", b"")
        assert find_status(await harness.call(without_id)) == 400
        assert not replica.calls


async def test_public_route_needs_no_key() -> None:
    harness = RelayHarness([ScriptedReplica("x", answer())], is_public=True)
    async with start_harness(harness):
        call = build_call().replace(b"X-Key: key\r\n", b"")
        assert find_status(await harness.call(call)) == 200


async def test_node_without_routes_refuses_with_a_time_to_come_back() -> None:
    """A node has just started and has not read any routes yet.

    The call is valid, but its caller would treat a 404 or 401 as final.
    """
    harness = RelayHarness([])
    async with trio.open_nursery() as nursery:
        nursery.start_soon(harness.task.run)
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        harness.port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(harness.server.serve, listeners[0])
        received = await harness.call(build_call())
        assert find_status(received) == 503
        assert float(find_header(received, b"retry-after")) < 1
        nursery.cancel_scope.cancel()


async def test_removed_route_is_turned_away_at_once() -> None:
    harness = RelayHarness([ScriptedReplica("x", answer())])
    async with start_harness(harness):
        assert find_status(await harness.call(build_call())) == 200
        harness.route = type(harness.route)(
            **{
                name: getattr(harness.route, name)
                for name in harness.route.__struct_fields__
                if name != "path_prefix"
            },
            path_prefix="/b/",
        )
        harness.publish_routes(2)
        await trio.testing.wait_all_tasks_blocked()
        assert find_status(await harness.call(build_call())) == 404


async def test_stopping_node_asks_its_callers_to_close() -> None:
    harness = RelayHarness([ScriptedReplica("x", answer())])
    async with start_harness(harness):
        harness.is_stopping = True
        received = await harness.call(build_call(is_last=False))
        assert find_status(received) == 200
        assert find_header(received, b"connection") == b"close"


async def test_second_call_inside_a_body_is_never_run() -> None:
    """A complete second call follows the body of the first one.

    The author of that body could have a call run in the name of the first caller.
    """
    replica = ScriptedReplica("x", answer())
    async with start_harness(RelayHarness([replica])) as harness:
        smuggled = build_call(is_last=False)
        received = await harness.call(build_call(is_last=False) + smuggled)
        assert received.count(b"HTTP/1.1 ") == 1
        assert len(replica.calls) == 1


async def test_calls_whose_end_is_unclear_are_refused() -> None:
    """Two parsers could find different ends of such a call, and one a second call."""
    replica = ScriptedReplica("x", answer())
    plain = build_call(is_last=False)
    unclear = [
        plain.replace(
            b"Content-Length: 0", b"Content-Length: 5\r\nTransfer-Encoding: chunked"
        )
        + b"0\r\n\r\n",
        plain.replace(b"Content-Length: 0", b"Content-Length: 0\r\nContent-Length: 4"),
        plain.replace(b"Host: h\r\n", b"Host: h\n"),
        plain.replace(b"\r\n\r\n", b"\n\n"),
    ]
    async with start_harness(RelayHarness([replica])) as harness:
        for call in unclear:
            assert find_status(await harness.call(call, wait_s=1.0)) == 400
        assert not replica.calls
