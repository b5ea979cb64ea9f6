"""Answers of replicas that fall silent for a moment and then go on."""

from __future__ import annotations

import msgspec
import pytest
import trio
import trio.testing

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


async def test_hedge_with_the_next_event_goes_on_and_the_silent_attempt_ends() -> None:
    """Guards against two replicas at work on a stream once one of them goes on."""

    async def pause_until_closed(stream: trio.SocketStream, call: bytes) -> None:
        await stream.send_all(HEAD + render(EVENTS[:2]))
        await never_answer(stream, call)

    replicas = build_pair(pause_until_closed, pause_stream(4, 0.0))
    with trio.fail_after(10):
        received = await call_stream(replicas)
        assert join_chunks(received) == (b"".join(EVENTS), True)
        for each in replicas:
            await each.closed.wait()
    lasts = [find_header(call, b"x-last") for each in replicas for call in each.calls]
    assert sorted(lasts) == [b"", b"2"]


async def test_silent_attempt_with_the_next_event_goes_on_and_its_hedge_ends() -> None:
    """Guards against events of two attempts, missing or doubled, in one stream."""
    replicas = build_pair(pause_stream(2), never_answer)
    with trio.fail_after(10):
        received = await call_stream(replicas)
        assert join_chunks(received) == (b"".join(EVENTS), True)
        for each in replicas:
            await each.closed.wait()
    assert [len(each.calls) for each in replicas] == [1, 1]


async def test_silent_attempt_takes_an_event_up_where_it_was_cut() -> None:
    """Guards against a partial event that a silence drops or doubles."""

    async def pause_inside(stream: trio.SocketStream, _: bytes) -> None:
        sent = HEAD + render(EVENTS[:3])
        await stream.send_all(sent[:-9])
        await trio.sleep(PAUSE_S)
        await stream.send_all(sent[-9:] + render(EVENTS[3:]) + b"0\r\n\r\n")

    received = await call_stream(build_pair(pause_inside, REFUSAL))
    assert join_chunks(received) == (b"".join(EVENTS), True)


async def test_replica_that_died_in_silence_is_left_after_the_idle_time() -> None:
    """Guards against waiting for a replica that never comes back."""

    async def die(stream: trio.SocketStream, call: bytes) -> None:
        await stream.send_all(HEAD + render(EVENTS[:1]))
        await never_answer(stream, call)

    replicas = build_pair(die, pause_stream(4, 0.0))
    received = await call_stream(replicas, timeout_ms=2_500)
    assert join_chunks(received) == (b"".join(EVENTS), True)


async def test_stream_is_silent_twice_and_whole() -> None:
    """Guards against a hedge of an earlier silence that is taken for the next one."""

    async def pause_twice(stream: trio.SocketStream, _: bytes) -> None:
        await stream.send_all(HEAD + render(EVENTS[:1]))
        for event in EVENTS[1:3]:
            await trio.sleep(PAUSE_S)
            await stream.send_all(render([event]))
        await stream.send_all(render(EVENTS[3:]) + b"0\r\n\r\n")

    replicas = build_pair(pause_twice, never_answer)
    received = await call_stream(replicas, max_attempts=3)
    assert join_chunks(received) == (b"".join(EVENTS), True)


async def test_long_body_is_sent_on_through_a_silence() -> None:
    """Guards against a request cut in its middle when its replica is silent."""
    body = b"x" * 3_000_000
    bodies: list[int] = []

    async def read_late(stream: trio.SocketStream, call: bytes) -> None:
        bodies.append(len(call.partition(b"\r\n\r\n")[2]))
        await answer()(stream, call)

    class Late(ScriptedReplica):
        async def serve(self, stream: trio.SocketStream) -> None:
            await trio.sleep(PAUSE_S)
            await super().serve(stream)

    harness = RelayHarness([Late("x", read_late)], **PLAIN)
    async with start_harness(harness):
        received = await harness.call(build_call(body=body))
    assert find_status(received) == 200
    assert bodies == [len(body)]


async def test_call_ends_at_its_deadline_though_both_attempts_are_silent() -> None:
    """Guards against silences that hold a call past its route's timeout."""
    replicas = build_pair(never_answer, never_answer)
    with trio.fail_after(10):
        received = await call_plain(replicas, timeout_ms=1_500)
    assert find_status(received) == 504
    for each in replicas:
        await each.closed.wait()


async def test_caller_that_leaves_ends_the_silent_attempt_and_its_hedge() -> None:
    """Guards against attempts that outlive their caller."""
    replicas = build_pair(never_answer, never_answer)
    harness = RelayHarness(replicas, **PLAIN)
    async with start_harness(harness):
        await harness.call(build_call(), wait_s=0.8)
        with trio.fail_after(5):
            for each in replicas:
                await each.closed.wait()
        await trio.testing.wait_all_tasks_blocked()
        assert harness.core.flow.count_pending() == 0
        assert harness.core.flow.hedged.count_silent() == 0


@pytest.mark.parametrize("change", ["timeout", "attempts", "gone"])
async def test_configuration_in_a_silence_ends_no_call_under_way(change: str) -> None:
    """Guards against answers cut when a configuration comes while they are silent."""
    replicas = build_pair(pause_stream(2), REFUSAL)
    harness = RelayHarness(replicas, **STREAM)
    async with start_harness(harness), trio.open_nursery() as nursery:
        received: list[bytes] = []

        async def call() -> None:
            text = build_call("/a/x", PROMPT_BLOCKS_HEADER)
            received.append(await harness.call(text))

        nursery.start_soon(call)
        await trio.sleep(0.3)
        changes: dict[str, dict[str, object]] = {
            "timeout": {"timeout_ms": 200},
            "attempts": {"max_attempts": 1},
            "gone": {"path_prefix": "/other/"},
        }
        harness.route = msgspec.structs.replace(harness.route, **changes[change])
        harness.publish_routes(2)
    assert join_chunks(received[0]) == (b"".join(EVENTS), True)
