from __future__ import annotations

import msgspec
import pytest

from toucanyard.crash_detector import Reachability
from toucanyard.names import Address, EndpointName, NodeName, ReplicaId
from toucanyard.relay_events import PromptBlockChange, WeightsOrder
from toucanyard_node.relay_ports import StateAnswer
from toucanyard_platform.json_answers import AnswerInvalidError
from toucanyard_platform.prompt_block_client import PromptBlockClient
from toucanyard_platform.replica_client import ReplicaClient, decode_report

from .stub_server import serve

REPORT = (
    b'{"phase":"colocated","models":[{"name":"m","version":1,"adapters":[]}],'
    b'"busy":true,"sequence":2,"queued":1,"active":12,"kvUsed":4,"kvTotal":9}'
)
EVENTS = (
    b'{"bootEpoch":7,"nextToken":120,"lost":false,"events":'
    b'[[119,"+","s1","5c",800,"m"],[120,"-","s1","91",0,"m"]]}'
)
ORDER = WeightsOrder(
    EndpointName("i-1@7"),
    ReplicaId("i-1"),
    Address("10.0.0.1:1"),
    "m",
    2,
    NodeName("n"),
    41,
    3,
)


async def test_report_is_decoded() -> None:
    async with serve(lambda _: (200, (), REPORT)) as (address, seen):
        answer = await ReplicaClient().read_state(address, ReplicaId("i-1"))
    state = answer.state
    assert state is not None
    assert answer.reach is Reachability.ANSWERED
    assert state.weights == (("m", 1),)
    assert state.is_busy
    assert state.order_count == 2
    assert (state.running, state.waiting) == (12, 1)
    assert seen[0].headers["x-expect-instance"] == "i-1"


@pytest.mark.parametrize(
    ("status", "body", "reach"),
    [
        (421, b"", Reachability.REPLACED),
        (503, b"", Reachability.ANSWERED),
        (200, b"no report", Reachability.ANSWERED),
    ],
)
async def test_no_report_tells_whether_the_replica_is_there(
    status: int, body: bytes, reach: Reachability
) -> None:
    async with serve(lambda _: (status, (), body)) as (address, _):
        answer = await ReplicaClient().read_state(address, ReplicaId("i-1"))
    assert answer == StateAnswer(reach)


async def test_replica_that_listens_no_more_is_told_from_a_silent_one() -> None:
    async with serve(lambda _: (200, (), b"")) as (address, _):
        pass
    answer = await ReplicaClient().read_state(address, ReplicaId("i-1"))
    assert answer == StateAnswer(Reachability.NO_LISTENER)


async def test_order_names_what_it_depends_on() -> None:
    async with serve(lambda _: (202, (), b"")) as (address, seen):
        order = msgspec.structs.replace(ORDER, address=address)
        reply = await ReplicaClient().send_order(order)
        assert reply.status == 202
        order = msgspec.structs.replace(order, is_under_calls=True)
        reply = await ReplicaClient().send_order(order)
        assert reply.status == 202
    body = msgspec.json.decode(seen[0].body)
    assert body["fencingToken"] == 41
    assert body["expect"] == 3
    assert body["holder"] == "n"
    assert body["method"] == "defer"
    assert msgspec.json.decode(seen[1].body)["method"] == "in_place"
    reply = await ReplicaClient().send_order(ORDER_TO_CLOSED_PORT)
    assert reply.status is None


ORDER_TO_CLOSED_PORT = msgspec.structs.replace(ORDER, address=Address("127.0.0.1:1"))


async def test_part_events_are_decoded_on_one_connection() -> None:
    async with serve(lambda _: (200, (), EVENTS)) as (address, seen):
        client = PromptBlockClient()
        for _ in range(3):
            page = (await client.read_prompt_blocks(address, 118, 800.0)).page
    assert page is not None
    assert (page.epoch, page.next_number, page.is_lost) == (7, 120, False)
    assert page.changes == (
        PromptBlockChange("s1", "5c", 800),
        PromptBlockChange("s1", "91", 0),
    )
    assert seen[0].headers["wait-ms"] == "800"
    assert seen[0].query["since"] == "118"


async def test_holder_that_refuses_or_is_away_tells_nothing() -> None:
    async with serve(lambda _: (429, (), b"")) as (address, _):
        answer = await PromptBlockClient().read_prompt_blocks(address, 0, 10.0)
        assert answer.page is None
    address = Address("127.0.0.1:1")
    answer = await PromptBlockClient().read_prompt_blocks(address, 0, 10.0)
    assert answer.page is None


async def test_leave_in_the_body_of_a_report_is_read() -> None:
    """Guards against a leave that only the state in a report shows."""
    draining = REPORT.replace(b'"phase"', b'"state":"draining","phase"')
    for body, is_leaving in ((REPORT, False), (draining, True)):
        async with serve(lambda _, body=body: (200, (), body)) as (address, _):  # type: ignore[misc]
            answer = await ReplicaClient().read_state(address, ReplicaId("i-1"))
        assert answer.state is not None
        assert answer.statement.is_leaving == is_leaving


LEAVING = (("Server-Leaving", "1"),)


@pytest.mark.parametrize("status", [200, 202, 421, 429, 503])
async def test_leave_is_read_from_reports_orders_and_block_events(status: int) -> None:
    """Guards against responses to requests of the node itself that are not parsed."""
    async with serve(lambda _: (status, LEAVING, b"{}")) as (address, _):
        order = msgspec.structs.replace(ORDER, address=address)
        state = await ReplicaClient().read_state(address, ReplicaId("i-1"))
        reply = await ReplicaClient().send_order(order)
        blocks = await PromptBlockClient().read_prompt_blocks(address, 0, 10.0)
    assert state.statement.is_leaving
    assert reply.statement.is_leaving
    assert blocks.statement.is_leaving


def test_report_of_a_version_out_of_range_is_no_report() -> None:
    """Guards against a version that no entry in the store could state."""
    model = {"name": "m", "version": 10**16}
    report = {"models": [model], "busy": False, "sequence": 1, "queued": 0, "active": 0}
    with pytest.raises(AnswerInvalidError):
        decode_report(msgspec.json.encode(report))
