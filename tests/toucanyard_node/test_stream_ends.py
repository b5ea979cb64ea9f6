"""Streams that fail inside a packet, at their end, or while they resume."""

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
LAST_NUMBER = len(TOKENS)
RUN_ONCE_HEADERS = (*AUTHORIZED, ("X-Run-Once", "true"))
KEYED_HEADERS = (*AUTHORIZED, ("Idempotency-Key", "k1"))
ERROR = b'data: {"error": {"message": "out of memory"}}\n\n'


def check_whole(body: bytes) -> None:
    assert read_numbers(body) == list(range(LAST_NUMBER + 2))
    assert read_text(body) == TEXT
    assert body.endswith(b"data: [DONE]\n\n")
    assert b"event: error" not in body


@pytest.mark.parametrize(
    "bad", [b"id: 2\ndata: nonsense\n\n", b"id: 2\n" + ERROR, ERROR, b"id: 9\n" + ERROR]
)
async def test_events_before_a_bad_one_are_delivered(
    autojump_clock: MockClock, bad: bytes
) -> None:
    """An engine reports an error in the same packet as two tokens.

    The request continues on another engine after those two tokens. The caller must get
    them, or its event numbers would have a gap, but not the failed engine's error.
    """
    first = ScriptedEngine(
        TOKENS, Step(stop_before=2, joined=bad), Step(status=404), Step(status=404)
    )
    second = ScriptedEngine(TOKENS)
    async with run_client_server_in_memory([first, second]) as served:
        answer = await served.complete()
        check_whole(answer.body)
        (resume_request,) = second.find_requests("POST")
        assert resume_request.headers["x-resume-text-tokens"] == "2"


async def test_end_without_the_last_event(autojump_clock: MockClock) -> None:
    """The last event, with the finish reason, is lost; the end mark arrives.

    The mark has no number, so a gap before it is only detected by the missing finish
    reason. The node resumes; otherwise the truncated stream would appear complete.
    """
    engine = ScriptedEngine(TOKENS, Step(skip=LAST_NUMBER))
    async with run_client_server_in_memory([engine]) as served:
        answer = await served.complete()
        check_whole(answer.body)
        (resumed,) = engine.find_requests("GET")
        assert resumed.headers["last-event-id"] == str(LAST_NUMBER - 1)


async def test_end_that_never_has_its_last_event(autojump_clock: MockClock) -> None:
    """The last event is missing at every attempt. The number of attempts is limited,
    and the stream ends with an error event for the caller."""
    engine = ScriptedEngine(TOKENS, *[Step(skip=LAST_NUMBER)] * 20)
    async with run_client_server_in_memory([engine]) as served:
        answer = await served.complete()
        assert read_text(answer.body) == TEXT
        assert b"[DONE]" not in answer.body
        assert b'"stream_incomplete"' in answer.body
        assert len(engine.find_requests("GET")) == 5


@pytest.mark.parametrize("headers", [RUN_ONCE_HEADERS, KEYED_HEADERS])
async def test_run_once_stream_whole_but_for_its_end(
    autojump_clock: MockClock, headers: Headers
) -> None:
    """The engine crashes between the last token and the end mark.

    The text is complete, so the node sends the end mark itself. With "outcome unknown"
    the caller would need manual clarification of a hold that it already has.
    """
    steps = (Step(stop_before=LAST_NUMBER + 1, then=StepEnd.CUT), Step(status=404))
    engine = ScriptedEngine(TOKENS, *steps)
    async with run_client_server_in_memory([engine]) as served:
        answer = await served.complete(headers=headers)
        check_whole(answer.body)
        (outcome,) = served.core.outcomes
        assert outcome.ending is DispatchEnding.COMPLETED
        assert (outcome.answer is not None) == (headers == KEYED_HEADERS)


@pytest.mark.parametrize("many", [{"n": 2}, {"prompt": ["hola", "adios"]}, {"n": "x"}])
async def test_one_of_several_choices_is_not_the_end(
    autojump_clock: MockClock, many: dict[str, object]
) -> None:
    """One of two choices has ended and the engine crashes during the other.

    The end of one choice must not end the stream, which would appear complete.
    """
    steps = (Step(stop_before=LAST_NUMBER + 1, then=StepEnd.CUT), Step(status=404))
    engines = [ScriptedEngine(TOKENS, *steps), ScriptedEngine(TOKENS)]
    async with run_client_server_in_memory(engines) as served:
        body = build_completion() | many
        answer = await served.ask("POST", "/v1/completions", AUTHORIZED, body)
        assert read_text(answer.body) == TEXT
        assert b"[DONE]" not in answer.body
        assert b'"stream_incomplete"' in answer.body


@pytest.mark.parametrize("hang_up_s", [0.45, 1.05, 1.3])
async def test_caller_comes_back_while_engine_is_sought(
    autojump_clock: MockClock, hang_up_s: float
) -> None:
    """The engine's connection stalls. While the node reconnects or fails over to
    another engine, the caller disconnects and later resumes.

    The reconnecting task is cancelled with the caller's connection. The task that takes
    over the stream continues from there, with every event once.
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
        await trio.sleep(hang_up_s)
        await connection.close()
        served.network.connect_delay_s = 0.0
        resume = (*AUTHORIZED, ("Last-Event-ID", "0"))
        answer = await served.ask("GET", "/v1/streams/n1-x7-0", resume)
        assert read_numbers(answer.body) == list(range(1, LAST_NUMBER + 2))
        assert read_text(answer.body) == "".join(TOKENS[1:])
        assert answer.body.endswith(b"data: [DONE]\n\n")
        assert served.core.find_endings()[-1] is DispatchEnding.COMPLETED


@pytest.mark.parametrize("is_stream", [True, False])
async def test_connection_goes_silent_under_a_request(
    autojump_clock: MockClock, is_stream: bool
) -> None:
    """A connection accepts no more bytes before the prompt is sent completely.

    There can be no response, and waiting for the deadline would delay the caller for
    minutes while another engine is idle.
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
