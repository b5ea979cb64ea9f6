from __future__ import annotations

import msgspec
import pytest
import trio

from standin_examples import (
    FAST,
    completion,
    control,
    open_resumed,
    open_stream,
    post,
    read,
    read_text,
    start_engine,
    start_platform,
)
from toucanyard.prefix import BLOCK_BYTES, CacheIdentity, compute_chain
from toucanyard_node.http_client import ConnectionFailedError, connect, fetch
from toucanyard_standins.endless_answers import FAST_BYTES, EndlessKind
from toucanyard_standins.engine_batch import CostModel
from toucanyard_standins.engine_faults import (
    AnswerWithoutEnd,
    Crash,
    CrossAnswers,
    CutAfterEvents,
    DelayAnswers,
    DieAfterEvents,
    EngineCounters,
    LoseCacheEvents,
    RefuseRequests,
    StopHeartbeats,
)
from toucanyard_standins.engine_server import (
    CacheDumpBody,
    CacheEventsBody,
    EngineStateBody,
)
from toucanyard_standins.network_faults import SilenceConnections
from toucanyard_standins.openai_shape import Completion

PATH = "/v1/completions"
LONG_PROMPT = "rule " * BLOCK_BYTES
STALLED = msgspec.structs.replace(
    FAST, cost=CostModel(prefill_ms_per_block=0.1, decode_step_ms=3_600_000.0)
)


async def test_answer_depends_on_prompt_and_is_repeatable(
    nursery: trio.Nursery,
) -> None:
    address = await start_engine(nursery)
    first = read_text(await post(address, PATH, completion("a")))
    again = read_text(await post(address, PATH, completion("a")))
    other = read_text(await post(address, PATH, completion("b")))
    assert first == again != other


async def test_generated_text_goes_on_elsewhere(nursery: trio.Nursery) -> None:
    address = await start_engine(nursery)
    whole = read_text(await post(address, PATH, completion("a", 5)))
    start = read_text(await post(address, PATH, completion("a", 2)))
    headers = (("X-Resume-Text-Tokens", "2"),)
    rest = await post(address, PATH, completion("a" + start, 3), headers)
    assert start + read_text(rest) == whole
    usage = msgspec.json.decode(rest.body, type=Completion).usage
    assert usage is not None and usage.completion_tokens == 5


