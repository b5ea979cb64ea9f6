"""Calls on connections to replicas that are kept."""

from __future__ import annotations

from collections import Counter

import pytest
import trio

from toucanyard.names import EndpointName
from toucanyard.requests import Repeatability
from toucanyard_node.http_client import HttpConnection

from .relay_harness import (
    SIGNED,
    KeepingReplica,
    RelayHarness,
    ScriptedReplica,
    answer,
    build_call,
    build_event,
    never_answer,
    start_harness,
    stream_events,
)

OK = b"HTTP/1.1 200"


def build(*replicas: ScriptedReplica, **route: object) -> RelayHarness:
    return RelayHarness(list(replicas), True, **route)


async def test_repeatable_calls_share_a_connection() -> None:
    """Each call costs a round trip and a handshake more."""
    replica = KeepingReplica("x", answer())
    harness = build(replica)
    async with start_harness(harness):
        for _ in range(5):
            assert (await harness.call(build_call())).startswith(OK)
    assert len(replica.calls) == 5
    assert len(replica.streams) == 1
    assert harness.connections.opened_count == 1
    assert harness.connections.reused_count == 4
    text = harness.metrics.render(
        harness.core, Counter(), 0, 0.0, connections=harness.connections
    )
    assert "toucanyard_replica_connections_opened_total 1" in text
    assert "toucanyard_replica_connections_reused_total 4" in text


async def test_each_call_has_its_own_connection_by_default() -> None:
    """Other deployments are served as before."""
    replica = KeepingReplica("x", answer())
    harness = RelayHarness([replica])
    async with start_harness(harness):
        for _ in range(3):
            await harness.call(build_call())
    assert len(replica.streams) == 3


async def test_call_that_runs_once_opens_its_own_connection() -> None:
    """A call on an idle connection that closes may or may not have run."""
    replica = KeepingReplica("x", answer())
    harness = build(replica, repeatability=Repeatability.RUN_ONCE)
    async with start_harness(harness):
        for _ in range(3):
            assert (await harness.call(build_call())).startswith(OK)
    assert len(replica.streams) == 3


async def test_streams_share_a_connection_once_they_are_whole() -> None:
    replica = KeepingReplica("x", stream_events(build_event(1), build_event(2)))
    harness = build(replica, is_stream=True, is_resumable=True)
    async with start_harness(harness):
        for _ in range(3):
            assert b"piece 2" in await harness.call(build_call())
    assert len(replica.streams) == 1


async def test_connection_that_the_replica_closed_is_not_used() -> None:
    """The replica closes idle connections after a while."""
    replica = KeepingReplica("x", answer())
    harness = build(replica)
    async with start_harness(harness):
        await harness.call(build_call())
        await replica.streams[0].aclose()
        await trio.sleep(0.02)
        assert (await harness.call(build_call())).startswith(OK)
    assert len(replica.calls) == 2
    assert harness.connections.stale_count == 1


async def test_connection_that_closes_as_a_call_is_written(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The close arrives between the check and the send; nothing was sent."""
    replica = KeepingReplica("x", answer())
    harness = build(replica, max_attempts=1)
    async with start_harness(harness):
        await harness.call(build_call())
        kept = harness.connections
        connection = kept._idle[EndpointName("x")][0][0]
        await connection.close()
        monkeypatch.setattr(HttpConnection, "is_quiet", lambda _: True)
        assert (await harness.call(build_call())).startswith(OK)
    assert len(replica.calls) == 2
    known = harness.core.directory.find(EndpointName("x"))
    assert known is not None
    assert known.compute_failures(trio.current_time() * 1000) == 0.0


async def test_connection_with_bytes_after_the_answer_is_not_used() -> None:
    """A second answer arrives late and would be taken for that of the next call."""
    late = answer(tail=b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    replica = KeepingReplica("x", late, answer(body=b"next"))
    harness = build(replica)
    async with start_harness(harness):
        await harness.call(build_call())
        await trio.sleep(0.02)
        assert b"next" in await harness.call(build_call())
    assert len(replica.streams) == 2


@pytest.mark.parametrize(
    "header", [b"Connection: close\r\n", b"Keep-Alive: timeout=1\r\n"]
)
async def test_connection_that_the_replica_will_close_is_not_kept(
    header: bytes,
) -> None:
    """A replica that leaves, or whose timeout is as short as the margin."""
    replica = KeepingReplica("x", answer(extra=SIGNED + header))
    harness = build(replica)
    async with start_harness(harness):
        await harness.call(build_call())
        assert harness.connections.count_idle() == 0


async def test_silent_connection_costs_one_try() -> None:
    """A kept connection has lost its path; the call is tried elsewhere in time."""
    first = KeepingReplica("x", answer(), never_answer)
    harness = build(first, target_ms=100)
    async with start_harness(harness):
        await harness.call(build_call())
        second = ScriptedReplica("y", answer(body=b"elsewhere"))
        async with trio.open_nursery() as nursery:
            await second.start(nursery)
            harness.replicas.append(second)
            harness.publish_replicas()
            kept = harness.core.calls.connections
            kept.record_kept(EndpointName("x"), trio.current_time() * 1000)
            for _ in range(2):
                assert (await harness.call(build_call())).startswith(OK)
            nursery.cancel_scope.cancel()
        assert not kept.take(EndpointName("x"), trio.current_time() * 1000)


async def test_idle_connections_are_closed_in_time() -> None:
    """Replicas accept a limited number of connections."""
    replica = KeepingReplica("x", answer())
    harness = build(replica)
    async with start_harness(harness):
        await harness.call(build_call())
        kept = harness.connections
        assert kept.count_idle() == 1
        kept._idle = {
            name: [(connection, 0.0) for connection, _ in idle]
            for name, idle in kept._idle.items()
        }
        await kept.prune()
        assert kept.count_idle() == 0
