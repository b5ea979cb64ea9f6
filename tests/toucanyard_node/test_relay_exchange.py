from __future__ import annotations

import math

import pytest
import trio
import trio.testing
from structlog.testing import capture_logs

from toucanyard.names import Address, EndpointName
from toucanyard.request_traits import build_block_trait
from toucanyard.requests import Repeatability
from toucanyard_node import replica_attempt
from toucanyard_node.http_client import HttpConnection, connect
from toucanyard_node.http_exchange import CallerGoneError, Responder

from .relay_harness import (
    SIGNED,
    RelayHarness,
    Script,
    ScriptedReplica,
    answer,
    build_call,
    build_event,
    close_without_answer,
    find_header,
    never_answer,
    start_harness,
    stream_events,
    stream_until_closed,
)

ONCE = {"repeatability": Repeatability.RUN_ONCE}
STREAM = {"is_stream": True, "max_gap_ms": 300, "target_ms": 200}
RESUMABLE = {**STREAM, "is_resumable": True}
PROMPT_BLOCKS_HEADER = "X-Parts: book,own"


def find_status(received: bytes) -> int:
    return int(received.split(b" ", 2)[1])


def find_body(received: bytes) -> bytes:
    return received.partition(b"\r\n\r\n")[2]


def join_chunks(received: bytes) -> tuple[bytes, bool]:
    """Return the body and whether it is complete."""
    rest, body = find_body(received), b""
    while b"\r\n" in rest:
        size, _, rest = rest.partition(b"\r\n")
        if int(size, 16) == 0:
            return body, True
        body += rest[: int(size, 16)]
        rest = rest[int(size, 16) + 2 :]
    return body, False


async def relay(replicas: list[ScriptedReplica], call: bytes, **route: object) -> bytes:
    async with start_harness(RelayHarness(replicas, **route)) as harness:
        received = await harness.call(call)
        assert harness.core.flow.count_pending() == 0
        return received


async def test_answer_and_call_pass_unchanged() -> None:
    replica = ScriptedReplica("x", answer(200, b"\x00\xffbytes"))
    call = build_call("/a/x?q=%20&r", body=b"\x01\x02")
    received = await relay([replica], call)
    assert find_status(received) == 200
    assert find_body(received) == b"\x00\xffbytes"
    assert replica.calls[0].startswith(b"POST /a/x?q=%20&r HTTP/1.1")
    assert replica.calls[0].endswith(b"\r\n\r\n\x01\x02")
    assert 0 < int(find_header(replica.calls[0], b"x-left")) <= 2_000


async def test_failure_of_a_replica_is_passed_on_when_it_may_run_once() -> None:
    replicas = [ScriptedReplica(n, answer(500, b"broken")) for n in "xy"]
    received = await relay(replicas, build_call(), **ONCE)
    assert find_status(received) == 500
    assert find_body(received) == b"broken"
    assert sum(len(each.calls) for each in replicas) == 1


@pytest.mark.parametrize(
    "script", [close_without_answer, answer(200, b"cut", b"X-Cut: 1\r\n")]
)
async def test_lost_call_that_may_run_once_is_unknown(script: Script) -> None:
    """After a seat hold was sent, the connection closes or an unsigned answer arrives.

    The hold may have run, so the caller must not be told that a retry is safe.
    """
    replicas = [ScriptedReplica(n, script) for n in "xy"]
    received = await relay(replicas, build_call(), **ONCE)
    assert find_status(received) == 502
    assert b'"not_run":false' in received
    assert sum(len(each.calls) for each in replicas) == 1


async def test_refusal_by_one_replica_is_served_by_another() -> None:
    refusing = answer(503, b"", b"X-Unrun: 1\r\n")
    replicas = [ScriptedReplica("x", refusing), ScriptedReplica("y", answer())]
    for _ in range(4):
        received = await relay(replicas, build_call(), **ONCE)
        assert find_status(received) == 200


async def test_refusal_by_all_says_not_run_and_when_to_come_back() -> None:
    refusing = answer(503, b"", b"X-Unrun: 1\r\n")
    received = await relay([ScriptedReplica("x", refusing)], build_call(), **ONCE)
    assert find_status(received) == 503
    assert b'"not_run":true' in received
    assert 0 < float(find_header(received, b"retry-after")) < 5


