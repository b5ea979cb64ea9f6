from __future__ import annotations

import pytest

from standin_examples import read
from toucanyard_node.http_client import ConnectionFailedError, fetch
from toucanyard_standins.harness import open_harness
from toucanyard_standins.plain_service import ServiceCounters
from toucanyard_standins.platform_vms import VmListBody
from toucanyard_standins.processes import HarnessError, parse_ready_line


def test_ready_line_names_addresses() -> None:
    line = "event=listening role=node callers=127.0.0.1:1 operators=127.0.0.1:2"
    assert parse_ready_line(line) == {
        "callers": "127.0.0.1:1",
        "operators": "127.0.0.1:2",
    }


async def test_processes_are_listed_and_ended() -> None:
    async with open_harness() as harness:
        platform = await harness.start_platform("--vm-lag-ms", "0")
        service = await harness.start_service("s1", "north")
        (vm,) = (await read(platform.address, "/vms", VmListBody)).vms
        assert (vm.name, vm.endpoint) == ("s1", service.address)
        assert (await harness.read_counters(service, ServiceCounters)).executions == 0
        await harness.remove_vm("s1")
        assert (await read(platform.address, "/vms", VmListBody)).vms == ()
    assert not platform.is_running()
    with pytest.raises(ConnectionFailedError):
        await fetch(service.address, "GET", "/load")


async def test_process_that_ends_early_is_reported_with_its_output() -> None:
    async with open_harness() as harness:
        with pytest.raises(HarnessError, match="No such option"):
            await harness.start_platform("--no-such-option")
