"""Streams that break in a packet, at their end, or while they resume."""

from __future__ import annotations

import pytest
from trio.testing import MockClock

from support.callers import (
    AUTHORIZED,
    read_numbers,
    read_text,
    serve_in_memory,
)
from support.engines import ScriptedEngine, Step

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
        TOKENS, Step(until=2, joined=bad), Step(status=404), Step(status=404)
    )
    second = ScriptedEngine(TOKENS)
    async with serve_in_memory([first, second]) as served:
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
    async with serve_in_memory([engine]) as served:
        answer = await served.complete()
        check_whole(answer.body)
        (resumed,) = engine.find_requests("GET")
        assert resumed.headers["last-event-id"] == str(LAST - 1)


async def test_end_that_never_has_its_last_event(autojump_clock: MockClock) -> None:
    """The last event is missing at each try. The tries are bounded, and the caller is
    told that the stream is incomplete."""
    engine = ScriptedEngine(TOKENS, *[Step(skip=LAST)] * 20)
    async with serve_in_memory([engine]) as served:
        answer = await served.complete()
        assert read_text(answer.body) == TEXT
        assert b"[DONE]" not in answer.body
        assert b'"stream_incomplete"' in answer.body
        assert len(engine.find_requests("GET")) == 5