async def test_replica_that_listens_no_more_costs_no_attempt() -> None:
    live = ScriptedReplica("y", answer())
    dead = ScriptedReplica("x")
    async with start_harness(RelayHarness([live], max_attempts=1, **ONCE)) as harness:
        harness.replicas = [live, dead]
        harness.publish_replicas()
        for _ in range(5):
            assert find_status(await harness.call(build_call())) == 200


async def test_answer_of_another_call_never_reaches_the_caller() -> None:
    """A late answer to an earlier call arrives instead of the answer to this call.

    The caller would otherwise receive another caller's booking.
    """

    async def answer_another(stream: trio.SocketStream, _: bytes) -> None:
        await stream.send_all(
            b"HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Signed: 1\r\nContent-Length: 5\r\n"
            b"\r\nother"
        )

    replicas = [ScriptedReplica(n, answer_another) for n in "xy"]
    received = await relay(replicas, build_call())
    assert find_status(received) == 502
    assert b"other" not in find_body(received).replace(b"another", b"")


async def test_bytes_behind_an_answer_belong_to_no_call() -> None:
    surplus = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra"
    replica = ScriptedReplica("x", answer(tail=surplus))
    async with start_harness(RelayHarness([replica])) as harness:
        for _ in range(3):
            received = await harness.call(build_call())
            assert find_body(received) == b"whole"


async def test_cut_answer_is_tried_again_or_never_looks_whole() -> None:
    async def cut(stream: trio.SocketStream, call: bytes) -> None:
        await stream.send_all(
            b"HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Signed: 1\r\n"
            b"Content-Length: 9\r\n\r\ncut"
        )

    for _ in range(4):
        replicas = [ScriptedReplica("x", cut), ScriptedReplica("y", answer())]
        assert find_status(await relay(replicas, build_call())) == 200
    received = await relay([ScriptedReplica("x", cut)], build_call(), **ONCE)
    assert find_status(received) == 502


async def test_answer_before_a_long_body_was_read() -> None:
    """A replica refuses a long call before reading all of it, and then stops reading.

    Sending the complete body before reading the answer would block forever.
    """

    async def refuse_early(stream: trio.SocketStream, _: bytes) -> None:
        await stream.send_all(
            b"HTTP/1.1 503 X\r\nX-Id: q1\r\nX-Unrun: 1\r\nContent-Length: 0\r\n\r\n"
        )
        await trio.sleep(3.0)

    class Reader(ScriptedReplica):
        async def serve(self, stream: trio.SocketStream) -> None:
            await stream.receive_some(1_000)
            await refuse_early(stream, b"")

    call = build_call(body=b"x" * 3_900_000)
    replica = Reader("x")
    with trio.fail_after(10):
        received = await relay([replica], call, **ONCE, timeout_ms=2_000)
    assert find_status(received) == 503


async def test_stream_is_relayed_in_order() -> None:
    events = [build_event(n) for n in range(1, 6)]
    replica = ScriptedReplica("x", stream_events(*events))
    received = await relay(
        [replica], build_call("/a/x", PROMPT_BLOCKS_HEADER), **STREAM
    )
    assert join_chunks(received) == (b"".join(events), True)


async def test_cut_stream_goes_on_elsewhere_without_a_gap() -> None:
    """A replica fails during the third event of a resumable stream.

    The partial event must not be sent before the events of the next replica.
    """
    events = [build_event(n) for n in range(1, 6)]
    first = stream_events(*events[:2], is_whole=False, end=events[2][:9])
    rest = stream_events(*events[2:])

    async def resume(stream: trio.SocketStream, call: bytes) -> None:
        is_first = not find_header(call, b"x-last")
        await (first if is_first else rest)(stream, call)

    replicas = [ScriptedReplica(n, resume) for n in "xy"]
    received = await relay(
        replicas, build_call("/a/x", PROMPT_BLOCKS_HEADER), **RESUMABLE
    )
    assert join_chunks(received) == (b"".join(events), True)
    lasts = [find_header(call, b"x-last") for each in replicas for call in each.calls]
    assert sorted(lasts) == [b"", b"2"]


