"""Tests for the graceful shutdown, in memory on a mock clock."""

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
    """A node is shut down while a stream is running.

    Callers with a cached address are served until the cache expires, and are asked to
    close their connections. The stream, which takes longer, finishes before the
    shutdown is complete.
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
        # Another node may have returned this node's address until it received the
        # gossip update shortly after the shutdown began. A caller caches that address
        # for the full cache time.
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
    """A keyed request continues after its caller disconnects; the shutdown waits."""
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
