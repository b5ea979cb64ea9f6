"""Estimate the load of each endpoint as milliseconds until a new request runs.

A report is old when it arrives, so this node adds the work that it has sent since the
report was taken. The older a report, the less it says about its endpoint and the more
the mean of the pool counts instead: otherwise all nodes would send to the endpoint that
was idle some seconds ago.
"""

from __future__ import annotations

from typing import Final

import msgspec

from toucanyard.names import Incarnation, RequestId

REPORT_HALF_LIFE_MS: Final = 2_000.0
SLOWNESS_STEP: Final = 0.2
SLOWNESS_HALF_LIFE_MS: Final = 20_000.0
MIN_SLOWNESS: Final = 1.0
MAX_SLOWNESS: Final = 10.0


class LoadReport(msgspec.Struct, frozen=True):
    """Load report of an endpoint; a plain service gives only the first three fields."""

    incarnation: Incarnation
    running: int
    age_ms: float
    waiting: int = 0
    queued_blocks: int = 0
    used_blocks: int = 0
    capacity_blocks: int = 0
    model: str = ""
    weights_version: str = ""


class OwnRequest(msgspec.Struct):
    """A request of this node in progress at an endpoint."""

    sent_ms: float
    work_ms: float
    expected_ms: float
    ms_per_block: float = 0.0
    has_started: bool = False
    is_accounted: bool = False
    """Whether a report taken after the dispatch has shown the queue ahead of it."""


class LoadView:
    """Load of an endpoint: its last report and this node's requests in progress."""

    __slots__ = ("_report", "_slowness", "_slowness_ms", "measured_ms", "own")

    def __init__(self) -> None:
        self._report: LoadReport | None = None
        self._slowness = 1.0
        self._slowness_ms = 0.0
        self.measured_ms = float("-inf")
        self.own: dict[RequestId, OwnRequest] = {}

    @property
    def report(self) -> LoadReport | None:
        """Return the newest report."""
        return self._report

    def apply_report(self, report: LoadReport, now_ms: float) -> None:
        """Keep a report unless a later one is known."""
        measured_ms = now_ms - report.age_ms
        is_same = (
            self._report is not None and report.incarnation == self._report.incarnation
        )
        if is_same and measured_ms < self.measured_ms:
            return
        self._report = report
        self.measured_ms = measured_ms
        self._account_for_queue(report)

    def record_dispatch(
        self,
        request_id: RequestId,
        work_ms: float,
        expected_ms: float,
        now_ms: float,
        ms_per_block: float = 0.0,
    ) -> None:
        """Add a request that has been sent to the endpoint."""
        own = OwnRequest(now_ms, work_ms, expected_ms, ms_per_block)
        self.own[request_id] = own

    def record_first_token(
        self, request_id: RequestId, after_ms: float, now_ms: float
    ) -> None:
        """Record that the endpoint has returned the first token."""
        own = self.own.get(request_id)
        if own is None or own.has_started:
            return
        own.has_started = True
        ratio = after_ms / max(own.expected_ms, 20.0)
        ratio = min(max(ratio, 0.5), MAX_SLOWNESS)
        slowness = self.compute_slowness(now_ms)
        self._slowness = slowness + SLOWNESS_STEP * (ratio - slowness)
        self._slowness = max(self._slowness, MIN_SLOWNESS)
        self._slowness_ms = now_ms

    def record_end(self, request_id: RequestId) -> None:
        """Remove a finished request."""
        self.own.pop(request_id, None)

    def compute_slowness(self, now_ms: float) -> float:
        """Return the factor by which first tokens come later than expected.

        It decays towards 1, so that an endpoint that was slow is tried again.
        """
        age_ms = max(now_ms - self._slowness_ms, 0.0)
        weight = 0.5 ** (age_ms / SLOWNESS_HALF_LIFE_MS)
        return float(1.0 + (self._slowness - 1.0) * weight)

    def compute_trust(self, now_ms: float) -> float:
        """Return how far the last report still describes the present, from 0 to 1."""
        if self._report is None:
            return 0.0
        age_ms = max(now_ms - self.measured_ms, 0.0)
        return float(0.5 ** (age_ms / REPORT_HALF_LIFE_MS))

    def compute_own_work(self) -> float:
        """Return the work sent since the report and not yet started, in ms."""
        since_ms = self.measured_ms
        return sum(
            own.work_ms
            for own in self.own.values()
            if own.sent_ms > since_ms and not own.has_started
        )

    def compute_reported_work(
        self, ms_per_block: float, slots: int, slot_ms: float
    ) -> float:
        """Return the wait that the last report predicts, in ms.

        This is the queued computation or the time until a slot is free, since one slot
        is released on average every `slot_ms`.
        """
        report = self._report
        if report is None:
            return 0.0
        since_ms = self.measured_ms
        unreported = sum(own.sent_ms > since_ms for own in self.own.values())
        surplus = report.running + report.waiting + unreported + 1 - slots
        return max(report.queued_blocks * ms_per_block, surplus * slot_ms, 0.0)

    def _account_for_queue(self, report: LoadReport) -> None:
        # Requests that other nodes sent at the same moment are not in the expected
        # wait. Counted as slowness, they would raise the price of the endpoint several
        # times over, and all nodes would recompute its prefixes elsewhere. Only the
        # first report after the dispatch counts: with later ones a slow endpoint would
        # account for its own delay.
        for own in self.own.values():
            waited_ms = self.measured_ms - own.sent_ms
            if own.has_started or own.is_accounted or waited_ms <= 0:
                continue
            own.is_accounted = True
            queued_ms = report.queued_blocks * own.ms_per_block
            own.expected_ms = max(own.expected_ms, waited_ms + queued_ms)
