"""Keep a node's time by a clock that counts while its VM is suspended.

Leases, windows of keys and deadlines are measured by this clock. The usual steady clock
stands still while a VM is suspended: its node would wake up, take an ended lease for
its own and send orders beside the next holder, or serve a stream whose peers are gone.
"""

from __future__ import annotations

import time
from collections.abc import Callable

import trio


def read_boot_s() -> float:
    """Return the seconds since the VM started, the suspended ones included.

    Where the system has no such clock, the steady one is the nearest.
    """
    clock = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
    return time.clock_gettime(clock)


class BootClock(trio.abc.Clock):
    """Trio's time as the seconds since the VM started.

    Known limit: a wait under way when the VM is suspended ends late by at most the time
    that was left of it, since the system doesn't count the suspended time of waits. The
    core's tick is 50 ms, so no decision lags by more.
    """

    def __init__(self, read_s: Callable[[], float] = read_boot_s) -> None:
        self._read_s = read_s

    def start_clock(self) -> None:
        """Begin a run; there is nothing to prepare."""

    def current_time(self) -> float:
        """Return the present time in seconds."""
        return self._read_s()

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return how long to sleep until a deadline, in seconds."""
        return deadline - self._read_s()


def find_now_ms() -> float:
    """Return the node's time in milliseconds, by the clock that trio runs by."""
    return trio.current_time() * 1000