async def test_silent_stream_goes_on_elsewhere() -> None:
    events = [build_event(n) for n in range(1, 4)]
    first = stream_events(*events[:1], is_whole=False, hold_s=9.0)
    rest = stream_events(*events[1:])

    async def resume(stream: trio.SocketStream, call: bytes) -> None:
        await (rest if find_header(call, b"x-last") else first)(stream, call)

    replicas = [ScriptedReplica(n, resume) for n in "xy"]
    call = build_call("/a/x", PROMPT_BLOCKS_HEADER)
    received = await relay(replicas, call, **RESUMABLE, timeout_ms=4_000)
    assert join_chunks(received) == (b"".join(events), True)


async def test_cut_stream_that_may_not_be_resumed_looks_cut() -> None:
    events = [build_event(n) for n in range(1, 3)]
    replicas = [
        ScriptedReplica(n, stream_events(*events, is_whole=False)) for n in "xy"
    ]
    call = build_call("/a/x", PROMPT_BLOCKS_HEADER)
    received = await relay(replicas, call, **STREAM, **ONCE)
    assert join_chunks(received) == (b"".join(events), False)
    assert sum(len(each.calls) for each in replicas) == 1


async def test_end_inside_an_event_is_no_end() -> None:
    script = stream_events(build_event(1), end=b"id: 2\ndata: ha")
    received = await relay(
        [ScriptedReplica("x", script)],
        build_call("/a/x", PROMPT_BLOCKS_HEADER),
        **STREAM,
        **ONCE,
    )
    assert join_chunks(received) == (build_event(1), False)


async def test_stream_without_length_or_chunks_is_whole_at_its_close() -> None:
    events = [build_event(n) for n in range(1, 4)]
    replica = ScriptedReplica("x", stream_until_closed(*events))
    call = build_call("/a/x", PROMPT_BLOCKS_HEADER)
    received = await relay([replica], call, **STREAM, **ONCE)
    assert join_chunks(received) == (b"".join(events), True)


@pytest.mark.parametrize("parts", [(), (b"id: 1\nda",), (build_event(1), b"id: 2\nda")])
async def test_close_before_an_event_is_complete_is_no_end(
    parts: tuple[bytes, ...],
) -> None:
    """Guards against crashes that look like whole answers without length or chunks."""
    replica = ScriptedReplica("x", stream_until_closed(*parts))
    call = build_call("/a/x", PROMPT_BLOCKS_HEADER)
    async with start_harness(RelayHarness([replica], **STREAM, **ONCE)) as harness:
        received = await harness.call(call)
        detector = harness.core.guard.detector
        is_probed = detector.has_unresolved_loss(build_block_trait("book"))
    whole = b"".join(each for each in parts if each.endswith(b"\n\n"))
    assert join_chunks(received) == (whole, False)
    assert is_probed


@pytest.mark.parametrize("script", [stream_events(), answer(404)])
async def test_answer_without_content_is_no_evidence_for_its_request(
    script: Script,
) -> None:
    """Guards against a head or an error that clears what crashes replicas."""
    replica = ScriptedReplica("x", script)
    call = build_call("/a/x", PROMPT_BLOCKS_HEADER)
    async with start_harness(RelayHarness([replica], **STREAM, **ONCE)) as harness:
        await harness.call(call)
        detector = harness.core.guard.detector
        assert list(detector.answered.take_survived(math.inf)) == []


async def test_each_dispatch_of_a_stream_tells_since_when_it_was_written() -> None:
    """Guards against resumed streams that look as if their replica had just begun."""
    first = stream_events(build_event(1), is_whole=False)
    rest = stream_events(build_event(2), is_whole=False)

    async def resume(stream: trio.SocketStream, call: bytes) -> None:
        await (rest if find_header(call, b"x-last") else first)(stream, call)

    replicas = [ScriptedReplica(n, resume) for n in "xy"]
    call = build_call("/a/x", PROMPT_BLOCKS_HEADER)
    async with start_harness(RelayHarness(replicas, **RESUMABLE)) as harness:
        await harness.call(call)
        detector = harness.core.guard.detector
        losses = [*detector.take_losses(EndpointName("x"))]
        losses += detector.take_losses(EndpointName("y"))
    assert len(losses) == 2
    assert all(loss.begun_ms is not None for loss in losses)


