"""Collect samples of replicas' speeds and of ended work until peers are sent them.

A node sees few answers of each replica and few calls, the fleet sees all. A report
carries samples, not an estimate, so a lost one only delays what others learn.
"""

from __future__ import annotations

from typing import Final

from toucanyard.link_messages import LoadReport, SpeedReport, WorkReport
from toucanyard.names import EndpointName, ServiceName

REPORT_MS: Final = 1_000.0
"""Time between two reports to the same peers."""
REPORTED_PER_S: Final = 24.0
"""Replicas reported a second, of about 40 bytes each: a third of what a node may send
for control. The rest follows with the next report."""
MAX_REPORTED: Final = 64
"""Replicas in one report after a while without any, as after a start."""
MAX_PENDING: Final = 5_000
"""Replicas with samples to be reported; beyond it the oldest are dropped."""
MAX_SERVICES: Final = 16
"""Services in one report; the work of others is not reported."""
MAX_SAMPLES: Final = 1_000
"""Samples of one replica in one report; more would not change its mean."""


class LoadReports:
    """What one kind of peers has not been sent yet."""

    __slots__ = ("_reported_ms", "_room", "_speeds", "_work")

    def __init__(self) -> None:
        self._speeds: dict[EndpointName, SpeedReport] = {}
        self._work: dict[tuple[ServiceName, bool], WorkReport] = {}
        self._reported_ms = float("-inf")
        self._room = float(MAX_REPORTED)
        """Replicas that may be reported now."""

    def add_speed(self, report: SpeedReport) -> None:
        """Add samples of a replica's speed."""
        before = self._speeds.get(report.replica)
        if before is not None:
            if before.samples + report.samples > MAX_SAMPLES:
                return
            report = SpeedReport(
                report.replica,
                before.log_sum + report.log_sum,
                before.samples + report.samples,
            )
        self._speeds[report.replica] = report
        if len(self._speeds) > MAX_PENDING:
            del self._speeds[next(iter(self._speeds))]

    def add_work(self, report: WorkReport) -> None:
        """Add the work of calls that have ended."""
        key = (report.service, report.is_short)
        before = self._work.get(key)
        if before is not None:
            report = WorkReport(
                *key,
                before.calls + report.calls,
                before.read_ms + report.read_ms,
                before.slot_ms + report.slot_ms,
            )
        elif len(self._work) >= 2 * MAX_SERVICES:
            return
        self._work[key] = report

    def count_pending(self) -> int:
        """Return the number of replicas with samples to be reported."""
        return len(self._speeds)

    def clear(self) -> None:
        """Forget everything."""
        self._speeds.clear()
        self._work.clear()

    def take(self, now_ms: float) -> LoadReport | None:
        """Return and remove what the next report contains, if one is due."""
        has_content = self._speeds or self._work
        passed_ms = now_ms - self._reported_ms
        if not has_content or passed_ms < REPORT_MS:
            return None
        self._reported_ms = now_ms
        room = self._room + passed_ms / 1_000 * REPORTED_PER_S
        names = list(self._speeds)[: int(min(room, MAX_REPORTED))]
        self._room = min(room, MAX_REPORTED) - len(names)
        speeds = tuple(self._speeds.pop(name) for name in names)
        work = tuple(self._work.values())
        self._work.clear()
        return LoadReport(speeds, work)
