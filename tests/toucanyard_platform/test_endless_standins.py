from __future__ import annotations

import h11
import pytest
import trio
from endless_faults import NO_FAULT, EndlessScope, parse_endless
from endless_results import (
    PlayedCall,
    PlayResult,
    find_longest_flow_s,
    list_missed,
    list_slow_at_sound,
    parse_fields,
)
from replica import StandInReplica
from store import StandInStore

from toucanyard.names import Address
from toucanyard_node.http_server import HttpServer, ServerLimits, open_listener
from toucanyard_standins.endless_answers import (
    FAST_BYTES,
    EndlessKind,
    build_endless,
)

CALL = b"POST /desk/x HTTP/1.1\r\nHost: h\r\nX-Expect-Instance: d1\r\n\r\n"
REPORT = b"GET /api/report HTTP/1.1\r\nHost: h\r\n\r\n"
PAGE = b"GET /api/log-newest?topic=t HTTP/1.1\r\nHost: h\r\n\r\n"
FRAMED = (
    EndlessKind.BODY_FAST,
    EndlessKind.BODY_SLOW,
    EndlessKind.UNFRAMED,
    EndlessKind.ERROR,
    EndlessKind.EVENT_FAST,
    EndlessKind.EVENT_SLOW,
    EndlessKind.COMMENTS,
    EndlessKind.COMMENT_EVENTS,
)


def switch(text: str) -> bytes:
    head = f"POST /endless HTTP/1.1\r\nHost: h\r\nContent-Length: {len(text)}\r\n"
    return f"{head}Connection: close\r\n\r\n{text}".encode()


async def exchange(address: tuple[str, int], request: bytes, max_bytes: int) -> bytes:
    """Send a request; read until the end or a number of bytes, and close."""
    received = b""
    async with await trio.open_tcp_stream(*address) as stream:
        await stream.send_all(request)
        while len(received) < max_bytes and (data := await stream.receive_some()):
            received += data
    return received


def parse_all(data: bytes) -> list[object]:
    client = h11.Connection(h11.CLIENT)
    client.send(h11.Request(method="GET", target="/", headers=[("Host", "h")]))
    client.send(h11.EndOfMessage())
    client.receive_data(data)
    events: list[object] = []
    while (event := client.next_event()) is not h11.NEED_DATA:
        events.append(event)
    return events


@pytest.mark.parametrize("kind", EndlessKind)
async def test_answer_flows_until_the_other_side_closes(kind: EndlessKind) -> None:
    replica = StandInReplica("d1", Address("127.0.0.1:1"), "")
    max_bytes = 300 if kind.endswith("slow") else 10 * FAST_BYTES
    async with trio.open_nursery() as nursery:
        listener = await open_listener("127.0.0.1", 0)
        address = listener.socket.getsockname()[:2]
        server = HttpServer(replica.handle, ServerLimits())
        nursery.start_soon(server.serve, listener)
        await exchange(address, switch(f"{kind},60,calls"), 10_000)
        assert len(await exchange(address, CALL, max_bytes)) >= max_bytes
        # Other requests and, once the fault has ended, calls are answered as usual.
        assert b'"busy":false' in await exchange(address, REPORT, 100)
        await exchange(address, switch(""), 10_000)
        assert b"d1 /desk/x" in await exchange(address, CALL, 150)
        # The server ends only after all its connections have.
        server.stop()
        await server.wait_stopped()
        nursery.cancel_scope.cancel()
    assert replica.running == 0


@pytest.mark.parametrize("scope", [EndlessScope.PAGES, EndlessScope.READS])
async def test_store_answers_only_the_chosen_reads_without_end(
    scope: EndlessScope,
) -> None:
    store = StandInStore()
    async with trio.open_nursery() as nursery:
        listener = await open_listener("127.0.0.1", 0)
        address = listener.socket.getsockname()[:2]
        server = HttpServer(store.handle, ServerLimits())
        nursery.start_soon(server.serve, listener)
        await exchange(address, switch(f"body-fast,60,{scope}"), 10_000)
        page = await exchange(address, PAGE, 10 * FAST_BYTES if scope == "pages" else 9)
        assert (b'"items":[]' in page) == (scope is not EndlessScope.PAGES)
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("kind", FRAMED)
def test_framed_answer_is_http_and_has_no_end(kind: EndlessKind) -> None:
    answer = build_endless(kind, (("X-Attempt-Id", "c"),))
    head, *parts = parse_all(answer.begin + 3 * answer.part)
    assert isinstance(head, h11.Response)
    assert head.status_code == (500 if kind is EndlessKind.ERROR else 200)
    assert parts
    assert all(isinstance(each, h11.Data) for each in parts)


def test_informational_answers_are_http_without_a_response() -> None:
    answer = build_endless(EndlessKind.INFORMATIONAL, ())
    events = parse_all(answer.part)
    assert len(events) > 100
    assert all(isinstance(each, h11.InformationalResponse) for each in events)


def test_fault_names_what_it_covers() -> None:
    fault = parse_endless("event-slow,2.5,calls,reports", 10.0)
    assert fault.kind is EndlessKind.EVENT_SLOW
    assert fault.until_s == 12.5
    assert fault.scopes == {EndlessScope.CALLS, EndlessScope.REPORTS}
    assert parse_endless("", 10.0) == NO_FAULT
    assert not NO_FAULT.covers(EndlessScope.CALLS)
    with pytest.raises(ValueError, match="no-such-kind"):
        parse_endless("no-such-kind,1,calls", 10.0)


def build_result(*calls: PlayedCall, peak_mb: float = 40.0) -> PlayResult:
    return PlayResult("row", list(calls), [40.0, peak_mb], 40.0, 5.0, 0.0, ("d1",))


def build_call(duration_s: float = 0.1, **changes: object) -> PlayedCall:
    fields: dict[str, object] = {"status": 200, "is_whole": True}
    fields["replicas"] = frozenset(("d2",))
    call = PlayedCall("c", False, duration_s=duration_s)
    for name, value in (fields | changes).items():
        setattr(call, name, value)
    return call


USUAL = build_result(build_call(), build_call(is_stream=True))


def test_sound_play_misses_no_target() -> None:
    slow_at_endless = build_call(3.0, replicas=frozenset(("d1", "d2")))
    failed_at_endless = build_call(status=504, replicas=frozenset(("d1",)))
    result = build_result(build_call(1.0), slow_at_endless, failed_at_endless)
    assert not list_missed(result, USUAL)


@pytest.mark.parametrize(
    "result",
    [
        build_result(build_call(), peak_mb=100.0),
        build_result(build_call(1.2)),
        build_result(build_call(status=504)),
        build_result(build_call(is_whole=False)),
        build_result(build_call(status=None, replicas=frozenset(("d1",)))),
    ],
)
def test_each_missed_target_is_found(result: PlayResult) -> None:
    assert list_missed(result, USUAL)


def test_processor_time_over_the_usual_is_found() -> None:
    result = build_result(build_call())
    result.cpu_s = 6.6
    assert list_missed(result, USUAL)
    assert not list_slow_at_sound(result, USUAL)


def test_longest_flow_to_a_call_is_found() -> None:
    lines = [
        "event=ran call=c",
        "event=endless replica=d1 scope=calls call=c kind=error for_s=1.5 bytes=9",
        "event=endless replica=d1 scope=calls call=e kind=error for_s=0.5 bytes=9",
        "event=endless replica=d1 scope=reports kind=error for_s=9.5 bytes=9",
    ]
    assert find_longest_flow_s(lines) == 1.5
    assert parse_fields(lines[0]) == {"event": "ran", "call": "c"}
