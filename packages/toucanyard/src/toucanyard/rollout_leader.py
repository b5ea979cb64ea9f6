"""Lead the rollout of new weights while this node holds the lease for orders."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Final

import msgspec

from toucanyard.leases import MAX_FOLLOWERS, Leases
from toucanyard.log_entries import LogEntry
from toucanyard.names import EndpointName, NodeId, ServiceName
from toucanyard.node_directory import NodeDirectory
from toucanyard.relay_events import (
    AppendLease,
    LeaseAppended,
    LeaseRead,
    OrderAnswered,
    ReadLeases,
    ReadReplicaState,
    ReplicaStateRead,
    WeightsOrder,
)
from toucanyard.relay_options import WeightsTimings
from toucanyard.relay_policy import RolloutPolicy
from toucanyard.replica_usage import ReplicaUsage
from toucanyard.replica_weights import ReplicaWeights
from toucanyard.replicas import KnownReplica, ReplicaDirectory
from toucanyard.store_era import StoreEra
from toucanyard.target_weights import TargetWeights, TargetWeightsTable
from toucanyard.weights_rollout import (
    ANNOUNCE_MS,
    HUB_ANNOUNCE_MS,
    RolloutBudget,
    WeightsRollout,
)

FINAL_READ_DELAY_MS: Final = 300.0
"""Time after the end of the work at which candidates read who held the lease."""

SAFE_SHARE: Final = 0.75
"""Share of the deadline for new weights in which a rollout is planned to finish."""

SCAN_INTERVAL_MS: Final = 100.0
"""Time between two scans for outdated replicas. With 70 replicas and a scan at each
tick, scans took a fifth of a node's time for decisions."""

ORDERS_SUBJECT: Final = "orders"
"""Subject by which nodes rank as candidates for the lease."""

RolloutAction = AppendLease | ReadLeases | ReadReplicaState | WeightsOrder | LogEntry


class _Work(msgspec.Struct):
    since_ms: float | None = None
    done_ms: float | None = None


