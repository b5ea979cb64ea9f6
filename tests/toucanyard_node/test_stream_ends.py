"""Streams that break in a packet, at their end, or while they resume."""

from __future__ import annotations

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
from toucanyard_node.http_client import Headers

TOKENS = (" uno", " dos", " tres", " cuatro", " cinco")
TEXT = "".join(TOKENS)
LAST = len(TOKENS)
ONCE = (*AUTHORIZED, ("X-Run-Once", "true"))
KEYED = (*AUTHORIZED, ("Idempotency-Key", "k1"))
ERROR = b'data: {"error": {"message": "out of memory"}}\n\n'


def check_whole(body: bytes) -> None:
    assert read_numbers(body) == list(range(LAST + 2))
    assert read_text(body) == TEXT
    assert body.endswith(b"data: [DONE]\n\n")
    assert b"event: error" not in body


@pytest.mark.parametrize(
    "bad", [b"id: 2\ndata: nonsense\n\n", b"id: 2\n" + ERROR, ERROR, b"id: 9\n" + ERROR]
)
async def test_events_before_a_bad_one_are_delivered(
    autojump_clock: MockClock, bad: bytes
) -> None:
    """An engine fails and says so in the packet that still brings two tokens.

    The request goes on elsewhere after those two tokens; the caller must get them,
    or its numbers would have a hole, and never see the failed engine's error.
    """
    first = ScriptedEngine(
        TOKENS, Step(stop_before=2, joined=bad), Step(status=404), Step(status=404)
    )
    second = ScriptedEngine(TOKENS)
    async with run_client_server_in_memory([first, second]) as served:
        answer = await served.complete()
        check_whole(answer.body)
        (asked,) = second.find_requests("POST")
        assert asked.headers["x-resume-text-tokens"] == "2"


async def test_end_without_the_last_event(autojump_clock: MockClock) -> None:
    """The last event, with the reason of the end, is lost; the mark of the end comes.

    The mark has no number, so a gap before it shows only by the missing reason. The
    node asks again; the stream would otherwise pass for whole without its end.
    """
    engine = ScriptedEngine(TOKENS, Step(skip=LAST))
    async with run_client_server_in_memory([engine]) as served:
        answer = await served.complete()
        check_whole(answer.body)
        (resumed,) = engine.find_requests("GET")
        assert resumed.headers["last-event-id"] == str(LAST - 1)


async def test_end_that_never_has_its_last_event(autojump_clock: MockClock) -> None:
    """The last event is missing at each try. The tries are bounded, and the caller is
    told that the stream is incomplete."""
    engine = ScriptedEngine(TOKENS, *[Step(skip=LAST)] * 20)
    async with run_client_server_in_memory([engine]) as served:
        answer = await served.complete()
        assert read_text(answer.body) == TEXT
        assert b"[DONE]" not in answer.body
        assert b'"stream_incomplete"' in answer.body
        assert len(engine.find_requests("GET")) == 5


@pytest.mark.parametrize("headers", [ONCE, KEYED])
async def test_run_once_stream_whole_but_for_its_end(
    autojump_clock: MockClock, headers: Headers
) -> None:
    """The engine dies between the last token and the mark of the end.

    Everything was said, so the caller gets the end from the node; told that the
    outcome is unknown, it would have to ask a person about a hold that it has.
    """
    steps = (Step(stop_before=LAST + 1, then=StepEnd.CUT), Step(status=404))
    engine = ScriptedEngine(TOKENS, *steps)
    async with run_client_server_in_memory([engine]) as served:
        answer = await served.complete(headers=headers)
        check_whole(answer.body)
        (outcome,) = served.core.outcomes
        assert outcome.ending is DispatchEnding.COMPLETED
        assert (outcome.answer is not None) == (headers == KEYED)


@pytest.mark.parametrize("many", [{"n": 2}, {"prompt": ["hola", "adios"]}, {"n": "x"}])
async def test_one_of_several_choices_is_not_the_end(
    autojump_clock: MockClock, many: dict[str, object]
) -> None:
    """One of two choices has ended and the engine dies inside the other.

    The end of one is not the end of the stream, which would pass for whole.
    """
    steps = (Step(stop_before=LAST + 1, then=StepEnd.CUT), Step(status=404))
    engines = [ScriptedEngine(TOKENS, *steps), ScriptedEngine(TOKENS)]
    async with run_client_server_in_memory(engines) as served:
        body = build_completion() | many
        answer = await served.ask("POST", "/v1/completions", AUTHORIZED, body)
        assert read_text(answer.body) == TEXT
        assert b"[DONE]" not in answer.body
        assert b'"stream_incomplete"' in answer.body


@pytest.mark.parametrize("left_s", [0.45, 1.05, 1.3])
async def test_caller_comes_back_while_engine_is_sought(
    autojump_clock: MockClock, left_s: float
) -> None:
    """The engine's connection is silent. While the node connects anew, or seeks another
    engine, the caller hangs up, and comes back.

    The task that sought an engine ends with the caller's connection. The one that
    takes the stream over goes on from there, with every event once.
    """
    steps = [Step(stop_before=2, then=StepEnd.SILENCE), Step(status=404)]
    first = ScriptedEngine(TOKENS, *steps)
    others = [ScriptedEngine(TOKENS), ScriptedEngine(TOKENS)]
    async with run_client_server_in_memory([first, *others]) as served:
        assert served.network is not None
        body = build_completion()
        connection = await served.open("POST", "/v1/completions", AUTHORIZED, body)
        await connection.read_head()
        served.network.connect_delay_s = 0.5
        await trio.sleep(left_s)
        await connection.close()
        served.network.connect_delay_s = 0.0
        resume = (*AUTHORIZED, ("Last-Event-ID", "0"))
        answer = await served.ask("GET", "/v1/streams/n1-x7-0", resume)
        assert read_numbers(answer.body) == list(range(1, LAST + 2))
        assert read_text(answer.body) == "".join(TOKENS[1:])
        assert answer.body.endswith(b"data: [DONE]\n\n")
        assert served.core.find_endings()[-1] is DispatchEnding.COMPLETED


@pytest.mark.parametrize("is_stream", [True, False])
async def test_connection_goes_silent_under_a_request(
    autojump_clock: MockClock, is_stream: bool
) -> None:
    """A connection takes no more bytes before the whole prompt has left.

    No answer can come, and waiting for the deadline would keep the caller for minutes
    while another engine is idle.
    """
    engines = [ScriptedEngine(TOKENS), ScriptedEngine(TOKENS)]
    async with run_client_server_in_memory(engines) as served:
        assert served.network is not None
        served.network.blocked.add(served.core.addresses[0])
        with trio.fail_after(20):
            answer = await served.complete(is_stream)
        assert answer.status == 200
        assert served.core.find_endings() == [
            DispatchEnding.LOST,
            DispatchEnding.COMPLETED,
        ]
