"""A planned stop, in memory under a clock that jumps."""

from __future__ import annotations

import pytest
import trio
from trio.testing import MockClock

from support.callers import (
    AUTHORIZED,
    ClientServerHarness,
    build_completion,
    build_options,
    read_numbers,
    run_client_server_in_memory,
)
from support.engines import ScriptedEngine, Step
from toucanyard.requests import DispatchEnding
from toucanyard_node.drain import drain
from toucanyard_node.http_client import ConnectionFailedError

TOKENS = tuple(f" t{number}" for number in range(40))
KEYED = (*AUTHORIZED, ("Idempotency-Key", "k1"))


async def run_drain(served: ClientServerHarness, results: list[bool]) -> None:
    options = build_options()
    wait_idle = served.client_server.wait_idle
    results.append(await drain(served.drain, served.server, options, wait_idle))


async def test_planned_stop_cuts_nothing(autojump_clock: MockClock) -> None:
    """A node is told to stop while a stream is under way.

    Callers that still hold its address are served for as long as they may keep it,
    and told to close; the stream, which takes longer than that, comes to its end;
    only then is the node done.
    """
    results: list[bool] = []
    engine = ScriptedEngine(TOKENS, Step(gap_s=0.5))
    async with (
        run_client_server_in_memory([engine]) as served,
        trio.open_nursery() as nursery,
    ):
        body = build_completion()
        stream = await served.open("POST", "/v1/completions", AUTHORIZED, body)
        await stream.read_head()
        nursery.start_soon(run_drain, served, results)
        await trio.sleep(1)
        located = await served.ask("GET", "/v1/locate", ())
        assert b'"node":"n2"' in located.body
        await trio.sleep(5)
        answer = await served.complete(is_stream=False)
        assert answer.status == 200
        assert answer.headers["connection"] == "close"
        # Another node may have named this one until its news came, a moment after
        # the stop began; a caller keeps that address for its whole time.
        await trio.sleep(5)
        assert (await served.complete(is_stream=False)).status == 200
        await trio.sleep(2)
        with pytest.raises(ConnectionFailedError):
            await served.ask("GET", "/v1/locate", ())
        assert not results
        assert read_numbers(await stream.read_body()) == list(range(42))
    assert results == [True]


async def test_planned_stop_waits_for_keyed_request(
    autojump_clock: MockClock,
) -> None:
    """A keyed request runs on for a caller that hung up; the stop waits for it."""
    results: list[bool] = []
    engine = ScriptedEngine(TOKENS, Step(gap_s=0.5))
    async with (
        run_client_server_in_memory([engine]) as served,
        trio.open_nursery() as nursery,
    ):
        body = build_completion()
        stream = await served.open("POST", "/v1/completions", KEYED, body)
        await stream.read_head()
        await stream.close()
        nursery.start_soon(run_drain, served, results)
        await trio.sleep(15)
        assert not results
        await trio.sleep(15)
        assert served.core.find_endings() == [DispatchEnding.COMPLETED]
    assert results == [True]
