"""Answers of replicas that never end."""

from __future__ import annotations

import msgspec
import pytest
import trio

from support.endless import (
    CHUNK,
    CHUNKED,
    INFORMATIONAL,
    MAX_SOCKET_BYTES,
    UNFRAMED,
    serve_endlessly,
)
from toucanyard.byte_limits import ByteLimits
from toucanyard.crash_detector import Reachability
from toucanyard.names import ReplicaId
from toucanyard.oversized_read_pace import OversizedReadPace
from toucanyard_node.held_bytes import ReceivedBytes
from toucanyard_platform.json_answers import AnswerInvalidError
from toucanyard_platform.prompt_block_client import PromptBlockClient, decode_page
from toucanyard_platform.replica_client import ReplicaClient

from .stub_server import serve
from .test_replica_client import ORDER, REPORT

LEAVING = CHUNKED.replace(b"\r\n\r\n", b"\r\nServer-Leaving: 1\r\n\r\n")
ENDLESS = [(CHUNKED, CHUNK), (UNFRAMED, b" " * 65_536), (INFORMATIONAL, INFORMATIONAL)]
IDS = ["chunks", "no length", "informational"]
REPLICA = ReplicaId("i-1")


@pytest.mark.parametrize(("head", "part"), ENDLESS, ids=IDS)
async def test_report_without_end_is_given_up_at_its_bound(
    head: bytes, part: bytes
) -> None:
    """Guards against a node that grows by what a replica sends until it is closed."""
    async with serve_endlessly(head, part) as (address, server):
        answer = await ReplicaClient().read_state(address, REPLICA)
        order = msgspec.structs.replace(ORDER, address=address)
        reply = await ReplicaClient().send_order(order)
    assert answer.state is None
    assert reply.status is None
    limit_bytes = 2 * ByteLimits().max_report_bytes
    assert server.sent_bytes <= limit_bytes + 2 * MAX_SOCKET_BYTES


@pytest.mark.parametrize(("head", "part"), ENDLESS, ids=IDS)
async def test_block_events_without_end_are_given_up_at_their_bound(
    head: bytes, part: bytes
) -> None:
    async with serve_endlessly(head, part) as (address, server):
        answer = await PromptBlockClient().read_prompt_blocks(address, 0, 1_000.0)
    assert answer.page is None
    limit_bytes = ByteLimits().max_cache_page_bytes
    assert server.sent_bytes <= limit_bytes + MAX_SOCKET_BYTES


async def test_reports_of_one_replica_without_end_are_read_at_a_bounded_pace() -> None:
    """Guards against reading an endless report whole each time it is asked for."""
    received = ReceivedBytes(ByteLimits())
    async with serve_endlessly(LEAVING) as (address, _):
        client = ReplicaClient(received)
        answers = [await client.read_state(address, REPLICA) for _ in range(10)]
    for answer in answers:
        assert answer.reach is Reachability.ANSWERED
        assert answer.state is None
        assert answer.statement.is_leaving
    assert received.reports.exceeded.total() == 1
    assert received.reports.total_bytes == 0
    assert received.reports.peak_bytes <= ByteLimits().max_report_bytes


async def test_report_is_read_again_once_its_replica_is_sound() -> None:
    pace = OversizedReadPace()
    client = ReplicaClient(pace=pace)
    async with serve_endlessly() as (address, _):
        await client.read_state(address, REPLICA)
    async with serve(lambda _: (200, (), REPORT)) as (address, _):
        answer = await client.read_state(address, REPLICA)
        assert answer.state is None
        await trio.sleep(pace.compute_wait(REPLICA, trio.current_time() * 1000) / 1000)
        answer = await client.read_state(address, REPLICA)
    assert answer.state is not None
    assert not pace.is_paced(REPLICA)


async def test_holder_of_endless_events_is_read_at_a_bounded_pace() -> None:
    """Guards against 38 s of processor time for events without end in 14 s."""
    received = ReceivedBytes(ByteLimits())
    async with serve_endlessly() as (address, server):
        client = PromptBlockClient(received)
        answers = [
            await client.read_prompt_blocks(address, 0, 1_000.0) for _ in range(10)
        ]
    assert all(each.page is None for each in answers)
    assert all(each.retry_ms > 0.0 for each in answers)
    assert len(server.requests) == 1
    assert received.reports.exceeded.total() == 1


async def test_endless_events_of_many_holders_fit_one_sum() -> None:
    """Guards against a node that grows with the number of endless answers."""
    received = ReceivedBytes(ByteLimits())
    async with serve_endlessly(pause_s=0.001) as (address, _):
        clients = [PromptBlockClient(received) for _ in range(12)]
        async with trio.open_nursery() as nursery:
            for client in clients:
                nursery.start_soon(client.read_prompt_blocks, address, 0, 1_000.0)
    assert received.reports.peak_bytes <= ByteLimits().max_held_report_bytes
    assert received.reports.total_bytes == 0


@pytest.mark.parametrize(
    "body",
    [
        b'{"bootEpoch":1,"nextToken":1,"events":[' + b"[]," * 600_000 + b"[]]}",
        b'{"bootEpoch":1,"nextToken":1,"x":[' + b"{}," * 600_000 + b"{}]}",
    ],
    ids=["events", "unknown field"],
)
def test_page_of_many_empty_items_is_refused_undecoded(body: bytes) -> None:
    with pytest.raises(AnswerInvalidError, match="items"):
        decode_page(body)
