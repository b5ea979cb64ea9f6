"""Manage one process of a harness: addresses, log, resource usage and signals."""

from __future__ import annotations

import os
import signal
import subprocess
from collections.abc import Sequence
from pathlib import Path
from typing import Final

import trio

from toucanyard.names import Address

_READY_TIMEOUT_S: Final = 15.0
_STOP_TIMEOUT_S: Final = 5.0
_POLL_INTERVAL_S: Final = 0.02
_READY_MARK: Final = "event=listening"


class HarnessError(Exception):
    """A process or request of the harness failed."""


class ProcessHandle:
    """One process that the harness started.

    Invariant: `addresses` holds what the process printed when it was ready.
    """

    __slots__ = ("addresses", "log_file", "name", "process")

    def __init__(self, name: str, process: trio.Process, log_file: Path) -> None:
        self.name = name
        self.process = process
        self.log_file = log_file
        self.addresses: dict[str, Address] = {}

    @property
    def address(self) -> Address:
        """The only address of a stand-in, or the address of a node for callers."""
        return self.addresses.get("address") or self.addresses["callers"]

    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self.process.poll() is None

    def read_log(self) -> str:
        """Return the output of the process so far."""
        return self.log_file.read_text(errors="replace")

    def read_cpu_s(self) -> float:
        """Return the CPU time of the process."""
        stat = Path(f"/proc/{self.process.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")

    def read_resident_bytes(self) -> int:
        """Return the resident memory of the process."""
        statm = Path(f"/proc/{self.process.pid}/statm").read_text().split()
        return int(statm[1]) * os.sysconf("SC_PAGE_SIZE")

    def kill(self) -> None:
        """Send SIGKILL to the process."""
        self.process.kill()

    def pause(self) -> None:
        """Suspend the process with SIGSTOP, which it can't observe."""
        self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process with SIGCONT."""
        self.process.send_signal(signal.SIGCONT)

    async def stop(self, timeout_s: float = _STOP_TIMEOUT_S) -> bool:
        """Send SIGTERM; return False if the process was killed after a timeout."""
        if self.is_running():
            self.process.terminate()
        with trio.move_on_after(timeout_s):
            await self.process.wait()
            return True
        await self.kill_and_wait()
        return False

    async def kill_and_wait(self) -> None:
        """Kill the process and wait until it has exited."""
        self.process.kill()
        await self.process.wait()


async def start_process(
    name: str, command: Sequence[str], log_file: Path
) -> ProcessHandle:
    """Start one process that writes its output to a file."""
    with log_file.open("wb") as output:
        process = await trio.lowlevel.open_process(
            command, stdin=subprocess.DEVNULL, stdout=output, stderr=output
        )
    return ProcessHandle(name, process, log_file)


async def wait_ready(handle: ProcessHandle, role: str) -> None:
    """Wait until a process reports its addresses, or raise HarnessError."""
    with trio.move_on_after(_READY_TIMEOUT_S) as scope:
        await _poll_ready(handle, role)
    if scope.cancelled_caught:
        raise HarnessError(f"{handle.name} is not ready:\n{handle.read_log()}")


async def _poll_ready(handle: ProcessHandle, role: str) -> None:
    while True:
        is_running = handle.is_running()
        for line in handle.read_log().splitlines(keepends=True):
            if _READY_MARK in line and f"role={role}" in line and line[-1] == "\n":
                handle.addresses = parse_ready_line(line)
                return
        if not is_running:
            raise HarnessError(f"{handle.name} ended:\n{handle.read_log()}")
        await trio.sleep(_POLL_INTERVAL_S)


def parse_ready_line(line: str) -> dict[str, Address]:
    """Return the addresses in a readiness line by name."""
    fields = dict(part.split("=", 1) for part in line.split() if "=" in part)
    names = ("address", "callers", "operators", "peers")
    return {name: Address(fields[name]) for name in names if name in fields}
