"""Emulate a replica that runs no model, with a number of slots and a short queue."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from toucanyard.names import EndpointName
from toucanyard_emulator.engine import Availability, JobOutcome
from toucanyard_emulator.scenario import PlainReplicaSettings
from toucanyard_standins.virtual_clock import VirtualClock

OnEnd = Callable[[JobOutcome], None]


class PlainReplica:
    """A replica of a plain service."""

    def __init__(
        self, name: EndpointName, settings: PlainReplicaSettings, clock: VirtualClock
    ) -> None:
        self.name = name
        self.availability = Availability.UP
        self._shape = settings
        self._clock = clock
        self._running = 0
        self._queue: deque[tuple[float, OnEnd]] = deque()

    def submit(self, work_ms: float, on_end: OnEnd) -> None:
        """Run, queue or refuse a call."""
        if self._running < self._shape.slots:
            self._run(work_ms, on_end)
        elif len(self._queue) < self._shape.queue:
            self._queue.append((work_ms, on_end))
        else:
            on_end(JobOutcome.REFUSED)

    def _run(self, work_ms: float, on_end: OnEnd) -> None:
        self._running += 1
        self._clock.call_after(work_ms, lambda: self._end(on_end))

    def _end(self, on_end: OnEnd) -> None:
        self._running -= 1
        on_end(JobOutcome.DONE)
        if self._queue:
            self._run(*self._queue.popleft())
