"""Tests for the node's clock, which advances while the VM is suspended."""

from __future__ import annotations

import time
from pathlib import Path

import pytest
import trio
from click.testing import CliRunner

from toucanyard_node import main as program
from toucanyard_node.boot_clock import BootClock, read_boot_s

SETTINGS = Path(__file__).parents[2] / "examples" / "valdivia" / "node.json"


class SuspendedVm:
    """Simulated clock of a VM that can be suspended."""

    def __init__(self) -> None:
        self.suspended_s = 0.0

    def read_s(self) -> float:
        return time.monotonic() + self.suspended_s


def test_lease_ends_while_the_vm_is_suspended() -> None:
    """The VM of a lease holder is suspended for longer than the lease lasts.

    Otherwise it would continue to send orders alongside the new holder. The lease must
    count as expired at the first check, although no sleep has finished.
    """
    vm = SuspendedVm()

    async def hold() -> bool:
        lease_end_s = trio.current_time() + 10
        with trio.CancelScope(deadline=lease_end_s) as lease:
            vm.suspended_s = 3_600
            await trio.lowlevel.checkpoint()
            await trio.sleep(0)
        return lease.cancelled_caught and trio.current_time() > lease_end_s

    assert trio.run(hold, clock=BootClock(vm.read_s))


def test_waits_are_worked_out_by_the_same_time() -> None:
    vm = SuspendedVm()
    clock = BootClock(vm.read_s)
    deadline_s = clock.current_time() + 10
    vm.suspended_s = 8
    assert clock.deadline_to_sleep_time(deadline_s) <= 2


def test_clock_of_the_system_counts_suspended_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(time, "clock_gettime", lambda clock: float(clock))
    assert read_boot_s() == float(time.CLOCK_BOOTTIME)


def test_program_runs_by_it(monkeypatch: pytest.MonkeyPatch) -> None:
    seen: list[object] = []
    monkeypatch.setattr(program, "configure_logs", lambda *_: None)
    monkeypatch.setattr(trio, "run", lambda *_, clock=None: seen.append(clock))
    result = CliRunner().invoke(program.main, [str(SETTINGS)])
    assert result.exit_code == 0, result.output
    assert isinstance(seen[0], BootClock)
