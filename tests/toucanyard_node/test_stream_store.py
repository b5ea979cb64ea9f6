"""Callers that disconnect, resume, or read slowly, on an in-memory network."""

from __future__ import annotations

import msgspec
import pytest
import trio
from trio.testing import MockClock

from support.callers import (
    AUTHORIZED,
    OTHER_KEY,
    ClientServerHarness,
    build_completion,
    build_options,
    read_numbers,
    read_text,
    run_client_server_in_memory,
)
from support.engines import ScriptedEngine, Step, StepEnd
from toucanyard.options import StreamLimits
from toucanyard.requests import DispatchEnding
from toucanyard_node.http_client import ConnectionFailedError, Headers, HttpConnection
from toucanyard_node.http_exchange import Responder

TOKENS = tuple(f" t{number}" for number in range(6))
STREAM = "/v1/streams/n1-x7-0"
KEYED_HEADERS = (*AUTHORIZED, ("Idempotency-Key", "k1"))


async def open_and_read(
    served: ClientServerHarness, parts: int, headers: Headers = AUTHORIZED
) -> HttpConnection:
    """Start a stream and read some of its chunks."""
    body = build_completion()
    connection = await served.open("POST", "/v1/completions", headers, body)
    await connection.read_head()
    for _ in range(parts):
        await connection.read_body_chunk()
    return connection


def resume_headers(number: int, key: str = "") -> Headers:
    headers = AUTHORIZED if not key else (("Authorization", f"Bearer {key}"),)
    return (*headers, ("Last-Event-ID", str(number)))


async def test_caller_comes_back(autojump_clock: MockClock) -> None:
    """The caller's connection breaks mid-stream and it resumes immediately.

    It sends the id of its last event and gets the rest, each event once; the request
    at the engine is neither cancelled nor repeated.
    """
    engine = ScriptedEngine(TOKENS, Step(gap_s=0.3))
    async with run_client_server_in_memory([engine]) as served:
        connection = await open_and_read(served, 4)
        await connection.close()
        await trio.sleep(0.1)
        answer = await served.ask("GET", STREAM, resume_headers(1))
        assert read_numbers(answer.body) == [2, 3, 4, 5, 6, 7]
        assert answer.body.endswith(b"data: [DONE]\n\n")
        assert len(engine.requests) == 1
        assert not engine.cancelled


async def test_caller_takes_over_from_itself(autojump_clock: MockClock) -> None:
    """The caller's connection is dead, but the node has not detected it.

    The caller resumes the stream on a new connection, which gets the rest. The old one
    is closed without an end mark; no event is lost between the two.
    """
    engine = ScriptedEngine(
        TOKENS, Step(stop_before=3, then=StepEnd.HEARTBEAT), Step(gap_s=0.1)
    )
    async with run_client_server_in_memory([engine]) as served:
        old = await open_and_read(served, 3)
        new = await served.open("GET", STREAM, resume_headers(-1))
        with trio.fail_after(5):
            await new.read_head()
            part = await new.read_body_chunk()
        assert part is not None
        assert read_text(part) == "".join(TOKENS[:3])
        with pytest.raises(ConnectionFailedError), trio.fail_after(5):
            await old.read_body()
        await new.close()


async def test_stream_of_another_customer(autojump_clock: MockClock) -> None:
    """Another customer sends the id of a stream: same response as an unknown id."""
    async with run_client_server_in_memory([ScriptedEngine(TOKENS)]) as served:
        await served.complete()
        answer = await served.ask("GET", STREAM, resume_headers(1, OTHER_KEY))
        unknown = await served.ask("GET", STREAM + "9", resume_headers(1, OTHER_KEY))
        assert answer.status == unknown.status == 410
        assert b" t3" not in answer.body


async def test_ended_stream_is_kept_for_a_while(autojump_clock: MockClock) -> None:
    """The last events were lost in transit to the caller, which can resume them."""
    async with run_client_server_in_memory([ScriptedEngine(TOKENS)]) as served:
        await served.complete()
        answer = await served.ask("GET", STREAM, resume_headers(5))
        assert read_numbers(answer.body) == [6, 7]
        await trio.sleep(31)
        answer = await served.ask("GET", STREAM, resume_headers(5))
        assert answer.status == 410


async def test_events_no_longer_kept(autojump_clock: MockClock) -> None:
    """The caller resumes after an event that was evicted.

    A stream with a gap would appear complete, so the request is refused.
    """
    options = build_options(StreamLimits(replay_buffer_bytes=500))
    async with run_client_server_in_memory([ScriptedEngine(TOKENS)], options) as served:
        await served.complete()
        answer = await served.ask("GET", STREAM, resume_headers(0))
        assert answer.status == 410


async def test_caller_gone_cancels_engine(autojump_clock: MockClock) -> None:
    """The caller disconnects mid-stream and does not resume.

    The engine's request is cancelled after the grace period.
    """
    engine = ScriptedEngine(TOKENS, Step(stop_before=3, then=StepEnd.HEARTBEAT))
    async with run_client_server_in_memory([engine]) as served:
        connection = await open_and_read(served, 2)
        await connection.close()
        await trio.sleep(1.5)
        assert engine.cancelled == ["n1-x7-0"]
        assert served.core.find_endings() == [DispatchEnding.CANCELLED]


