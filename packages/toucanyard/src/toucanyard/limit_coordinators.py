"""Choose the coordinators of limits, and track the shares delegated to this node.

In a full mesh each node delegates its own share to a coordinator; in a larger fleet
each hub delegates those of its group. A node that reaches no hub becomes its own
coordinator after a timeout, with its own share only.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from typing import Final

from toucanyard.limit_buckets import LimitBuckets
from toucanyard.limit_delegations import (
    PARTITION_COUNT,
    DelegationTable,
    ShareDelegation,
    choose_coordinators,
    find_partition,
)
from toucanyard.names import NodeName
from toucanyard.node_directory import NodeDirectory
from toucanyard.relay_policy import LimitStrategy

UPDATE_MS: Final = 100.0
"""Interval between updates of the candidates for coordinator."""
HUB_LOSS_TIMEOUT_MS: Final = 1_500.0
"""Time without a hub after which a node uses its own share. By then its hub has
detected the lost link and no longer delegates that share."""


class LimitCoordinators:
    """The coordinators as one node sees them, for limits of all kinds.

    Invariant: this node's share counts in one group at a time, and its group names one
    coordinator per partition.
    """

    def __init__(
        self,
        node_directory: NodeDirectory,
        count_group: Callable[[], int],
        knows_nodes: Callable[[], bool],
        strategy: LimitStrategy,
    ) -> None:
        self._node_directory = node_directory
        self.own = node_directory.own_name
        self._count_group = count_group
        self._knows_nodes = knows_nodes
        self._strategy = strategy
        self.delegations = DelegationTable(self.own)
        self._all_buckets: list[LimitBuckets] = []
        self.linked: frozenset[NodeName] = frozenset()
        self._candidates: frozenset[NodeName] = frozenset()
        self.coordinators: tuple[NodeName, ...] = ()
        """By partition; empty while this node delegates to nobody."""
        self._hub_seen_ms: float | None = None
        """When this node last had a hub; None before its first tick."""
        self._updated_ms = float("-inf")
        self.total = 1
        """Number of nodes that hold a share of each limit."""
        self.delegation: ShareDelegation | None = None
        """The delegation of this node's group, as sent to peers."""

    def add_buckets(self, buckets: LimitBuckets) -> None:
        """Register buckets whose partitions are dropped when their delegations end."""
        self._all_buckets.append(buckets)

    def update_links(self, names: Collection[NodeName], now_ms: float) -> None:
        """Apply which peers are linked now."""
        self.linked = frozenset(names)
        self.delegations.retain(names)
        self._update(now_ms)

    def tick(self, now_ms: float) -> bool:
        """Update coordinators and delegations; return whether an update was due."""
        is_due = now_ms - self._updated_ms >= UPDATE_MS
        if is_due:
            self._update(now_ms)
        return is_due

    def clear_delegation(self) -> None:
        """Delegate nothing, as there is no limit."""
        self.delegation = None

    def receive_delegation(
        self, sender: NodeName, delegation: ShareDelegation, now_ms: float
    ) -> None:
        """Apply a peer's delegation of its group's shares."""
        if sender not in self.linked:
            # Received after the link was lost, so its end would not be detected.
            return
        if not self.delegations.is_known(sender, delegation):
            self.settle(now_ms)
        self.delegations.record(sender, delegation, now_ms)

    def settle(self, now_ms: float) -> None:
        """Accrue what has been delegated to this node until now."""
        lost = self.delegations.settle(self.total, now_ms)
        if lost:
            for buckets in self._all_buckets:
                buckets.drop_partitions(lost)

    def find_coordinator(self, subject: str) -> NodeName | None:
        """Return a limit's coordinator; None while this node delegates to nobody."""
        return self.coordinators[find_partition(subject)] if self.coordinators else None

    def find_next_hop(self, subject: str) -> NodeName | None:
        """Return a credit request's next hop: the coordinator or this node's hub."""
        coordinator = self.find_coordinator(subject)
        return (
            self._node_directory.find_primary() if coordinator is None else coordinator
        )

    def compute_share(self, subject: str) -> float:
        """Return the share of a limit that is delegated to this node."""
        return self.delegations.compute_share(find_partition(subject), self.total)

    def compute_shares(self) -> list[float]:
        """Return the shares that are delegated to this node, by partition."""
        return [
            self.delegations.compute_share(number, self.total)
            for number in range(PARTITION_COUNT)
        ]

    def _update(self, now_ms: float) -> None:
        self._updated_ms = now_ms
        self.settle(now_ms)
        self.total = self._node_directory.count_nodes(now_ms)
        candidates = self._find_candidates(now_ms)
        if candidates != self._candidates:
            self._candidates = candidates
            self.coordinators = choose_coordinators(candidates) if candidates else ()
        self.delegation = None
        if self.coordinators:
            nodes = 1 if self._is_single_node_group() else self._count_group()
            self.delegation = ShareDelegation(nodes, self.coordinators)
            self.delegations.record(self.own, self.delegation, now_ms)

    def _find_candidates(self, now_ms: float) -> frozenset[NodeName]:
        """Return the possible coordinators; none while this node delegates nothing."""
        if not self._knows_nodes():
            # This node would regard itself as the whole fleet.
            return frozenset()
        own = frozenset((self.own,))
        if self._strategy is LimitStrategy.EQUAL_SHARES:
            return own
        ready = self._node_directory.list_ready_linked()
        if self._node_directory.is_full_mesh():
            return self._add_own(ready)
        plan = self._node_directory.plan
        if plan.is_hub():
            return self._add_own(name for name in ready if name in plan.hubs)
        if self._hub_seen_ms is None or self._node_directory.find_primary() is not None:
            self._hub_seen_ms = now_ms
        return own if now_ms - self._hub_seen_ms > HUB_LOSS_TIMEOUT_MS else frozenset()

    def _add_own(self, names: Iterable[NodeName]) -> frozenset[NodeName]:
        found = set(names)
        if self._node_directory.is_ready or not found:
            found.add(self.own)
        return frozenset(found)

    def _is_single_node_group(self) -> bool:
        """Return whether this node represents only itself."""
        is_equal = self._strategy is LimitStrategy.EQUAL_SHARES
        return is_equal or self._node_directory.is_full_mesh()
