from __future__ import annotations

import msgspec
import pytest
import trio

from standin_examples import control, post, read, start_platform
from toucanyard.names import Address
from toucanyard_node.http_client import ConnectionFailedError, Response, fetch
from toucanyard_standins.platform import PlatformOptions, RangeBody, ReadBody
from toucanyard_standins.platform_faults import (
    ExpireRecords,
    LoseAnswers,
    Outage,
    PlatformCounters,
    PutVm,
    RemoveVm,
    SetVmLag,
)
from toucanyard_standins.platform_log import Appended, LogOptions
from toucanyard_standins.platform_vms import Vm, VmKind, VmListBody
from toucanyard_standins.platform_weights import WeightStore, WeightStoreOptions


async def append(address: Address, *records: str) -> Response:
    return await post(address, "/log/append", {"records": records})


async def test_records_get_offsets_and_are_read_back(nursery: trio.Nursery) -> None:
    address = await start_platform(nursery)
    first = await append(address, "a", "b")
    second = await append(address, "c")
    assert msgspec.json.decode(first.body, type=Appended) == Appended(0, 2)
    assert msgspec.json.decode(second.body, type=Appended) == Appended(2, 3)
    body = await read(address, "/log/read?from=1&limit=5", ReadBody)
    assert [(each.offset, each.data) for each in body.records] == [(1, "b"), (2, "c")]
    assert (body.oldest, body.next) == (0, 3)


async def test_waiting_reader_wakes_on_an_append(nursery: trio.Nursery) -> None:
    address = await start_platform(nursery)
    bodies: list[ReadBody] = []

    async def wait_and_read() -> None:
        target = "/log/read?from=0&wait_ms=4000"
        bodies.append(await read(address, target, ReadBody))

    async with trio.open_nursery() as waiting:
        waiting.start_soon(wait_and_read)
        await append(address, "a")
    assert [each.data for each in bodies[0].records] == ["a"]


async def test_expired_records_are_gone(nursery: trio.Nursery) -> None:
    # A delayed reader requests an offset that retention has dropped. The response
    # contains the retained range, so that the gap is not silent.
    address = await start_platform(nursery)
    await append(address, "a", "b", "c")
    await control(address, ExpireRecords(before=2))
    answer = await fetch(address, "GET", "/log/read?from=1")
    assert answer.status == 410
    assert msgspec.json.decode(answer.body, type=RangeBody) == RangeBody(2, 3)


async def test_appends_over_the_rate_are_refused(nursery: trio.Nursery) -> None:
    options = PlatformOptions(log=LogOptions(appends_per_s=0.001, burst=2))
    address = await start_platform(nursery, options)
    statuses = [(await append(address, "a")).status for _ in range(3)]
    assert statuses == [200, 200, 429]
    counters = await read(address, "/control", PlatformCounters)
    assert (counters.next_offset, counters.refused_appends) == (2, 1)


async def test_outage_takes_nothing_and_ends(nursery: trio.Nursery) -> None:
    address = await start_platform(nursery)
    await control(address, Outage(is_on=True))
    assert (await append(address, "a")).status == 503
    assert (await fetch(address, "GET", "/log/read?from=0")).status == 503
    assert (await fetch(address, "GET", "/vms")).status == 200
    await control(address, Outage(is_on=False))
    body = await read(address, "/log/read?from=0", ReadBody)
    assert body.next == 0


@pytest.mark.parametrize("is_silent", [False, True])
async def test_lost_answer_leaves_its_effect(
    nursery: trio.Nursery, is_silent: bool
) -> None:
    # The connection of the writer closes or stays silent instead of a response; the
    # records are nevertheless in the log, once.
    address = await start_platform(nursery)
    await control(address, LoseAnswers(count=1, is_silent=is_silent))
    records = msgspec.json.encode({"records": ["a"]})
    with pytest.raises(ConnectionFailedError):
        await fetch(address, "POST", "/log/append", (), records, timeout_ms=500)
    body = await read(address, "/log/read?from=0", ReadBody)
    assert [each.data for each in body.records] == ["a"]
    assert (await append(address, "b")).status == 200


async def test_vm_list_lags(nursery: trio.Nursery) -> None:
    address = await start_platform(nursery)
    vm = Vm("n1", "north", VmKind.NODE, callers="127.0.0.1:1")
    await control(address, PutVm(vm))
    assert (await read(address, "/vms", VmListBody)).vms == (vm,)
    await control(address, SetVmLag(lag_ms=3_600_000.0))
    await control(address, RemoveVm("n1"))
    assert (await read(address, "/vms", VmListBody)).vms == (vm,)


async def test_weight_store_limits_starts(nursery: trio.Nursery) -> None:
    weights = WeightStoreOptions(starts_per_s=0.001, burst=1)
    address = await start_platform(nursery, PlatformOptions(weights=weights))
    assert (await post(address, "/weights/model/w2", {})).status == 200
    refused = await post(address, "/weights/model/w2", {})
    assert refused.status == 429
    assert int(refused.headers["retry-after-ms"]) > 0


def test_loads_slow_down_while_more_than_two_are_under_way() -> None:
    store = WeightStore(WeightStoreOptions(starts_per_s=1.0, burst=4), now_ms=0.0)
    permits = [store.request_permit(now_ms=0.0) for _ in range(5)]
    assert [permit.slowdown for permit in permits if permit] == [1.0, 1.0, 1.5, 2.0]
    assert permits[4] is None
    later = store.request_permit(now_ms=2_000.0)
    assert later is not None and later.slowdown == 1.0
