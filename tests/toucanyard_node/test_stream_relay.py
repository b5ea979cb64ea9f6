"""Streams with stalled or closed connections, crashes and misrouted responses."""

from __future__ import annotations

import msgspec
import pytest
import trio
from trio.testing import MockClock

from support.callers import (
    AUTHORIZED,
    build_completion,
    read_numbers,
    read_text,
    run_client_server_in_memory,
)
from support.engines import ScriptedEngine, Step, StepEnd
from toucanyard.requests import DispatchEnding

TOKENS = (" uno", " dos", " tres", " cuatro", " cinco")
TEXT = "".join(TOKENS)
RUN_ONCE_HEADERS = (*AUTHORIZED, ("X-Run-Once", "true"))
KEYED_HEADERS = (*AUTHORIZED, ("Idempotency-Key", "k1"))


def check_whole(body: bytes) -> None:
    assert read_numbers(body) == list(range(len(TOKENS) + 2))
    assert read_text(body) == TEXT
    assert body.endswith(b"data: [DONE]\n\n")
    assert b"event: error" not in body


@pytest.mark.parametrize("then", [StepEnd.SILENCE, StepEnd.CUT])
async def test_resumes_on_new_connection(
    autojump_clock: MockClock, then: StepEnd
) -> None:
    """The engine's connection stalls or is closed mid-stream.

    The engine still works and accepts new connections. The caller gets every event
    once: the node resumes after its last number on a new connection.
    """
    engine = ScriptedEngine(TOKENS, Step(stop_before=2, then=then))
    async with run_client_server_in_memory([engine]) as served:
        answer = await served.complete()
        check_whole(answer.body)
        resumed = engine.find_requests("GET")
        assert [each.headers["last-event-id"] for each in resumed] == ["1"]
        assert served.core.find_endings() == [DispatchEnding.COMPLETED]


async def test_heartbeats_are_no_silence(autojump_clock: MockClock) -> None:
    """The engine takes longer for each token than the idle timeout.

    Its heartbeats show that it is alive, so the stream is not resumed.
    """
    engine = ScriptedEngine(TOKENS, Step(gap_s=0.7))
    async with run_client_server_in_memory([engine]) as served:
        answer = await served.complete()
        check_whole(answer.body)
        assert len(engine.requests) == 1


async def test_silence_before_first_byte(autojump_clock: MockClock) -> None:
    """No response arrives, although the engine received the request.

    The node resumes on a new connection and relays the stream from event 0.
    """
    engine = ScriptedEngine(TOKENS, Step(head_delay_s=9_999.0))
    async with run_client_server_in_memory([engine]) as served:
        answer = await served.complete()
        check_whole(answer.body)


async def test_gap_in_numbers_is_asked_again(autojump_clock: MockClock) -> None:
    """An event is lost in transit. It is requested again, not skipped."""
    engine = ScriptedEngine(TOKENS, Step(skip=2))
    async with run_client_server_in_memory([engine]) as served:
        answer = await served.complete()
        check_whole(answer.body)


async def test_repeated_events_are_dropped(autojump_clock: MockClock) -> None:
    """The engine repeats all events from the first when asked to resume."""
    steps = (Step(stop_before=2, then=StepEnd.CUT), Step(restarts_numbering=True))
    engine = ScriptedEngine(TOKENS, *steps)
    async with run_client_server_in_memory([engine]) as served:
        answer = await served.complete()
        check_whole(answer.body)
        assert len(engine.find_requests("GET")) == 1


async def test_goes_on_elsewhere(autojump_clock: MockClock) -> None:
    """An engine crashes mid-stream and restarts empty, as another incarnation.

    Its stream is not resumed there. Another engine gets the prompt with the text so
    far, and the caller gets one uninterrupted stream.
    """
    first = ScriptedEngine(
        TOKENS, Step(stop_before=2, then=StepEnd.CUT), Step(incarnation="i2")
    )
    second = ScriptedEngine(TOKENS)
    async with run_client_server_in_memory([first, second]) as served:
        answer = await served.complete()
        check_whole(answer.body)
        resume_request = second.find_requests("POST")[0]
        assert resume_request.headers["x-resume-text-tokens"] == "2"
        assert msgspec.json.decode(resume_request.body)["prompt"] == "hola uno dos"
        assert served.core.find_endings() == [
            DispatchEnding.LOST,
            DispatchEnding.COMPLETED,
        ]


