"""Plan the orders that bring replicas to the target weights, a few at a time.

No order is assumed to have succeeded: each is conditional on the replica's order count,
so a late order has no effect, and a report of the replica shows the result. A replica
is announced to all nodes as loading shortly before it is ordered to load, so that they
send their calls to other replicas instead of having them rejected.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict, deque
from collections.abc import Iterable, Iterator, Sequence
from typing import Final

import msgspec

from toucanyard.crash_detector import Reachability
from toucanyard.failed_loads import FailedLoad, FailedLoads
from toucanyard.leases import Lease
from toucanyard.log_entries import LogEntry
from toucanyard.names import DomainName, EndpointName, NodeName
from toucanyard.relay_events import (
    OrderAnswered,
    ReadReplicaState,
    ReplicaStateRead,
    WeightsOrder,
)
from toucanyard.relay_policy import RolloutPolicy
from toucanyard.replicas import KnownReplica

MANY_REPLICAS: Final = 16
MANY_CHANGING_SHARE: Final = 0.25
"""Share that may change at once if there are more replicas than MANY_REPLICAS. With 0.4
of 70 changing and a quarter dead, 9 to 24 replicas were left for calls, and queues of
seconds remained long after the load."""
ANNOUNCE_MS: Final = 60.0
"""Time from the announcement to the order; it is sent over one link between nodes."""
HUB_ANNOUNCE_MS: Final = 250.0
"""The same for a path of three links over two hubs, each of which adds up to 75 ms."""
REPORT_INTERVAL_MS: Final = 120.0
"""Time between two requests for the report of a replica that is being changed."""
FRESH_MS: Final = 1_000.0
"""Maximum age of a report on which an order is based."""
LOST_MS: Final = 1_200.0
"""Time after which an order without a visible effect is sent again."""
LOADING_MS: Final = 1_500.0
"""How long an announcement is valid unless it is renewed."""
SILENT_MS: Final = 800.0
"""Time without a report after which a replica, dead or unreachable, is skipped."""
POLL_INTERVAL_MS: Final = 500.0
"""Time between two polls of all replicas for reports."""
REPORT_VALID_MS: Final = 1_200.0
"""How long a replica counts as responding after a report: two polls and the time that
reports take."""
SKIP_MS: Final = 2_000.0
"""How long a replica without a report is skipped."""
MAX_LOADING_MS: Final = 6_000.0
"""Time after which a replica that was ordered to load no longer counts as loading."""

INITIAL_LOAD_MS: Final = 2_000.0
"""Assumed duration of a load until loads have been measured."""
LOAD_MEAN_WEIGHT: Final = 0.3
"""Weight of one load in the moving average of their durations."""

_ACCEPTED: Final = 202
_ALREADY_LOADED: Final = 200
_STALE_FENCE: Final = 412
_ENDED: Final = (Reachability.NO_LISTENER, Reachability.REPLACED)
"""Results of a request for a report that show that the replica has ended."""


class _Change(msgspec.Struct):
    """One replica that is being brought to a version."""

    version: int
    announced_ms: float
    ordered_ms: float | None = None
    asked_ms: float = float("-inf")
    report: ReplicaStateRead | None = None


class RolloutBudget(msgspec.Struct, frozen=True):
    """The time that is left for a rollout."""

    left_ms: float
    """Time until new weights have to be in place."""


UNLIMITED: Final = RolloutBudget(float("inf"))
"""A budget without a deadline."""

RolloutAction = ReadReplicaState | WeightsOrder | LogEntry


class WeightsRollout:
    """The changes of replicas under way, known to this node only.

    Invariant: no order is sent without a lease, nor based on a report from before the
    previous order.
    """

    __slots__ = (
        "_announce_ms",
        "_changes",
        "_failures",
        "_reported_ms",
        "_is_paced",
        "_node",
        "_log_entries",
        "_policy",
        "_skipped_ms",
        "_polled_ms",
        "_mean_load_ms",
        "_replicas",
    )

    def __init__(self, node: NodeName, policy: RolloutPolicy) -> None:
        self._node = node
        self._policy = policy
        self._announce_ms = ANNOUNCE_MS
        self._changes: dict[EndpointName, _Change] = {}
        self._failures = FailedLoads()
        self._log_entries: list[LogEntry] = []
        self._skipped_ms: dict[EndpointName, float] = {}
        self._reported_ms: dict[EndpointName, float] = {}
        """When the last report received from each replica was requested."""
        self._replicas: dict[EndpointName, KnownReplica] = {}
        """All replicas at the last plan."""
        self._polled_ms = float("-inf")
        self._is_paced = False
        self._mean_load_ms = INITIAL_LOAD_MS
        """Moving average of how long a replica is out of use for new weights."""

    def list_changing(self) -> list[EndpointName]:
        """Return the replicas that are being changed."""
        return list(self._changes)

    def record_state(self, read: ReplicaStateRead) -> None:
        """Record a replica's report, or its absence."""
        change = self._changes.get(read.replica)
        if read.state is None:
            if read.reach in _ENDED:
                self._record_ended(read, change)
            return
        self._reported_ms[read.replica] = read.asked_ms
        if change is not None:
            change.report = read

    def is_halted(self, version: int, now_ms: float) -> bool:
        """Return whether a version is halted, since replicas crashed loading it."""
        return self._failures.is_halted(version, now_ms)

    def _record_ended(self, read: ReplicaStateRead, change: _Change | None) -> None:
        """Record a replica that has ended, while it loaded or did not."""
        known = self._replicas.get(read.replica)
        if known is None or known.has_left():
            return
        domain = known.replica.domain
        if change is None or change.ordered_ms is None:
            # One that never reported may be an entry of another writer.
            if read.replica in self._reported_ms:
                self._failures.record_ended(read.replica, domain, read.asked_ms)
            return
        failure = FailedLoad(read.replica, domain, change.ordered_ms, read.asked_ms)
        if self._failures.record_failed(change.version, failure):
            self._log_failed(change.version, failure)

    def _log_failed(self, version: int, failure: FailedLoad) -> None:
        is_halted = self.is_halted(version, failure.seen_ms)
        fields: dict[str, object] = {
            "version": version,
            "replica": failure.replica,
            "domain": failure.domain,
            "count": self._failures.count(version),
        }
        name = "rollout_halted" if is_halted else "load_failed"
        self._log_entries.append(LogEntry(name, fields))

    def record_answer(self, answered: OrderAnswered, now_ms: float) -> bool:
        """Record the answer to an order; return whether there is a higher fence."""
        change = self._changes.get(answered.order.replica)
        if change is not None:
            is_taken = answered.status in (_ACCEPTED, _ALREADY_LOADED)
            if not is_taken and answered.status is not None:
                # Rejected: a new report is needed before the order is sent again.
                change.ordered_ms = None
                change.report = None
                change.announced_ms = now_ms
        return answered.status == _STALE_FENCE

    def stop(self, known: Iterable[KnownReplica]) -> None:
        """Discard all changes under way, since the lease has ended."""
        for each in known:
            if each.replica.name in self._changes:
                each.loading_until_ms = float("-inf")
        self._changes.clear()

    def plan(
        self,
        model: str,
        version: int,
        replicas: Sequence[KnownReplica],
        lease: Lease,
        load_of: dict[EndpointName, int],
        now_ms: float,
        announce_ms: float = ANNOUNCE_MS,
        *,
        budget: RolloutBudget = UNLIMITED,
    ) -> list[RolloutAction]:
        """Return the reports to request and the orders to send now."""
        self._announce_ms = announce_ms
        # Polling thousands of replicas would be the node's largest cost. A share of
        # many replicas leaves enough of them, even if some are unavailable.
        is_small = len(replicas) <= MANY_REPLICAS
        self._is_paced = self._policy.is_paced and is_small
        by_name = self._replicas = {each.replica.name: each for each in replicas}
        self._remove_finished(model, version, replicas, now_ms)
        self._announce(model, version, replicas, load_of, budget, now_ms)
        actions: list[RolloutAction] = [
            *self._log_entries,
            *self._poll_replicas(replicas, now_ms),
        ]
        self._log_entries.clear()
        for name, change in self._changes.items():
            known = by_name.get(name)
            if known is None:
                continue
            known.loading_until_ms = now_ms + LOADING_MS
            running = load_of.get(name, 0)
            actions += self._plan_one(model, known, change, lease, running, now_ms)
        return actions

    def _remove_finished(
        self,
        model: str,
        version: int,
        replicas: Sequence[KnownReplica],
        now_ms: float,
    ) -> None:
        """Remove changes that are complete, whose replica is gone, or that time out."""
        by_name = {each.replica.name: each for each in replicas}
        for name, change in list(self._changes.items()):
            known = by_name.get(name)
            if known is None:
                del self._changes[name]
                continue
            state = None if change.report is None else change.report.state
            is_busy = state is not None and state.is_busy
            is_done = known.weights.get(model, 0) >= change.version and not is_busy
            since_ms = change.ordered_ms or change.announced_ms
            is_silent = state is None and now_ms - change.announced_ms > SILENT_MS
            if is_silent:
                self._skipped_ms[name] = now_ms
            if is_done and change.ordered_ms is not None:
                load_ms = now_ms - change.announced_ms
                self._mean_load_ms += LOAD_MEAN_WEIGHT * (load_ms - self._mean_load_ms)
            if is_done or is_silent or now_ms - since_ms > MAX_LOADING_MS:
                known.loading_until_ms = float("-inf")
                del self._changes[name]
            elif change.ordered_ms is None:
                change.version = max(change.version, version)

    def _announce(
        self,
        model: str,
        version: int,
        replicas: Sequence[KnownReplica],
        load_of: dict[EndpointName, int],
        budget: RolloutBudget,
        now_ms: float,
    ) -> None:
        if any(each.weights.get(model, 0) >= version for each in replicas):
            self._failures.forget(version)
        elif self.is_halted(version, now_ms):
            return
        behind = [
            each
            for each in replicas
            if each.replica.name not in self._changes
            and model in each.weights
            and each.weights[model] < version
            and self._is_responding(each, now_ms)
        ]
        if self._is_paced:
            most = self._compute_paced_limit(replicas, behind, budget, now_ms)
        else:
            most = self._compute_limit(len(replicas))
        room = most - len(self._changes)
        if self._failures.is_on_trial(version):
            room = 1 - self._count_unfailed()
        for each in self._choose(version, behind, load_of, room):
            self._changes[each.replica.name] = _Change(version, now_ms)

    def _count_unfailed(self) -> int:
        """Return how many replicas are being changed and are not known to have ended.

        One that crashed during its load keeps its place until it leaves the list.
        """
        return sum(
            not self._failures.has_failed(change.version, name)
            for name, change in self._changes.items()
        )

    def _choose(
        self,
        version: int,
        behind: Sequence[KnownReplica],
        load_of: dict[EndpointName, int],
        count: int,
    ) -> Iterator[KnownReplica]:
        """Choose the replicas to change next, spread over the failure domains.

        The loss of a domain then ends few of those that load, and crashes that are due
        to the weights show in several domains. Within a domain the replica with the
        fewest calls goes first, since its calls end soonest.
        """
        changing = Counter(
            self._replicas[name].replica.domain
            for name in self._changes
            if name in self._replicas
        )
        left: dict[DomainName, deque[KnownReplica]] = defaultdict(deque)
        for each in sorted(behind, key=lambda each: load_of.get(each.replica.name, 0)):
            left[each.replica.domain].append(each)
        failed = {each: self._failures.count_in(version, each) for each in left}
        for _ in range(min(count, len(behind))):
            domain = min(left, key=lambda each: (changing[each], failed[each]))
            yield left[domain].popleft()
            changing[domain] += 1
            if not left[domain]:
                del left[domain]

    def _poll_replicas(
        self, replicas: Sequence[KnownReplica], now_ms: float
    ) -> Iterator[RolloutAction]:
        """Request reports from all replicas, to see which of them respond.

        A replica that has just failed stays listed for seconds. If it counted as
        serving calls, or as loading although the load never begins, too few replicas
        would be left.
        """
        is_due = now_ms - self._polled_ms >= POLL_INTERVAL_MS
        if not self._is_paced or not is_due:
            return
        self._polled_ms = now_ms
        for known in replicas:
            replica = known.replica
            if replica.name not in self._changes:
                yield ReadReplicaState(replica.name, replica.listed_as, replica.address)

    def _compute_limit(self, count: int) -> int:
        """Return how many of `count` replicas may change at once."""
        share = MANY_CHANGING_SHARE if count > MANY_REPLICAS else self._policy.share
        most = max(self._policy.min_changing, int(share * count))
        return min(most, max(count - 1, 1))

    def _compute_paced_limit(
        self,
        replicas: Sequence[KnownReplica],
        behind: Sequence[KnownReplica],
        budget: RolloutBudget,
        now_ms: float,
    ) -> int:
        """Return how many may change at once, by usable replicas and remaining time.

        Replicas that don't respond or fail serve no calls; a share of all replicas
        could take half of the usable ones.
        """
        usable = sum(self._is_responding(each, now_ms) for each in replicas)
        usual = self._compute_limit(len(replicas))
        if usable == len(replicas):
            return usual
        paced = max(int(self._policy.share * usable), 1)
        left_ms = max(budget.left_ms, self._mean_load_ms / 2)
        to_load = len(behind) + len(self._changes)
        needed = math.ceil(to_load * self._mean_load_ms / left_ms)
        return min(max(paced, needed), usual, max(usable - 1, 1))

    def _is_responding(self, known: KnownReplica, now_ms: float) -> bool:
        """Return whether a replica has reported recently and is not skipped."""
        name = known.replica.name
        reported_ms = self._reported_ms.get(name, float("-inf"))
        if self._is_paced and now_ms - reported_ms > REPORT_VALID_MS:
            return False
        return now_ms - self._find_skipped(known) > SKIP_MS

    def _find_skipped(self, known: KnownReplica) -> float:
        return self._skipped_ms.get(known.replica.name, float("-inf"))

    def _plan_one(
        self,
        model: str,
        known: KnownReplica,
        change: _Change,
        lease: Lease,
        running: int,
        now_ms: float,
    ) -> list[RolloutAction]:
        replica = known.replica
        if change.ordered_ms is not None:
            self._check_lost_order(change, now_ms)
        order = self._build_order(model, known, change, lease, running, now_ms)
        if order is not None:
            change.ordered_ms = now_ms
            return [order]
        if now_ms - change.asked_ms >= REPORT_INTERVAL_MS:
            change.asked_ms = now_ms
            return [ReadReplicaState(replica.name, replica.listed_as, replica.address)]
        return []

    def _build_order(
        self,
        model: str,
        known: KnownReplica,
        change: _Change,
        lease: Lease,
        running: int,
        now_ms: float,
    ) -> WeightsOrder | None:
        report = change.report
        if change.ordered_ms is not None or report is None or report.state is None:
            return None
        is_fresh = now_ms - report.asked_ms <= FRESH_MS
        waited_ms = now_ms - change.announced_ms
        is_quiet = waited_ms >= self._announce_ms and not running
        if not is_fresh or report.state.is_busy:
            return None
        if not is_quiet and waited_ms < self._policy.drain_ms:
            return None
        return WeightsOrder(
            replica=known.replica.name,
            listed_as=known.replica.listed_as,
            address=known.replica.address,
            model=model,
            version=change.version,
            holder=self._node,
            fence=lease.fence,
            expected_order_count=report.state.order_count,
            is_under_calls=running > 0,
        )

    def _check_lost_order(self, change: _Change, now_ms: float) -> None:
        """Allow an order that shows no effect to be sent again."""
        ordered_ms = change.ordered_ms
        report = change.report
        if ordered_ms is None or report is None or report.state is None:
            return
        is_newer = report.asked_ms > ordered_ms + LOST_MS
        if is_newer and not report.state.is_busy:
            change.ordered_ms = None
            change.announced_ms = now_ms - self._policy.drain_ms
