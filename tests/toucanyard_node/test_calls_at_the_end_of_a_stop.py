"""Calls that still run when a planned stop has used up its time are refused."""

from __future__ import annotations

import msgspec
import pytest
import trio
import trio.testing

from .relay_harness import (
    RelayHarness,
    ScriptedReplica,
    build_call,
    build_event,
    never_answer,
    start_harness,
    stream_events,
)
from .test_relay_exchange import find_body, find_status

LONG = {"timeout_ms": 60_000}


async def stop_midway(
    harness: RelayHarness, replica: ScriptedReplica, *, is_called: bool = True
) -> bytes:
    """Send a call, end all calls of the node and return what the caller got."""
    received: list[bytes] = []

    async def call() -> None:
        received.append(await harness.call(build_call()))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(call)
        if is_called:
            await replica.called.wait()
        await trio.testing.wait_all_tasks_blocked(0.02)
        harness.relay_server.end_calls()
    return received[0]


async def test_call_at_a_replica_is_told_that_its_outcome_is_unknown() -> None:
    """Guards against a stop that closes a call's connection without a status."""
    replica = ScriptedReplica("x", never_answer)
    harness = RelayHarness([replica], **LONG)
    async with start_harness(harness):
        with trio.fail_after(5):
            received = await stop_midway(harness, replica)
            await replica.closed.wait()
    assert find_status(received) == 504
    error = msgspec.json.decode(find_body(received))["error"]
    assert (error["code"], error["ending"]) == ("deadline_exceeded", "unknown")
    assert not harness.metrics.closings.counts


async def test_call_that_waits_for_a_replica_is_told_that_it_did_not_run() -> None:
    harness = RelayHarness([], **LONG)
    async with start_harness(harness):
        with trio.fail_after(5):
            received = await stop_midway(
                harness, ScriptedReplica("x", never_answer), is_called=False
            )
    assert find_status(received) == 503
    error = msgspec.json.decode(find_body(received))["error"]
    assert error["not_run"]


async def test_stream_that_has_begun_is_cut() -> None:
    script = stream_events(build_event(1), hold_s=100)
    replica = ScriptedReplica("x", script)
    harness = RelayHarness([replica], is_stream=True, **LONG)
    async with start_harness(harness):
        with trio.fail_after(5):
            received = await stop_midway(harness, replica)
    assert find_status(received) == 200
    assert received.count(b"HTTP/1.1") == 1
    assert not received.endswith(b"0\r\n\r\n")


async def test_call_that_is_read_after_the_end_of_all_calls_is_not_run() -> None:
    """Guards against a call that is dispatched only to be cut with its process."""
    replica = ScriptedReplica("x", never_answer)
    harness = RelayHarness([replica], **LONG)
    async with start_harness(harness):
        harness.relay_server.end_calls()
        with trio.fail_after(5):
            received = await harness.call(build_call())
    assert find_status(received) == 503
    error = msgspec.json.decode(find_body(received))["error"]
    assert (error["code"], error["not_run"]) == ("draining", True)
    assert not replica.called.is_set()
    assert not harness.metrics.closings.counts


@pytest.mark.parametrize("count", [0, 2])
async def test_calls_that_have_ended_are_forgotten(count: int) -> None:
    replica = ScriptedReplica("x", never_answer)
    harness = RelayHarness([replica], timeout_ms=50)
    async with start_harness(harness):
        for _ in range(count):
            assert find_status(await harness.call(build_call())) == 504
        assert harness.relay_server.count_running() == 0