async def test_no_resume_under_other_weights(autojump_clock: MockClock) -> None:
    """The engine crashes mid-stream and only one with newer weights is left.

    Continuing there would join the output of two models; the stream ends with an error
    event that marks it as incomplete.
    """
    first = ScriptedEngine(
        TOKENS, Step(stop_before=2, then=StepEnd.CUT), Step(status=404)
    )
    second = ScriptedEngine(TOKENS, Step(weights="w2"))
    async with run_client_server_in_memory([first, second]) as served:
        served.core.weights_versions = ["w1", "w2"]
        answer = await served.complete()
        assert read_text(answer.body) == " uno dos"
        check_incomplete(answer.body)
        assert not second.requests


@pytest.mark.parametrize("headers", [RUN_ONCE_HEADERS, KEYED_HEADERS])
async def test_run_once_stream_ends_incomplete(
    autojump_clock: MockClock, headers: tuple[tuple[str, str], ...]
) -> None:
    """An engine crashes mid-stream of a request that may run at most once.

    Nothing is sent to another engine, whatever the core decides; the caller gets a
    final error event.
    """
    first = ScriptedEngine(
        TOKENS, Step(stop_before=2, then=StepEnd.CUT), Step(status=404)
    )
    second = ScriptedEngine(TOKENS)
    async with run_client_server_in_memory([first, second]) as served:
        served.core.retries_run_once = True
        answer = await served.complete(headers=headers)
        assert read_text(answer.body) == " uno dos"
        check_incomplete(answer.body)
        assert not second.requests


def check_incomplete(body: bytes) -> None:
    last = body.rstrip(b"\n").split(b"\n\n")[-1].split(b"\n")
    assert last[0] == b"event: error"
    error = msgspec.json.decode(last[2].removeprefix(b"data: "))["error"]
    assert error["code"] == "stream_incomplete"
    assert error["not_run"] is False
    assert b"[DONE]" not in body


@pytest.mark.parametrize("is_stream", [True, False])
async def test_crossed_answer_is_never_delivered(
    autojump_clock: MockClock, is_stream: bool
) -> None:
    """A response echoes the id of another request.

    The caller must not get another caller's response: the connection is closed and the
    request, which is repeatable, is sent to another engine.
    """
    first = ScriptedEngine((" ajeno",), Step(echo="n1-x7-999"))
    second = ScriptedEngine(TOKENS)
    async with run_client_server_in_memory([first, second]) as served:
        answer = await served.complete(is_stream)
        assert b"ajeno" not in answer.body
        assert answer.status == 200
        assert second.find_requests("POST")


async def test_crossed_answer_to_run_once(autojump_clock: MockClock) -> None:
    """The same for a request that may run once: its outcome is unknown."""
    first = ScriptedEngine((" ajeno",), Step(echo="n1-x7-999"))
    second = ScriptedEngine(TOKENS)
    async with run_client_server_in_memory([first, second]) as served:
        answer = await served.complete(headers=RUN_ONCE_HEADERS)
        error = msgspec.json.decode(answer.body)["error"]
        assert (error["code"], error["not_run"]) == ("outcome_unknown", False)
        assert not second.requests


async def test_abandoned_connection_is_not_used_again(
    autojump_clock: MockClock,
) -> None:
    """The rest of a response arrives after the deadline was reported to the caller.

    The next request must not read that rest, so it uses a new connection.
    """
    engine = ScriptedEngine(TOKENS, Step(stop_before=2, then=StepEnd.HEARTBEAT))
    async with run_client_server_in_memory([engine]) as served:
        headers = (*AUTHORIZED, ("X-Deadline-Ms", "300"))
        answer = await served.complete(is_stream=False, headers=headers)
        assert answer.status == 504
        answer = await served.complete()
        check_whole(answer.body)
        assert served.network is not None
        engine_address = served.core.addresses[0]
        posts = engine.find_requests("POST")
        opened = served.network.opened.count(engine_address)
        assert (len(posts), opened) == (2, 3)
        assert engine.cancelled == ["n1-x7-0"]


