"""Answers of replicas that fall silent for a moment and then go on."""

from __future__ import annotations

import pytest
import trio

from toucanyard.requests import Repeatability

from .relay_harness import (
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
)
from .test_relay_exchange import find_body, find_status, join_chunks

PROMPT_BLOCKS_HEADER = "X-Parts: book,own"
STREAM: dict[str, object] = {
    "is_stream": True,
    "is_resumable": True,
    "max_gap_ms": 300,
    "target_ms": 150,
    "timeout_ms": 5_000,
}
PLAIN: dict[str, object] = {"target_ms": 150, "timeout_ms": 5_000}
EVENTS = [build_event(n) for n in range(1, 5)]
PAUSE_S = 1.3
"""Longer than a stream may be silent (0.9 s) and than the first answer may take."""
REFUSAL = answer(503, b"", b"X-Unrun: 1\r\nX-Rest: 1000\r\n")
SECOND_TRIES = {
    "refused": REFUSAL,
    "lost": close_without_answer,
    "failed": answer(500, b"broken"),
    "silent": never_answer,
}
"""What may become of the second try."""
HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Signed: 1\r\n"
    b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)


def pause_stream(begun: int, pause_s: float = PAUSE_S) -> Script:
    """Return a script that pauses after some events; before the head if there is none.

    A call that takes up the stream after an event gets the following ones.
    """

    async def run(stream: trio.SocketStream, call: bytes) -> None:
        last = int(find_header(call, b"x-last") or 0)
        sent = HEAD + render(EVENTS[last:begun])
        if begun > last:
            await stream.send_all(sent)
        await trio.sleep(pause_s)
        if begun > last:
            sent = b""
        await stream.send_all(sent + render(EVENTS[max(begun, last) :]) + b"0\r\n\r\n")

    return run


def render(events: list[bytes]) -> bytes:
    return b"".join(b"%x\r\n%s\r\n" % (len(event), event) for event in events)


def answer_late(delay_s: float = PAUSE_S) -> Script:
    async def run(stream: trio.SocketStream, call: bytes) -> None:
        await trio.sleep(delay_s)
        await answer()(stream, call)

    return run


def resume(first: Script, second: Script) -> Script:
    """Return a script for the first dispatch of a call and the ones after it."""
    calls: list[bytes] = []

    async def run(stream: trio.SocketStream, call: bytes) -> None:
        calls.append(call)
        await (first if len(calls) == 1 else second)(stream, call)

    return run


def build_pair(first: Script, second: Script) -> list[ScriptedReplica]:
    """Return two replicas; whichever is chosen first runs `first`."""
    script = resume(first, second)
    return [ScriptedReplica("x", script), ScriptedReplica("y", script)]


async def call_stream(replicas: list[ScriptedReplica], **route: object) -> bytes:
    harness = RelayHarness(replicas, **{**STREAM, **route})
    async with start_harness(harness):
        received = await harness.call(build_call("/a/x", PROMPT_BLOCKS_HEADER))
        assert harness.core.flow.count_pending() == 0
        assert harness.core.flow.count_waiting() == 0
        assert harness.core.flow.usage.list_own() == ()
        return received


async def call_plain(replicas: list[ScriptedReplica], **route: object) -> bytes:
    harness = RelayHarness(replicas, **{**PLAIN, **route})
    async with start_harness(harness):
        received = await harness.call(build_call())
        assert harness.core.flow.count_pending() == 0
        return received


@pytest.mark.parametrize("begun", [2, 0])
@pytest.mark.parametrize("second", SECOND_TRIES)
async def test_silent_stream_is_whole_though_no_other_replica_takes_it(
    begun: int, second: str
) -> None:
    """Guards against streams cut at a silence before another replica has taken over."""
    received = await call_stream(build_pair(pause_stream(begun), SECOND_TRIES[second]))
    assert join_chunks(received) == (b"".join(EVENTS), True)


@pytest.mark.parametrize("begun", [2, 0])
async def test_silent_stream_of_the_only_replica_is_whole(begun: int) -> None:
    """Guards against streams cut at a silence where there is no second replica."""
    replica = ScriptedReplica("x", pause_stream(begun))
    received = await call_stream([replica])
    assert join_chunks(received) == (b"".join(EVENTS), True)
    assert len(replica.calls) == 1


async def test_silent_stream_that_no_replica_may_resume_is_whole() -> None:
    """Guards against begun streams cut at a silence though they can't be resumed."""
    replicas = build_pair(pause_stream(2), pause_stream(0, 0.0))
    received = await call_stream(replicas, is_resumable=False)
    assert join_chunks(received) == (b"".join(EVENTS), True)


@pytest.mark.parametrize("second", SECOND_TRIES)
async def test_late_answer_arrives_though_no_other_replica_takes_the_call(
    second: str,
) -> None:
    """Guards against plain calls told lost before another replica has answered."""
    received = await call_plain(build_pair(answer_late(), SECOND_TRIES[second]))
    assert find_status(received) == 200
    assert find_body(received) == b"whole"


async def test_late_answer_of_the_only_replica_arrives() -> None:
    """Guards against plain calls told lost where there is no second replica."""
    replica = ScriptedReplica("x", answer_late())
    received = await call_plain([replica])
    assert find_status(received) == 200
    assert len(replica.calls) == 1


async def test_call_that_may_run_once_is_never_sent_twice_at_a_silence() -> None:
    """Guards against a second try of what may run once."""
    replicas = build_pair(answer_late(), answer())
    received = await call_plain(replicas, repeatability=Repeatability.RUN_ONCE)
    assert find_status(received) == 200
    assert sum(len(each.calls) for each in replicas) == 1
