"""Test over connections that streams stay at the software version that began them."""

from __future__ import annotations

import pytest
import trio

from .relay_harness import (
    RelayHarness,
    Script,
    ScriptedReplica,
    build_call,
    build_event,
    find_header,
    start_harness,
    stream_events,
)
from .test_call_forwarding import (
    AbsentReplica,
    ForwardPeer,
    open_cut_off_node,
    report_statuses,
)
from .test_relay_exchange import find_body, find_status, join_chunks

RESUMABLE = {
    "is_stream": True,
    "is_resumable": True,
    "max_gap_ms": 300,
    "max_attempts": 3,
}
EVENTS = [build_event(number) for number in range(1, 5)]
WHOLE = b"".join(EVENTS)


def build_replica(name: str, version: str, script: Script) -> ScriptedReplica:
    replica = ScriptedReplica(name, script)
    replica.software_version = version
    return replica


def write(*, breaks: bool) -> Script:
    """Return a script that writes a stream, at first only half of it."""
    first = stream_events(*EVENTS[:2], is_whole=False)
    whole, rest = stream_events(*EVENTS), stream_events(*EVENTS[2:])

    async def run(stream: trio.SocketStream, call: bytes) -> None:
        if find_header(call, b"x-last"):
            await rest(stream, call)
        else:
            await (first if breaks else whole)(stream, call)

    return run


def build_node(*versions: str, breaks: bool = True) -> RelayHarness:
    """Return a node with one replica of each version."""
    script = write(breaks=breaks)
    replicas = [build_replica(f"r{n}", v, script) for n, v in enumerate(versions)]
    return RelayHarness(replicas, **RESUMABLE)


def list_called(*harnesses: RelayHarness) -> list[str]:
    """Return the versions of the replicas, once for each call that they got."""
    replicas = [each for harness in harnesses for each in harness.replicas]
    return [each.software_version for each in replicas for _ in each.calls]


@pytest.mark.parametrize("versions", [("v1", "v2"), ("v2", "v1", "v2", "v1")])
async def test_broken_answer_goes_on_at_its_version(versions: tuple[str, ...]) -> None:
    """Guards against one answer with events of two versions."""
    async with start_harness(build_node(*versions)) as harness:
        received = await harness.call(build_call())
        assert join_chunks(received) == (WHOLE, True)
        assert len(set(list_called(harness))) == 1
        assert len(list_called(harness)) == 2


async def test_caller_takes_a_stream_up_at_its_version() -> None:
    """Guards against a caller's second try that is placed at another version."""
    async with start_harness(build_node("v1", "v2", breaks=False)) as harness:
        await harness.call(build_call())
        (begun,) = list_called(harness)
        for number in range(6):
            headers = (f"X-Parts: own-{number}", "X-Last: 2", "X-Resumes: q1")
            call = build_call("/a/x", *headers).replace(b"X-Id: q1", b"X-Id: q2")
            assert find_status(await harness.call(call)) == 200
        assert set(list_called(harness)) == {begun}


async def test_stream_of_unknown_origin_is_refused_as_not_run() -> None:
    async with start_harness(build_node("v1", "v2")) as harness:
        received = await harness.call(build_call("/a/x", "X-Last: 2", "X-Resumes: q0"))
        assert find_status(received) == 503
        assert find_header(received, b"retry-after")
        assert b"stream_not_resumable" in find_body(received)
        assert not list_called(harness)


async def test_stream_of_unknown_origin_goes_on_if_there_is_one_version() -> None:
    async with start_harness(build_node("v1", "v1")) as harness:
        received = await harness.call(build_call("/a/x", "X-Last: 2"))
        assert join_chunks(received) == (b"".join(EVENTS[2:]), True)


async def test_forwarded_stream_keeps_its_version_at_the_peer() -> None:
    """Guards against a peer that retries a forwarded stream at another version."""
    async with start_harness(build_node("v1", "v2", "v1", "v2")) as reaching:
        peer = ForwardPeer("b", reaching)
        async with open_cut_off_node([peer], **RESUMABLE) as harness:
            received = await harness.call(build_call())
        assert join_chunks(received) == (WHOLE, True)
        assert len(set(list_called(reaching))) == 1


@pytest.mark.parametrize("version", ["v1", "v2"])
async def test_forwarded_stream_goes_on_at_its_version_through_another_peer(
    version: str,
) -> None:
    """Guards against a stream that changes its version with the peer that places it."""
    hold = stream_events(*EVENTS[:2], is_whole=False, hold_s=30.0)
    first = RelayHarness([build_replica("r0", version, hold)], **RESUMABLE)
    second = build_node("v1", "v2")
    async with start_harness(first), start_harness(second):
        lost, other = ForwardPeer("b", first), ForwardPeer("c", second)
        replicas: list[ScriptedReplica] = [AbsentReplica("x"), AbsentReplica("y")]
        harness = RelayHarness(replicas, **RESUMABLE)
        async with trio.open_nursery() as nursery:
            for peer in (lost, other):
                await peer.start(nursery)
            async with start_harness(harness):
                nursery.start_soon(report_statuses, harness, [lost])
                nursery.start_soon(end_peer, lost, other, harness, nursery)
                received = await harness.call(build_call())
            nursery.cancel_scope.cancel()
    assert join_chunks(received) == (WHOLE, True)
    assert list_called(second) == [version]


async def end_peer(
    lost: ForwardPeer,
    other: ForwardPeer,
    harness: RelayHarness,
    nursery: trio.Nursery,
) -> None:
    """Let another peer appear, and end the first one once a stream has begun there."""
    await lost.harness.replicas[0].called.wait()
    await trio.sleep(0.1)
    nursery.start_soon(report_statuses, harness, [other])
    await trio.sleep(0.05)
    for scope in lost.channels:
        scope.cancel()
