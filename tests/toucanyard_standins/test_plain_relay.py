from __future__ import annotations

import trio

from standin_examples import completion, post, read_text, start_engine
from toucanyard.names import Address
from toucanyard_node.http_server import (
    open_listener,
)
from toucanyard_standins.load import Target, run_short_requests, run_streams
from toucanyard_standins.plain_relay import RelayOptions, serve_plain_relay


async def test_relayed_answers_and_streams_are_whole(nursery: trio.Nursery) -> None:
    engine = await start_engine(nursery)
    listener = await open_listener("127.0.0.1", 0)
    options = RelayOptions(engine)
    relay: Address = await nursery.start(serve_plain_relay, options, listener)
    path = "/v1/completions"
    direct = await post(engine, path, completion("a"))
    relayed = await post(relay, path, completion("a"))
    assert read_text(relayed) == read_text(direct)
    # Three token events and one with the usage; an incomplete stream raises.
    times = await run_streams(Target(relay), streams=2, tokens=3)
    assert [each.events for each in times] == [4, 4]
    await run_short_requests(Target(relay), count=4, connections=2)