async def test_caller_gone_before_first_byte(autojump_clock: MockClock) -> None:
    """The caller disconnects while the engine still processes its prompt.

    There is no stream to resume, so the engine's request is cancelled immediately.
    """
    engine = ScriptedEngine(TOKENS, Step(head_delay_s=0.3))
    async with run_client_server_in_memory([engine]) as served:
        body = build_completion()
        connection = await served.open("POST", "/v1/completions", AUTHORIZED, body)
        await trio.sleep(0.1)
        await connection.close()
        await trio.sleep(0.1)
        assert engine.cancelled == ["n1-x7-0"]


async def test_caller_gone_while_queued(autojump_clock: MockClock) -> None:
    """The caller disconnects while its request is queued; the core is notified."""
    async with run_client_server_in_memory([ScriptedEngine(TOKENS)]) as served:
        served.core.is_waiting = True
        body = build_completion()
        connection = await served.open("POST", "/v1/completions", AUTHORIZED, body)
        await trio.sleep(0.1)
        await connection.close()
        await trio.sleep(0.1)
        assert served.core.abandoned == ["n1-x7-0"]


@pytest.mark.parametrize("is_stream", [True, False])
async def test_keyed_request_runs_on(
    autojump_clock: MockClock, is_stream: bool
) -> None:
    """The caller of a keyed request disconnects before the response starts.

    It may retry with its key, so the engine is allowed to finish and the complete
    response is stored by the core.
    """
    engine = ScriptedEngine(TOKENS, Step(head_delay_s=0.2, gap_s=0.5))
    async with run_client_server_in_memory([engine]) as served:
        body = build_completion(is_stream)
        connection = await served.open("POST", "/v1/completions", KEYED_HEADERS, body)
        await trio.sleep(0.1)
        await connection.close()
        await trio.sleep(10)
        assert not engine.cancelled
        [outcome] = served.core.outcomes
        assert outcome.ending is DispatchEnding.COMPLETED
        assert outcome.answer is not None
        body_kept = outcome.answer.body
        if is_stream:
            assert read_numbers(body_kept) == list(range(8))
        else:
            text = msgspec.json.decode(body_kept)["choices"][0]["text"]
            assert text == "".join(TOKENS)


async def test_gone_caller_bounds_memory(autojump_clock: MockClock) -> None:
    """An engine sends many events while the caller is disconnected.

    Reading stops at the limit, so that no event that the caller lacks is evicted.
    """
    tokens = tuple(f" t{number:04}" for number in range(400))
    engine = ScriptedEngine(tokens, Step(gap_s=0.001))
    options = build_options(StreamLimits(replay_buffer_bytes=4_000))
    async with run_client_server_in_memory([engine], options) as served:
        connection = await open_and_read(served, 2)
        await connection.close()
        await trio.sleep(0.9)
        answer = await served.ask("GET", STREAM, resume_headers(0))
        assert answer.status == 200
        assert read_numbers(answer.body) == list(range(1, 402))


async def test_events_pushed_out_while_head_is_sent(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A caller resumes after an event that is still stored. While it receives the
    response head, its old connection reads on, and the next events are evicted.

    The new connection must be closed: with the later events its stream had a gap.
    """
    start = Responder.start

    async def start_slowly(self: Responder, status: int, headers: Headers) -> None:
        await start(self, status, headers)
        await trio.sleep(3)

    tokens = tuple(f" t{number:04}" for number in range(400))
    engine = ScriptedEngine(tokens, Step(gap_s=0.05))
    options = build_options(StreamLimits(replay_buffer_bytes=4_000))
    async with run_client_server_in_memory([engine], options) as served:
        old = await open_and_read(served, 8)
        monkeypatch.setattr(Responder, "start", start_slowly)
        new = await served.open("GET", STREAM, resume_headers(1))
        assert (await new.read_head()).status == 200
        with pytest.raises(ConnectionFailedError):
            await new.read_body()
        answer = await served.ask("GET", STREAM, resume_headers(1))
        assert answer.status == 410
        await old.close()


async def test_two_resume_at_once(autojump_clock: MockClock) -> None:
    """A client library resumes one stream twice at the same time.

    One connection gets everything to the end. The other is closed early, so that it
    can't appear complete; the engine's request is neither repeated nor cancelled.
    """
    engine = ScriptedEngine(TOKENS, Step(gap_s=0.3))
    bodies: list[bytes] = []
    cuts: list[ConnectionFailedError] = []

    async with run_client_server_in_memory([engine]) as served:

        async def resume() -> None:
            try:
                bodies.append((await served.ask("GET", STREAM, resume_headers(0))).body)
            except ConnectionFailedError as error:
                cuts.append(error)

        connection = await open_and_read(served, 4)
        await connection.close()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(resume)
            nursery.start_soon(resume)
        assert [read_numbers(body) for body in bodies] == [[1, 2, 3, 4, 5, 6, 7]]
        assert len(cuts) == 1
        assert len(engine.requests) == 1
        assert not engine.cancelled
