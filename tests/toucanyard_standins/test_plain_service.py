from __future__ import annotations

import msgspec
import pytest
import trio

from standin_examples import control, post, read, start_service
from toucanyard_node.http_client import ConnectionFailedError
from toucanyard_standins.plain_service import (
    CallAnswer,
    CrossAnswers,
    DieAfterExecution,
    RefuseCalls,
    ServiceCounters,
)

CALL = (("X-Request-Id", "r1"), ("Idempotency-Key", "k1"), ("X-Customer", "c1"))


async def test_each_execution_is_counted(nursery: trio.Nursery) -> None:
    address = await start_service(nursery)
    for _ in range(2):
        answer = await post(address, "/holds", {"seat": 1}, CALL)
    assert msgspec.json.decode(answer.body, type=CallAnswer).customer == "c1"
    assert answer.headers["x-request-id"] == "r1"
    counters = await read(address, "/control", ServiceCounters)
    assert (counters.by_key, counters.by_request) == ({"k1": 2}, {"r1": 2})


async def test_dies_after_execution_before_the_answer(nursery: trio.Nursery) -> None:
    # The connection of the caller closes although the seat is held, so the call must
    # not be retried.
    address = await start_service(nursery)
    before = await read(address, "/control", ServiceCounters)
    await control(address, DieAfterExecution())
    with pytest.raises(ConnectionFailedError):
        await post(address, "/holds", {}, CALL)
    after = await read(address, "/control", ServiceCounters)
    assert after.by_key == {"k1": 1}
    assert after.incarnation != before.incarnation


async def test_refused_call_is_not_executed(nursery: trio.Nursery) -> None:
    address = await start_service(nursery)
    await control(address, RefuseCalls(is_on=True))
    refused = await post(address, "/holds", {}, CALL)
    assert refused.status == 503
    assert refused.headers["x-request-id"] == "r1"
    counters = await read(address, "/control", ServiceCounters)
    assert (counters.executions, counters.refused) == (0, 1)


async def test_crossed_answer_names_another_request(nursery: trio.Nursery) -> None:
    address = await start_service(nursery)
    await control(address, CrossAnswers())
    answer = await post(address, "/holds", {}, CALL)
    assert answer.headers["x-request-id"] != "r1"