class RolloutLeader:
    """The rollouts of all models, led by the node that holds the lease.

    Invariant: orders are planned only while this node holds the lease.
    """

    __slots__ = (
        "_directory",
        "_weight_targets",
        "_node_directory",
        "_rollouts",
        "_leases",
        "_usage",
        "_weights",
        "_work",
        "_identity",
        "_scanned_ms",
        "_deadline_ms",
        "_is_unreached",
        "_policy",
    )

    def __init__(
        self,
        identity: NodeId,
        timings: WeightsTimings,
        directory: ReplicaDirectory,
        weight_targets: TargetWeightsTable,
        node_directory: NodeDirectory,
        usage: ReplicaUsage,
        weights: ReplicaWeights,
        policy: RolloutPolicy,
        is_unreached: Callable[[ServiceName], bool] = lambda _: False,
        era: StoreEra | None = None,
    ) -> None:
        self._is_unreached = is_unreached
        self._policy = policy
        self._deadline_ms = float(timings.deadline_ms)
        self._identity = identity
        self._directory = directory
        self._weight_targets = weight_targets
        self._node_directory = node_directory
        self._usage = usage
        self._weights = weights
        self._leases = Leases(identity, float(timings.lease_ms), era)
        self._rollouts: dict[str, WeightsRollout] = {}
        self._work = _Work()
        self._scanned_ms = float("-inf")

    def handle(
        self,
        event: LeaseRead | LeaseAppended | ReplicaStateRead | OrderAnswered,
        now_ms: float,
    ) -> list[LogEntry]:
        """Handle an answer of the store or of a replica."""
        match event:
            case LeaseRead():
                return self._leases.apply_read(event, now_ms)
            case LeaseAppended():
                self._leases.apply_append(event, now_ms)
            case ReplicaStateRead():
                self._record_state(event, now_ms)
            case OrderAnswered():
                rollout = self._rollouts.get(event.order.model)
                if rollout is not None and rollout.record_answer(event, now_ms):
                    self._leases.give_up()
        return []

    def list_changing(self) -> list[EndpointName]:
        """Return the replicas that this node is changing."""
        return [
            name
            for rollout in self._rollouts.values()
            for name in rollout.list_changing()
        ]

    def is_busy(self) -> bool:
        """Return whether replicas are known to be outdated or are being changed."""
        return self._work.since_ms is not None or bool(self.list_changing())

    def tick(self, now_ms: float, *, is_leaving: bool = False) -> list[RolloutAction]:
        """Return the requests to send to the store and to replicas now.

        A leaving node completes the work that it has started. If it stopped at once,
        the next node would have to wait for the lease to expire, and a rolling restart
        of all VMs would stop every holder before the weights are in place.
        """
        if not self.is_busy() and now_ms - self._scanned_ms < SCAN_INTERVAL_MS:
            return []
        self._scanned_ms = now_ms
        behind = self._find_behind(now_ms)
        if not behind and not self.list_changing():
            return self._read_after_work(now_ms)
        if any(self._is_unreached(each.replica.service) for each in behind):
            # Another node takes the lease once it expires.
            self._work = _Work()
            self._stop_rollouts()
            return []
        if self._work.since_ms is None:
            self._work = _Work(since_ms=now_ms)
        actions: list[RolloutAction] = []
        holder = self._leases.find_holder()
        is_alive = self._node_directory.is_alive(holder, now_ms)
        rank = self._node_directory.find_rank(ORDERS_SUBJECT, now_ms)
        request = self._leases.tick(
            self._work.since_ms or now_ms, rank, is_alive, now_ms, is_leaving=is_leaving
        )
        if request is not None:
            actions.append(request)
        lease = self._leases.find_lease(now_ms)
        if lease is None:
            self._stop_rollouts()
            return actions
        for model, replicas in self._find_replicas(now_ms).items():
            target = self._weight_targets.find(model)
            if target is None:
                continue
            rollout = self._rollouts.setdefault(
                model, WeightsRollout(self._identity.node, self._policy)
            )
            loads = {
                each.replica.name: self._usage.compute(
                    each.replica.name, now_ms
                ).running
                for each in replicas
            }
            is_near = self._node_directory.is_full_mesh()
            announce_ms = ANNOUNCE_MS if is_near else HUB_ANNOUNCE_MS
            actions += rollout.plan(
                model,
                target.version,
                replicas,
                lease,
                loads,
                now_ms,
                announce_ms,
                budget=self._compute_budget(model, target, replicas, now_ms),
            )
        return actions

    def _stop_rollouts(self) -> None:
        for rollout in self._rollouts.values():
            rollout.stop(self._directory.list_all())

    def _compute_budget(
        self,
        model: str,
        target: TargetWeights,
        replicas: Sequence[KnownReplica],
        now_ms: float,
    ) -> RolloutBudget:
        oldest = min(each.weights.get(model, 0) for each in replicas)
        left_ms = self._deadline_ms * SAFE_SHARE - target.compute_age(oldest, now_ms)
        return RolloutBudget(left_ms)

    def _read_after_work(self, now_ms: float) -> list[RolloutAction]:
        """Read the lease once after the work, since it counts from when it is read."""
        work = self._work
        if work.since_ms is not None:
            self._work = _Work(done_ms=now_ms)
            return []
        is_due = (
            work.done_ms is not None and now_ms - work.done_ms >= FINAL_READ_DELAY_MS
        )
        if not is_due:
            return []
        self._work = _Work()
        if self._node_directory.find_rank(ORDERS_SUBJECT, now_ms) >= MAX_FOLLOWERS:
            return []
        return [ReadLeases(0)]

    def _record_state(self, read: ReplicaStateRead, now_ms: float) -> None:
        if self._is_other_incarnation(read, now_ms):
            return
        self._weights.record_report(read, now_ms)
        for rollout in self._rollouts.values():
            rollout.record_state(read)

    def _is_other_incarnation(self, read: ReplicaStateRead, now_ms: float) -> bool:
        """Return whether a report is of another incarnation than the one requested.

        Its order count would make an order meant for the other incarnation acceptable.
        """
        known = self._directory.find(read.replica)
        if known is None or read.state is None or read.state.born_ms is None:
            return False
        replica, born_ms = known.replica, read.state.born_ms
        if replica.born_ms is None or replica.born_ms == born_ms:
            return False
        self._directory.record_incarnation(replica.listed_as, born_ms, now_ms)
        return True

    def _find_behind(self, now_ms: float) -> list[KnownReplica]:
        return [
            known
            for model, replicas in self._find_replicas(now_ms).items()
            for known in replicas
            if self._is_behind(known, model)
        ]

    def _is_behind(self, known: KnownReplica, model: str) -> bool:
        target = self._weight_targets.find(model)
        return target is not None and known.weights.get(model, 0) < target.version

    def _find_replicas(self, now_ms: float) -> dict[str, list[KnownReplica]]:
        found: dict[str, list[KnownReplica]] = {}
        for known in self._directory.list_served(now_ms):
            for model in known.weights:
                if self._weight_targets.find(model) is not None:
                    found.setdefault(model, []).append(known)
        return found
