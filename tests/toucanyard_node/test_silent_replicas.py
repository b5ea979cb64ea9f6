"""Test that a replica which is silent for a second is neither down nor crashed."""

from __future__ import annotations

import trio

from toucanyard.names import EndpointName
from toucanyard_node.replica_attempt import STREAM_IDLE_FACTOR

from .relay_harness import (
    SERVICE,
    RelayHarness,
    Script,
    ScriptedReplica,
    answer,
    build_call,
    build_event,
    find_header,
    start_harness,
)
from .test_relay_exchange import find_body, find_status, join_chunks

SILENCE_S = 1.0
USUAL_GAP_MS = 500
"""Longest pause between events that routes usually allow."""
LONG = {"timeout_ms": 60_000}
"""A timeout of the route that ends no call of a test."""
STREAM = {"is_stream": True, "is_resumable": True, "max_gap_ms": 4_000, **LONG}


def stream_with_pause(*events: bytes) -> Script:
    """Return a script that pauses before its last event."""

    async def run(stream: trio.SocketStream, call: bytes) -> None:
        await stream.send_all(
            b"HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signed: 1\r\n"
            b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            % find_header(call, b"x-id")
        )
        for event in events:
            if event is events[-1]:
                await trio.sleep(SILENCE_S)
            await stream.send_all(b"%x\r\n%s\r\n" % (len(event), event))
        await stream.send_all(b"0\r\n\r\n")

    return run


def answer_late(body: bytes) -> Script:
    """Return a script that answers after a second."""

    async def run(stream: trio.SocketStream, call: bytes) -> None:
        await trio.sleep(SILENCE_S)
        await answer(200, body)(stream, call)

    return run


def check_in_use(harness: RelayHarness, name: str) -> None:
    """Check that a node takes a replica for neither down nor crashed."""
    now_ms = trio.current_time() * 1000
    known = harness.core.directory.find(EndpointName(name))
    assert known is not None
    assert not known.is_backing_off(now_ms)
    assert harness.core.guard.ledger.find_crash_time(known.replica.name) is None
    assert not harness.core.reach.is_unreached(SERVICE)
    usable = harness.core.directory.find_usable(SERVICE, now_ms)
    assert known in usable


def test_usual_streams_outlast_a_second_of_silence() -> None:
    """Guards against resuming a stream whose replica is silent for a moment."""
    assert USUAL_GAP_MS * STREAM_IDLE_FACTOR > SILENCE_S * 1_000


async def test_stream_waits_for_a_replica_that_is_silent_for_a_second() -> None:
    """Guards against a second run while the first replica still works on the call."""
    events = [build_event(number) for number in range(1, 4)]
    replicas = [ScriptedReplica(name, stream_with_pause(*events)) for name in "xy"]
    async with start_harness(RelayHarness(replicas, **STREAM)) as harness:
        received = await harness.call(build_call())
        assert join_chunks(received) == (b"".join(events), True)
        assert sum(len(each.calls) for each in replicas) == 1
        for name in "xy":
            check_in_use(harness, name)


async def test_repeatable_call_goes_elsewhere_and_the_replica_stays_in_use() -> None:
    """Guards against taking a replica out of use for one late answer."""
    late, quick = (
        ScriptedReplica("x", answer_late(b"x")),
        ScriptedReplica("y", answer()),
    )
    async with start_harness(RelayHarness([late], **LONG)) as harness:
        call = build_call()
        async with trio.open_nursery() as nursery:
            await quick.start(nursery)
            harness.replicas = [late, quick]
            harness.publish_replicas()
            for _ in range(4):
                assert find_status(await harness.call(call)) == 200
            nursery.cancel_scope.cancel()
        check_in_use(harness, "x")


async def test_call_that_may_run_once_gets_the_late_answer() -> None:
    """Guards against giving up a call that has run and is about to be answered."""
    replica = ScriptedReplica("x", answer_late(b"late"))
    async with start_harness(
        RelayHarness([replica], max_attempts=1, **LONG)
    ) as harness:
        received = await harness.call(build_call())
        assert find_status(received) == 200
        assert find_body(received) == b"late"
        check_in_use(harness, "x")
