"""Clock for trio that includes the time during which the VM was suspended.

Leases, key windows and deadlines are measured with this clock. The monotonic clock
stops while a VM is suspended: after resuming, the node would treat an expired lease as
still held and send orders alongside the new holder, or continue a stream whose peers
have disconnected.
"""

from __future__ import annotations

import time
from collections.abc import Callable

import trio


def read_boot_s() -> float:
    """Return the seconds since the VM booted, including time spent suspended.

    Falls back to the monotonic clock where the system has no boot-time clock.
    """
    clock = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
    return time.clock_gettime(clock)


class BootClock(trio.abc.Clock):
    """A trio clock that returns the seconds since the VM booted.

    Known limitation: a sleep in progress when the VM is suspended ends late by at most
    its remaining time, because the kernel does not count suspended time for timeouts.
    The core ticks every 50 ms, so no decision is delayed by more than that.
    """

    def __init__(self, read_s: Callable[[], float] = read_boot_s) -> None:
        self._read_s = read_s

    def start_clock(self) -> None:
        """Do nothing; the clock needs no setup."""

    def current_time(self) -> float:
        """Return the current time in seconds."""
        return self._read_s()

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return the number of seconds until a deadline."""
        return deadline - self._read_s()


def find_now_ms() -> float:
    """Return the current trio time in milliseconds."""
    return trio.current_time() * 1000