async def test_silence_drops_idle_connections(autojump_clock: MockClock) -> None:
    """One of several pooled connections stalls permanently.

    Idle connections of the same age are probably dead as well; they are closed, so that
    the next request doesn't wait for a timeout too.
    """
    engine = ScriptedEngine(
        TOKENS,
        Step(gap_s=0.1),
        Step(gap_s=0.1),
        Step(stop_before=2, then=StepEnd.SILENCE),
    )
    async with run_client_server_in_memory([engine]) as served:
        pool = served.client_server.pool
        address = served.core.addresses[0]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(served.complete)
            nursery.start_soon(served.complete)
        assert pool.count_idle(address) == 2
        connection = await served.open(
            "POST", "/v1/completions", AUTHORIZED, build_completion()
        )
        await connection.read_head()
        await trio.sleep(0.39)
        assert pool.count_idle(address) == 1
        await trio.sleep(0.02)
        assert pool.count_idle(address) == 0
        await connection.read_body()


async def test_all_resumes_fail(autojump_clock: MockClock) -> None:
    """An engine stalls again after each resume. The number of resumes is limited."""
    steps = [Step(stop_before=2, then=StepEnd.SILENCE)] * 20
    engine = ScriptedEngine(TOKENS, *steps)
    async with run_client_server_in_memory([engine]) as served:
        answer = await served.complete()
        check_incomplete(answer.body)
        assert len(engine.find_requests("GET")) == 5


async def test_plain_answer_survives_death(autojump_clock: MockClock) -> None:
    """A plain response is delivered completely or not at all, across two engines."""
    first = ScriptedEngine(
        TOKENS, Step(stop_before=2, then=StepEnd.CUT), Step(status=404)
    )
    second = ScriptedEngine(TOKENS)
    async with run_client_server_in_memory([first, second]) as served:
        answer = await served.complete(is_stream=False)
        body = msgspec.json.decode(answer.body)
        assert body["choices"][0]["text"] == TEXT
        assert int(answer.headers["content-length"]) == len(answer.body)


async def test_heartbeats_end_no_event(autojump_clock: MockClock) -> None:
    """An engine's heartbeats are relayed to the caller between events.

    A blank line after a heartbeat would end an empty event for client libraries that
    keep the last id, and they would fail to parse its data.
    """
    engine = ScriptedEngine(TOKENS, Step(gap_s=0.2))
    async with run_client_server_in_memory([engine]) as served:
        answer = await served.complete()
        assert b": heartbeat\n" in answer.body
        assert b": heartbeat\n\n" not in answer.body


async def test_engine_slower_than_its_history(autojump_clock: MockClock) -> None:
    """An engine without heartbeats pauses for much longer than the idle timeout.

    Each resume finds the stream alive without new events. With a fixed timeout the
    resumes were used up before the next token, and the router truncated the stream.
    """
    quiet = [Step(quiet_until_s=trio.current_time() + 6.0) for _ in range(20)]
    engine = ScriptedEngine(TOKENS, Step(stop_before=2, then=StepEnd.SILENCE), *quiet)
    async with run_client_server_in_memory([engine]) as served:
        answer = await served.complete()
        check_whole(answer.body)
        (outcome,) = served.core.outcomes
        assert outcome.longest_pause_ms > 5_000


async def test_engine_is_told_whose_turn_it_is(autojump_clock: MockClock) -> None:
    """With a long queue at the engine, the core's priority decides the order there."""
    engine = ScriptedEngine(TOKENS)
    async with run_client_server_in_memory([engine]) as served:
        await served.complete()
        (request,) = engine.find_requests("POST")
        assert request.headers["x-priority"] == "3"


async def test_engine_silent_for_longer_than_all_resumes_is_waited_for(
    autojump_clock: MockClock,
) -> None:
    """Guards against ending a stream at a silence that no other engine takes over."""
    silent = Step(head_delay_s=9_999.0)
    steps = (Step(stop_before=2, then=StepEnd.SILENCE), *[silent] * 6, Step())
    engine = ScriptedEngine(TOKENS, *steps)
    async with run_client_server_in_memory([engine]) as served:
        answer = await served.complete()
        check_whole(answer.body)