async def test_same_prompt_hits_the_cache_of_its_customer_only(
    nursery: trio.Nursery,
) -> None:
    address = await start_engine(nursery)
    cached = []
    for customer in ("c1", "c1", "c2"):
        headers = (("X-Cache-Salt", customer),)
        answer = await post(address, PATH, completion(LONG_PROMPT), headers)
        usage = msgspec.json.decode(answer.body, type=Completion).usage
        assert usage is not None
        cached.append(usage.prompt_tokens_details.cached_tokens)
    assert cached == [0, len(LONG_PROMPT) // 4, 0]


async def test_events_and_dump_name_the_blocks_of_the_chain(
    nursery: trio.Nursery,
) -> None:
    address = await start_engine(nursery)
    await post(address, PATH, completion(LONG_PROMPT), (("X-Cache-Salt", "c1"),))
    identity = CacheIdentity("c1", "model", "", "w1")
    chain = compute_chain(identity, LONG_PROMPT.encode())
    expected = {f"{block:016x}" for block in chain}
    body = await read(address, "/v1/cache/events?after=-1&wait_ms=50", CacheEventsBody)
    assert {each for event in body.events for each in event.hashes} == expected
    assert [event.seq for event in body.events] == list(range(body.next))
    dump = await read(address, "/v1/cache/dump", CacheDumpBody)
    assert set(dump.hashes) == expected
    assert dump.next == body.next


async def test_lost_cache_events_leave_a_gap(nursery: trio.Nursery) -> None:
    # All events are lost while the fault is on, but they use up numbers.
    address = await start_engine(nursery)
    await control(address, LoseCacheEvents(1.0))
    await post(address, PATH, completion(LONG_PROMPT))
    body = await read(address, "/v1/cache/events?after=-1", CacheEventsBody)
    assert body.events == ()
    assert body.next > 0


async def test_stream_is_numbered_and_resumed(nursery: trio.Nursery) -> None:
    address = await start_engine(nursery)
    connection = await open_stream(address, "r1", "a", 3)
    whole = (await connection.read_body()).replace(b": heartbeat\n\n", b"")
    resumed = await open_resumed(address, "r1", 1)
    rest = (await resumed.read_body()).replace(b": heartbeat\n\n", b"")
    assert whole.startswith(b"id: 0\n")
    assert rest.startswith(b"id: 2\n")
    assert whole.endswith(rest) and rest.endswith(b"data: [DONE]\n\n")
    unknown = await fetch(address, "GET", "/v1/streams/other")
    assert unknown.status == 404
    assert unknown.headers["x-request-id"] == "other"


async def test_cancel_stops_a_stream_without_an_end(nursery: trio.Nursery) -> None:
    address = await start_engine(nursery, STALLED)
    connection = await open_stream(address, "r1", "a", 3)
    answer = await fetch(address, "DELETE", "/v1/streams/r1")
    assert answer.status == 204
    with pytest.raises(ConnectionFailedError):
        await connection.read_body()
    counters = await read(address, "/control", EngineCounters)
    assert counters.cancelled == 1


async def test_heartbeats_come_until_they_are_stopped(nursery: trio.Nursery) -> None:
    address = await start_engine(nursery, STALLED)
    connection = await open_stream(address, "r1", "a", 3)
    assert await connection.read_body_chunk() == b": heartbeat\n\n"
    await control(address, StopHeartbeats(True))
    with trio.move_on_after(0.1) as scope:
        while True:
            await connection.read_body_chunk()
    assert scope.cancelled_caught


async def test_open_connections_go_silent_and_new_ones_work(
    nursery: trio.Nursery,
) -> None:
    # The old connection gets neither data nor a close. The engine continues, and the
    # stream can be resumed on a new connection.
    address = await start_engine(nursery, STALLED)
    connection = await open_stream(address, "r1", "a", 3)
    await control(address, SilenceConnections())
    with trio.move_on_after(0.1) as scope:
        while True:
            await connection.read_body_chunk()
    assert scope.cancelled_caught
    resumed = await open_resumed(address, "r1", -1)
    assert await resumed.read_body_chunk() == b": heartbeat\n\n"


async def test_idle_connection_that_went_silent_never_answers(
    nursery: trio.Nursery,
) -> None:
    # A pooled connection became silent while idle: the next request on it can be sent
    # but never reaches the engine.
    address = await start_engine(nursery)
    connection = await connect(address, 1_000)
    await connection.send("GET", "/v1/load", ())
    await connection.read_head()
    await connection.read_body()
    await control(address, SilenceConnections())
    await connection.send("GET", "/v1/load", ())
    with trio.move_on_after(0.05) as scope:
        await connection.read_head()
    assert scope.cancelled_caught


async def test_cut_ends_the_connection_and_the_stream_is_resumable(
    nursery: trio.Nursery,
) -> None:
    address = await start_engine(nursery)
    await control(address, CutAfterEvents(events=1))
    connection = await open_stream(address, "r1", "a", 3)
    with pytest.raises(ConnectionFailedError):
        await connection.read_body()
    resumed = await open_resumed(address, "r1", 0)
    assert (await resumed.read_body()).endswith(b"data: [DONE]\n\n")


async def test_crash_comes_back_empty_under_a_new_incarnation(
    nursery: trio.Nursery,
) -> None:
    # The engine crashes after two events: the connection closes, and the stream and
    # the cached blocks are lost.
    address = await start_engine(nursery)
    await post(address, PATH, completion(LONG_PROMPT))
    before = await read(address, "/v1/cache/dump", CacheDumpBody)
    await control(address, DieAfterEvents(events=2))
    connection = await open_stream(address, "r1", "a", 100)
    with pytest.raises(ConnectionFailedError):
        await connection.read_body()
    after = await read(address, "/v1/cache/dump", CacheDumpBody)
    assert before.hashes and not after.hashes
    assert before.incarnation != after.incarnation
    assert (await fetch(address, "GET", "/v1/streams/r1")).status == 404


async def test_crash_by_order_counts_and_takes_connections_again(
    nursery: trio.Nursery,
) -> None:
    address = await start_engine(nursery)
    await control(address, Crash())
    counters = await read(address, "/control", EngineCounters)
    assert counters.crashes == 1
    assert (await post(address, PATH, completion("a"))).status == 200


async def test_crossed_answer_has_another_id_and_text(nursery: trio.Nursery) -> None:
    address = await start_engine(nursery)
    right = await post(address, PATH, completion("a"), (("X-Request-Id", "r1"),))
    await control(address, CrossAnswers())
    crossed = await post(address, PATH, completion("a"), (("X-Request-Id", "r2"),))
    assert right.headers["x-request-id"] == "r1"
    assert crossed.headers["x-request-id"] not in ("r1", "r2")
    assert read_text(crossed)[:12] != read_text(right)


@pytest.mark.parametrize("kind", [EndlessKind.BODY_FAST, EndlessKind.EVENT_FAST])
async def test_endless_answer_flows_until_the_other_side_closes(
    nursery: trio.Nursery, kind: EndlessKind
) -> None:
    address = await start_engine(nursery)
    await control(address, AnswerWithoutEnd(kind))
    connection = await connect(address, 1_000.0)
    body = msgspec.json.encode(completion("a"))
    await connection.send("POST", PATH, (), body)
    assert (await connection.read_head()).status == 200
    received_bytes = 0
    while received_bytes < 20 * FAST_BYTES:
        received_bytes += len(await connection.read_body_chunk() or b"")
    await connection.close()
    assert (await post(address, PATH, completion("a"))).status == 200
    counters = await read(address, "/control", EngineCounters)
    assert sum(counters.executions.values()) == 2


async def test_refused_requests_are_not_executed(nursery: trio.Nursery) -> None:
    address = await start_engine(nursery)
    await control(address, RefuseRequests(True))
    assert (await post(address, PATH, completion("a"))).status == 503
    await control(address, RefuseRequests(False))
    headers = (("X-Weights-Version", "w2"),)
    assert (await post(address, PATH, completion("a"), headers)).status == 412
    counters = await read(address, "/control", EngineCounters)
    assert counters.executions == {}
    assert counters.refused == 2


async def test_orders_load_weights_and_old_fences_are_refused(
    nursery: trio.Nursery,
) -> None:
    # The lease holder with fence 5 loads w2. An order of an earlier holder with fence
    # 4 is refused, as is one that expects weights that are no longer loaded.
    platform = await start_platform(nursery)
    options = msgspec.structs.replace(FAST, checks_fence=True, weight_store=platform)
    address = await start_engine(nursery, options)
    load = {"order_id": "o1", "fence": 5, "kind": "load", "weights_version": "w2"}
    answer = await post(address, "/v1/orders", load)
    assert answer.status == 200
    assert (
        msgspec.json.decode(answer.body, type=EngineStateBody).weights_version == "w2"
    )
    old = {**load, "order_id": "o2", "fence": 4, "weights_version": "w1"}
    refused = await post(address, "/v1/orders", old)
    assert (refused.status, refused.body) == (409, b'{"reason":"stale_fence"}')
    other = {**load, "order_id": "o3", "expected_weights_version": "w1"}
    refused = await post(address, "/v1/orders", other)
    assert (refused.status, refused.body) == (409, b'{"reason":"unexpected_state"}')


async def test_engine_without_fence_check_obeys_old_orders(
    nursery: trio.Nursery,
) -> None:
    address = await start_engine(nursery)
    for fence in (5, 4):
        order = {"order_id": f"o{fence}", "fence": fence, "kind": "adapter"}
        answer = await post(address, "/v1/orders", {**order, "adapter": f"a{fence}"})
        assert answer.status == 200
    state = await read(address, "/v1/state", EngineStateBody)
    assert state.adapters == ("a4", "a5")


async def test_late_answer_runs_before_it_is_given(nursery: trio.Nursery) -> None:
    # The caller times out waiting for the head, but the request was executed.
    address = await start_engine(nursery)
    await control(address, DelayAnswers(delay_ms=3_600_000))
    with pytest.raises(ConnectionFailedError):
        body = msgspec.json.encode(completion("a"))
        headers = (("X-Request-Id", "r1"),)
        await fetch(address, "POST", PATH, headers, body, timeout_ms=300)
    counters = await read(address, "/control", EngineCounters)
    assert counters.executions == {"r1": 1}
    assert (await post(address, PATH, completion("a"))).status == 200


async def test_unreadable_request_is_refused_and_the_engine_lives(
    nursery: trio.Nursery,
) -> None:
    address = await start_engine(nursery)
    assert (await post(address, PATH, {"model": 1})).status == 400
    headers = (("X-Priority", "urgent"),)
    assert (await post(address, PATH, completion("a"), headers)).status == 400
    assert (await post(address, "/control", {"fault": "unknown"})).status == 400


async def test_order_is_carried_out_though_its_sender_hangs_up(
    nursery: trio.Nursery,
) -> None:
    # The node that sent the order dies during the load. If the load were abandoned,
    # the engine would stay in the loading state forever and block a roll-out.
    options = msgspec.structs.replace(FAST, load_weights_ms=1_000.0)
    address = await start_engine(nursery, options)
    connection = await connect(address, 5_000)
    order = {"order_id": "o1", "fence": 5, "kind": "load", "weights_version": "w2"}
    await connection.send("POST", "/v1/orders", (), msgspec.json.encode(order))
    with trio.fail_after(10):
        while not (await read(address, "/v1/state", EngineStateBody)).is_loading:
            await trio.sleep(0.005)
        await connection.close()
        while (await read(address, "/v1/state", EngineStateBody)).is_loading:
            await trio.sleep(0.005)
    state = await read(address, "/v1/state", EngineStateBody)
    assert state.weights_version == "w2"
