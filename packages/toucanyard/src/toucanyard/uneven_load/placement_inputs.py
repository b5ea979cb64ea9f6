"""Combine what is known of uneven replicas and demand into inputs of a placement.

Which of the inputs are used is a policy, so that an experiment can leave one out.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import Final

import msgspec

from toucanyard.candidates import SHORT_SHARE, SHORT_TOKENS
from toucanyard.link_messages import LoadReport, SpeedReport, WorkReport
from toucanyard.names import EndpointName, ServiceName
from toucanyard.relay_policy import UnevenLoadPolicy
from toucanyard.relay_requests import Prompt
from toucanyard.replica_statements import StatedLoad
from toucanyard.replicas import ReplicaDirectory
from toucanyard.uneven_load.length_shares import GroupWork, LengthShares
from toucanyard.uneven_load.load_reports import LoadReports
from toucanyard.uneven_load.replica_speeds import (
    ReplicaSpeeds,
    clip_sample,
    compute_sample,
)


class PlacementInputs(msgspec.Struct, frozen=True):
    """What a placement takes into account besides what runs where."""

    factors: dict[EndpointName, float] = {}
    """Speeds relative to the mean; a replica that lacks is average."""
    short_share: float = SHORT_SHARE
    """Share of the replicas that short prompts prefer."""

    def find_factor(self, replica: EndpointName) -> float:
        """Return the speed of a replica relative to the mean."""
        return self.factors.get(replica, 1.0)


EVEN: Final = PlacementInputs()
"""Inputs where replicas are alike."""


class StatedContention(msgspec.Struct, frozen=True):
    """How much longer work took on a replica's machine when it last answered."""

    contention: float
    seen_ms: float


class _ServiceLoad:
    """What is known of one service."""

    __slots__ = ("is_heard", "shares", "slots")

    def __init__(self) -> None:
        self.is_heard = False
        """Whether a replica has stated its contention to this node itself."""
        self.shares = LengthShares()
        self.slots = 1
        """Slots of a replica, as last listed or stated."""


class UnevenLoad:
    """What one node knows of uneven replicas and demand, by service.

    Invariant: a service of which no replica has stated a contention, to this node or to
    a peer, has the inputs `EVEN`.
    """

    __slots__ = (
        "_directory",
        "_group_reports",
        "_peer_reports",
        "_policy",
        "_services",
        "_stated",
        "speeds",
    )

    def __init__(
        self,
        directory: ReplicaDirectory,
        policy: UnevenLoadPolicy,
    ) -> None:
        self._directory = directory
        self._policy = policy
        self._services: dict[ServiceName, _ServiceLoad] = {}
        self._stated: dict[EndpointName, StatedContention] = {}
        self.speeds = ReplicaSpeeds()
        self._peer_reports = LoadReports()
        self._group_reports = LoadReports()

    def is_active(self, service: ServiceName) -> bool:
        """Return whether a replica of a service has stated its contention."""
        return service in self._services

    def list_active(self) -> Collection[ServiceName]:
        """Return the services of which a replica has stated its contention."""
        return self._services.keys()

    def find_inputs(self, service: ServiceName, now_ms: float) -> PlacementInputs:
        """Return the inputs of a placement on the replicas of a service."""
        load = self._services.get(service)
        if load is None:
            return EVEN
        policy = self._policy
        factors = self.speeds.find_factors(service, now_ms) if policy.speeds else {}
        share = load.shares.share if policy.shares else SHORT_SHARE
        return PlacementInputs(factors, share)

    def record_stated(
        self,
        service: ServiceName,
        replica: EndpointName,
        load: StatedLoad,
        now_ms: float,
    ) -> bool:
        """Record a replica's statement; return whether it is the first of a service."""
        if load.contention is None:
            return False
        known = self._find_or_add(service)
        is_first, known.is_heard = not known.is_heard, True
        known.slots = load.slots
        self._stated[replica] = StatedContention(load.contention, now_ms)
        sample = compute_sample(load.contention)
        self.speeds.record(service, replica, sample, 1.0, now_ms)
        self._report_speed(SpeedReport(replica, sample, 1))
        return is_first

    def find_stated(self, replica: EndpointName) -> StatedContention | None:
        """Return the last contention that a replica stated to this node."""
        return self._stated.get(replica)

    def record_ended(
        self,
        service: ServiceName,
        prompt: Prompt,
        read_ms: float,
        slot_ms: float,
        now_ms: float,
    ) -> None:
        """Count the work of a prompt that has ended.

        `read_ms` is the time that it takes to read, `slot_ms` the time for which it
        occupied a slot.
        """
        if self.is_active(service):
            report = WorkReport(service, is_short(prompt), 1, read_ms, slot_ms)
            self._apply_work(report, now_ms)
            self._peer_reports.add_work(report)
            self._group_reports.add_work(report)

    def apply_report(
        self, report: LoadReport, now_ms: float, *, is_from_group: bool
    ) -> None:
        """Add a peer's samples, and pass them on to the nodes that lack them.

        `is_from_group`: whether the peer reports to this node, which reports to hubs.
        """
        for speed in report.speeds:
            known = self._directory.find(speed.replica)
            if known is None:
                continue
            log_sum = clip_sample(speed.log_sum / speed.samples) * speed.samples
            service = known.replica.service
            self._find_or_add(service).slots = known.replica.slots
            self.speeds.record(service, speed.replica, log_sum, speed.samples, now_ms)
            passed = SpeedReport(speed.replica, log_sum, speed.samples)
            self._report_speed(passed, is_for_peers=is_from_group)
        for work in report.work:
            if not self.is_active(work.service):
                continue
            self._apply_work(work, now_ms)
            self._group_reports.add_work(work)
            if is_from_group:
                self._peer_reports.add_work(work)

    def take_peer_report(self, now_ms: float) -> LoadReport | None:
        """Return what hubs, or all nodes of a mesh, lack of this node and its group."""
        return self._peer_reports.take(now_ms)

    def take_group_report(self, now_ms: float) -> LoadReport | None:
        """Return what the nodes that report to this one lack."""
        return self._group_reports.take(now_ms)

    def drop_group_report(self) -> None:
        """Forget what is kept for other nodes, as none reports to this one."""
        self._group_reports.clear()

    def retain(self, known: Collection[EndpointName]) -> None:
        """Forget all other replicas."""
        self.speeds.retain(known)
        for name in self._stated.keys() - set(known):
            del self._stated[name]

    def _find_or_add(self, service: ServiceName) -> _ServiceLoad:
        load = self._services.get(service)
        if load is None:
            load = self._services[service] = _ServiceLoad()
        return load

    def _apply_work(self, work: WorkReport, now_ms: float) -> None:
        load = self._services[work.service]
        done = GroupWork(float(work.calls), work.read_ms, work.slot_ms)
        load.shares.record(done, load.slots, now_ms, is_short=work.is_short)

    def _report_speed(self, report: SpeedReport, *, is_for_peers: bool = True) -> None:
        self._group_reports.add_speed(report)
        if is_for_peers:
            self._peer_reports.add_speed(report)


def is_short(prompt: Prompt) -> bool:
    """Return whether a prompt belongs to the group of short ones."""
    return prompt.count_tokens() <= SHORT_TOKENS