async def test_close_before_the_first_event_is_tried_elsewhere() -> None:
    """Guards against an empty answer where another replica could have written one."""
    events = [build_event(n) for n in range(1, 4)]
    for _ in range(4):
        replicas = [
            ScriptedReplica("x", stream_until_closed()),
            ScriptedReplica("y", stream_until_closed(*events)),
        ]
        call = build_call("/a/x", PROMPT_BLOCKS_HEADER)
        received = await relay(replicas, call, **RESUMABLE)
        assert join_chunks(received) == (b"".join(events), True)


async def test_replica_is_told_when_the_caller_hangs_up() -> None:
    """The caller disconnects while its call runs. The replica must stop working."""
    replica = ScriptedReplica("x", never_answer)
    async with start_harness(RelayHarness([replica])) as harness:
        await harness.call(build_call(), wait_s=0.1)
        with trio.fail_after(10):
            await replica.closed.wait()
        await trio.testing.wait_all_tasks_blocked()
        assert harness.core.flow.count_pending() == 0


async def test_silent_replica_is_left_for_another() -> None:
    for _ in range(3):
        replicas = [ScriptedReplica("x", never_answer), ScriptedReplica("y", answer())]
        received = await relay(replicas, build_call())
        assert find_status(received) == 200


@pytest.mark.parametrize(
    ("route", "status"), [({}, 504), (ONCE, 504)], ids=["repeatable", "once"]
)
async def test_call_is_answered_at_its_timeout(
    route: dict[str, object], status: int
) -> None:
    replica = ScriptedReplica("x", never_answer)
    with trio.fail_after(10):
        received = await relay([replica], build_call(), **route, timeout_ms=500)
    assert find_status(received) == status
    assert b'"not_run":false' in received


async def test_callers_deadline_comes_before_the_timeout() -> None:
    replica = ScriptedReplica("x", never_answer)
    with trio.fail_after(10):
        received = await relay([replica], build_call("/a/x", "X-Deadline: 300"))
    assert find_status(received) == 504


async def test_other_replica_at_the_address_did_not_run_the_call() -> None:
    """A replica ended and its address was reassigned to a replica of another service.

    The call is rejected without running; the old entry must get no further calls.
    """
    moved = answer(421, b"", b"X-Replica: other\r\n")
    replicas = [ScriptedReplica("x", moved), ScriptedReplica("y", answer())]
    async with start_harness(RelayHarness(replicas, **ONCE)) as harness:
        for _ in range(20):
            assert find_status(await harness.call(build_call())) == 200
        assert len(replicas[0].calls) == 1


LEAVING = SIGNED + b"X-Leaving: 1\r\n"
NOT_RUN = b"X-Unrun: 1\r\n"


@pytest.mark.parametrize(
    "script",
    [
        answer(200, b"whole", LEAVING),
        answer(500, b"broken", LEAVING),
        answer(421, b"", LEAVING),
        answer(503, b"", LEAVING + NOT_RUN),
        answer(200, b"unsigned", b"X-Leaving: 1\r\n"),
    ],
)
async def test_leave_in_a_response_of_any_kind_is_heeded(script: Script) -> None:
    """Guards against responses that are given up before they are read for it."""
    replica = ScriptedReplica("x", script)
    async with start_harness(RelayHarness([replica])) as harness:
        await harness.call(build_call())
        known = harness.core.directory.find(EndpointName("x"))
        assert known is not None
        assert known.leave_stated_ms is not None
        await harness.call(build_call())
    assert len(replica.calls) == 1


async def test_leave_is_known_from_the_head_of_a_stream() -> None:
    """Guards against a leave that is known only once a long stream has ended."""

    async def run(stream: trio.SocketStream, call: bytes) -> None:
        await stream.send_all(
            b"HTTP/1.1 200 OK\r\nX-Id: q1\r\nTransfer-Encoding: chunked\r\n"
            b"Content-Type: text/event-stream\r\n" + LEAVING + b"\r\n"
        )
        await trio.sleep_forever()

    replica = ScriptedReplica("x", run)
    harness = RelayHarness([replica], **STREAM)
    async with start_harness(harness), trio.open_nursery() as nursery:
        nursery.start_soon(harness.call, build_call())
        await replica.called.wait()
        await trio.sleep(0.05)
        known = harness.core.directory.find(EndpointName("x"))
        assert known is not None
        assert known.leave_stated_ms is not None
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("statement", ["leave", "rest"])
async def test_call_placed_before_a_statement_is_not_sent_after_it(
    monkeypatch: pytest.MonkeyPatch, statement: str
) -> None:
    """Guards against a dispatch that was decided on before and is sent after it."""
    replicas = [ScriptedReplica(name, answer()) for name in "xy"]
    async with start_harness(RelayHarness(replicas)) as harness:
        seen: list[EndpointName] = []

        async def connect_late(address: Address, timeout_ms: float) -> HttpConnection:
            connection = await connect(address, timeout_ms)
            name = next(each.name for each in replicas if each.address == address)
            if not seen:
                seen.append(EndpointName(name))
                known = harness.core.directory.find(seen[0])
                assert known is not None
                if statement == "leave":
                    known.leave_stated_ms = 0.0
                else:
                    known.record_deferral(trio.current_time() * 1000 + 5_000.0)
            return connection

        monkeypatch.setattr(replica_attempt, "connect", connect_late)
        received = await harness.call(build_call())
    assert find_status(received) == 200
    assert {each.name: len(each.calls) for each in replicas}[seen[0]] == 0


async def test_rest_in_a_refusal_is_heeded() -> None:
    """Guards against a refusal of which only the status is read."""
    resting = answer(503, b"", b"X-Rest: 5000\r\n" + NOT_RUN)
    replica = ScriptedReplica("x", resting, answer())
    async with start_harness(RelayHarness([replica])) as harness:
        await harness.call(build_call())
        known = harness.core.directory.find(EndpointName("x"))
        assert known is not None
        assert known.is_deferred(trio.current_time() * 1000 + 4_000.0)
        received = await harness.call(build_call())
    assert find_status(received) == 503
    assert len(replica.calls) == 1


@pytest.mark.parametrize("body", [b"", b"{}", b"filler" * 1_000])
async def test_unframed_answer_without_events_is_not_passed_on_as_a_stream(
    body: bytes,
) -> None:
    """Guards against a whole 200 for a stream whose replica closed after its head."""

    async def close_after_body(stream: trio.SocketStream, _call: bytes) -> None:
        head = b"HTTP/1.1 200 OK\r\nX-Id: q1\r\nContent-Type: application/json\r\n"
        await stream.send_all(head + SIGNED + b"\r\n" + body)
        await stream.send_eof()

    replicas = [ScriptedReplica("a", close_after_body)]
    received = await relay(replicas, build_call(), **STREAM, **ONCE)
    assert find_status(received) == 502
    assert b'"not_run":false' in received


@pytest.mark.parametrize("ends", [b"204 No Content", b"200 OK\r\nContent-Length: 0"])
async def test_answer_without_a_body_to_a_call_for_a_stream_is_passed_on(
    ends: bytes,
) -> None:
    """Guards against a sound answer that is taken for one that broke off."""

    async def answer_empty(stream: trio.SocketStream, _call: bytes) -> None:
        head = b"HTTP/1.1 " + ends + b"\r\nX-Id: q1\r\n"
        await stream.send_all(head + SIGNED + b"\r\n")
        await stream.send_eof()

    received = await relay([ScriptedReplica("a", answer_empty)], build_call(), **STREAM)
    assert find_status(received) == int(ends[:3])


async def test_refusal_to_a_caller_that_has_left_is_no_failure(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a traceback for a caller that leaves just before its refusal."""

    async def leave(*_: object, **__: object) -> None:
        raise CallerGoneError

    monkeypatch.setattr(Responder, "refuse", leave)
    with capture_logs() as logs:
        await relay([ScriptedReplica("x", answer(503, b"", NOT_RUN))], build_call())
    assert not [each for each in logs if each["event"] == "handler_failed"]


async def test_call_that_no_header_can_carry_is_no_fault_of_a_replica(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against tries at one sound replica after the other that can't be sent."""
    async with start_harness(RelayHarness([ScriptedReplica("x")], **ONCE)) as harness:
        codec = harness.relay_server._codec
        rendered = []

        def build_headers(*_: object) -> tuple[tuple[str, str], ...]:
            rendered.append(1)
            return (("Host", "a"), ("X-Customer", "a\nb"))

        monkeypatch.setattr(codec, "build_headers", build_headers)
        received = await harness.call(build_call())
        (known,) = harness.core.directory.list_all()
        assert known.compute_failures(trio.current_time() * 1000) == 0.0
        assert harness.core.flow.count_pending() == 0
    assert find_status(received) == 500
    assert len(rendered) == 1
