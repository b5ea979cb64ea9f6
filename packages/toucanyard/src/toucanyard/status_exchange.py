"""Exchange statuses with peers several times a second.

In a full mesh every node reports its own calls to every other one. In a larger fleet a
node reports to its hub; hubs report their groups to each other, and the whole fleet to
their groups. So each node knows the running calls of all nodes, each call is counted
once, and a node's messages do not grow with the fleet.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Iterator
from typing import Final

import msgspec

from toucanyard.fault_location import FaultLocator
from toucanyard.keyed_view import Topic
from toucanyard.limit_delegations import ShareDelegation
from toucanyard.link_messages import (
    Coverage,
    NodeStatus,
    PromptBlockRead,
    PromptStoreUpdate,
    TargetWeightsAge,
)
from toucanyard.names import NodeName
from toucanyard.node_directory import NodeDirectory
from toucanyard.prompt_block_reports import PromptBlockReports
from toucanyard.relay_events import SendToPeer
from toucanyard.replica_gossip import ReplicaGossip
from toucanyard.replica_limits import ReplicaLimits
from toucanyard.replica_reach import ReplicaReach
from toucanyard.replica_usage import FLEET, ReplicaUsage
from toucanyard.request_guard import RequestGuard
from toucanyard.status_schedule import URGENT_MS, Audience, StatusSchedule
from toucanyard.target_weights import TargetWeightsTable
from toucanyard.uneven_load.placement_inputs import UnevenLoad
from toucanyard.view_exchange import ViewExchange

MIN_SHARED_TOKENS: Final = 500
"""Minimum size of a prompt block that is reported to peers in a fleet that is not a
full mesh: there are thousands of small ones a second, and rereading one is cheap."""
NODE_LIST_MS: Final = 1_000.0
"""Interval between lists of live nodes, if none has changed."""
LINK_SHARE: Final = 0.15
"""Share of a hub's link that its statuses may use; calls need the rest."""
MAX_FULL_MS: Final = 1_000.0
"""Longest time between two full statuses; usage reports are kept 1.5 times as long."""
BYTES_PER_MBPS_MS: Final = 125.0
USAGE_BYTES: Final = 22
"""Encoded size of an entry, as the mean in a large fleet."""


class StatusExchange:
    """The statuses that one node sends to its peers and receives from them.

    Invariant: a node's calls are reported to one hub at most, so that no sum over nodes
    counts a call twice, except for a moment while the node changes its hub.
    """

    def __init__(
        self,
        node_directory: NodeDirectory,
        views: ViewExchange,
        usage: ReplicaUsage,
        reports: PromptBlockReports,
        gossip: ReplicaGossip,
        replica_limits: ReplicaLimits,
        guard: RequestGuard,
        weight_targets: TargetWeightsTable,
        list_stores: Callable[[float], Iterable[PromptStoreUpdate]],
        link_mbps: float,
        brittleness: ReplicaLimits,
        reach: ReplicaReach,
        faults: FaultLocator,
        uneven: UnevenLoad,
        find_delegation: Callable[[], ShareDelegation | None] = lambda: None,
    ) -> None:
        self._uneven = uneven
        self._reach = reach
        self._faults = faults
        self._brittleness = brittleness
        self._find_delegation = find_delegation
        self._node_directory = node_directory
        self._views = views
        self._usage = usage
        self._reports = reports
        self._gossip = gossip
        self._replica_limits = replica_limits
        self._guard = guard
        self._weight_targets = weight_targets
        self._list_stores = list_stores
        self._link_mbps = link_mbps
        self._members: set[NodeName] = set()
        """The group of this node: the nodes that report to it."""
        self._remote_reports = PromptBlockReports()
        """Prompt blocks reported by other hubs, to be forwarded to the group."""
        self._schedule = StatusSchedule()
        self._full_ms = dict.fromkeys(Audience, float("-inf"))
        self._full_bytes = 0
        self._node_list_ms = dict.fromkeys(Audience, float("-inf"))
        self._peers: frozenset[NodeName] = frozenset()
        """The linked peers to which this node's group is reported."""

    def mark_due(self) -> None:
        """Make the next status on this node's group due at once."""
        self._schedule.mark_due(Audience.PEERS)

    def has_group(self) -> bool:
        """Return whether other nodes report to this one."""
        return bool(self._members)

    def count_group(self) -> int:
        """Return the number of nodes that this one reports for, including itself."""
        return 1 + len(self._members)

    def record_links(self, names: Collection[NodeName]) -> None:
        """Record the currently linked peers."""
        self._members.intersection_update(names)
        # A hub's report on the fleet stays valid until another hub takes over.
        for name in set(self._usage.list_peers()).difference(names, (FLEET,)):
            self._usage.forget_peer(name)
        peers = frozenset(
            name for name in names if self._find_audience(name) is Audience.PEERS
        )
        # New links between a hub and its group, frequent while all nodes start, are no
        # reason for a status to other hubs.
        if peers != self._peers:
            self._peers = peers
            self._schedule.mark_due(Audience.PEERS)

    def find_targets(
        self,
        topic: Topic,
        sender: NodeName | None = None,
        *,
        is_polled: bool = False,
    ) -> list[NodeName]:
        """Return the peers to which records from a sender or the store are forwarded.

        `is_polled`: whether peers also poll for them and have them at the same time.
        """
        linked = self._views.linked
        if self._node_directory.is_full_mesh():
            return [] if sender is not None else list(linked)
        if topic is Topic.OPERATOR and (
            is_polled or (sender is not None and not self._node_directory.plan.is_hub())
        ):
            # A node that cannot poll shows that in its status.
            return []
        if (
            sender in self._node_directory.plan.hubs
            and self._node_directory.plan.is_hub()
        ):
            # Hubs form a full mesh: the sender has sent them to the other hubs.
            return sorted(self._members - {sender})
        primary = self._node_directory.find_primary()
        return [
            name
            for name in linked
            if name != sender
            and (name in self._members or name == primary or self._is_hub_pair(name))
        ]

    def tick(self, is_ready: bool, now_ms: float) -> Iterator[SendToPeer]:
        """Send the statuses that are due."""
        is_full_mesh = self._node_directory.is_full_mesh()
        if not is_full_mesh:
            self._mark_urgent()
        if not self._members:
            self._uneven.drop_group_report()
        # Hubs report for others, whose calls begin and end all the time.
        is_quiet = not self._members and not self._usage.has_updates()
        audiences = self._schedule.find_due(
            now_ms, is_full_mesh=is_full_mesh, is_quiet=is_quiet
        )
        if audiences:
            yield from self._send(audiences, is_ready, now_ms)

    def send(self, is_ready: bool, now_ms: float) -> Iterator[SendToPeer]:
        """Send a status to every peer."""
        yield from self._send(set(Audience), is_ready, now_ms)

    def _mark_urgent(self) -> None:
        if self._reports.is_urgent or self._usage.is_urgent:
            self._schedule.mark_due(Audience.PEERS)
        if self._remote_reports.is_urgent:
            self._schedule.mark_due(Audience.GROUP)

    def _send(
        self, audiences: set[Audience], is_ready: bool, now_ms: float
    ) -> Iterator[SendToPeer]:
        self._node_directory.is_ready = is_ready
        self._node_directory.is_cut_off = self._reach.is_cut_off(now_ms)
        if Audience.PEERS in audiences:
            # A report to peers on this node's group is also sent to the group.
            audiences.add(Audience.GROUP)
        for each in audiences:
            self._schedule.record_sent(each, now_ms)
        if not self._node_directory.is_full_mesh():
            yield from self._send_planned(audiences, now_ms)
        elif Audience.PEERS in audiences:
            yield from self._send_meshed(now_ms)

    def read(self, sender: NodeName, status: NodeStatus, now_ms: float) -> None:
        """Apply a peer's status: nodes, their calls, replicas and the store."""
        self._reach.record_peer_loss(status.unreached, now_ms)
        has_node_updates = self._node_directory.record_status(
            sender,
            status.is_ready,
            now_ms,
            is_cut_off=status.is_cut_off,
            unreached=status.unreached,
        )
        if status.is_report:
            self._members.add(sender)
        elif sender in self._members:
            self._members.discard(sender)
            self._usage.forget_peer(sender)
        if status.nodes is not None:
            has_node_updates |= self._node_directory.record_hub_report(
                sender, status.nodes, now_ms
            )
        has_long_call = False
        match status.covers:
            case Coverage.GROUP:
                has_long_call = self._usage.apply_peer(sender, status.usage, now_ms)
            case Coverage.FLEET if sender == self._node_directory.find_primary():
                self._usage.apply_fleet(status.usage, now_ms)
        self._forward_block_reads(sender, status.parts, now_ms)
        for each in status.weight_targets:
            self._weight_targets.record_age(
                each.model, each.version, each.age_ms, now_ms
            )
        if status.load is not None:
            is_from_group = sender in self._members
            self._uneven.apply_report(status.load, now_ms, is_from_group=is_from_group)
        self._gossip.apply_restarts(status.restarts, now_ms)
        has_replica_updates = self._gossip.apply(status.replica_updates, sender, now_ms)
        has_replica_updates |= self._guard.apply_gossip(
            status.crashes,
            status.survivals,
            sender,
            now_ms,
            is_relayed=not self._node_directory.is_full_mesh(),
        )
        if has_node_updates or has_replica_updates or has_long_call:
            self._forward_updates(sender, has_node_updates=has_node_updates)

    def _forward_updates(self, sender: NodeName, *, has_node_updates: bool) -> None:
        """Make a status due at once for peers that did not receive the update."""
        if self._node_directory.is_full_mesh():
            return
        match self._find_audience(sender):
            case Audience.PEERS:
                others = [Audience.GROUP]
            case Audience.GROUP:
                others = [Audience.PEERS, Audience.GROUP]
            case Audience.STANDBY:
                # The hub that the sender reports to forwards it to all others.
                return
        self._schedule.mark_due(*others)
        if has_node_updates:
            self._node_list_ms.update(dict.fromkeys(others, float("-inf")))

    def _forward_block_reads(
        self, sender: NodeName, parts: Iterable[PromptBlockRead], now_ms: float
    ) -> None:
        if not self._members:
            return
        reports = self._reports if sender in self._members else self._remote_reports
        for each in parts:
            ready_ms = now_ms + each.ready_in_ms
            reports.record_read(
                each.replica,
                each.scope,
                each.part,
                each.tokens,
                ready_ms,
                is_new=each.ready_in_ms > 0,
            )

    def _send_meshed(self, now_ms: float) -> Iterator[SendToPeer]:
        status = msgspec.structs.replace(
            self._build_base(now_ms),
            covers=Coverage.GROUP,
            usage=self._usage.report(),
            parts=self._reports.take(0, now_ms),
            load=self._uneven.take_peer_report(now_ms),
            delegation=self._find_delegation(),
        )
        for name in self._views.linked:
            yield SendToPeer(name, status)

    def _send_planned(
        self, audiences: set[Audience], now_ms: float
    ) -> Iterator[SendToPeer]:
        base = self._build_base(now_ms)
        messages = {Audience.STANDBY: base}
        parts: tuple[PromptBlockRead, ...] = ()
        if Audience.PEERS in audiences:
            parts = self._reports.take(MIN_SHARED_TOKENS, now_ms)
            messages[Audience.PEERS] = self._build_group(base, parts, now_ms)
        if Audience.GROUP in audiences and self._members:
            parts += self._remote_reports.take(MIN_SHARED_TOKENS, now_ms)
            messages[Audience.GROUP] = self._build_fleet(base, parts, now_ms)
        for name in self._views.linked:
            audience = self._find_audience(name)
            if audience in audiences:
                yield SendToPeer(name, messages[audience])

    def _build_group(
        self, base: NodeStatus, parts: tuple[PromptBlockRead, ...], now_ms: float
    ) -> NodeStatus:
        """Build the status for peers on this node and those that report to it."""
        primary = self._node_directory.find_primary()
        full_ms = self._find_full_interval()
        changes: dict[str, object] = {"parts": parts, "is_report": primary is not None}
        changes["delegation"] = self._find_delegation()
        changes["load"] = self._uneven.take_peer_report(now_ms)
        if _start_interval(self._node_list_ms, Audience.PEERS, NODE_LIST_MS, now_ms):
            nodes = self._node_directory.list_responsive(sorted(self._members), now_ms)
            changes["nodes"] = tuple(nodes)
        if _start_interval(self._full_ms, Audience.PEERS, full_ms, now_ms):
            own = self._usage.report()
            group = self._members - {primary}
            changes["covers"] = Coverage.GROUP
            changes["usage"] = self._usage.sum_group(own, group, now_ms)
        return msgspec.structs.replace(base, **changes)

    def _build_fleet(
        self, base: NodeStatus, parts: tuple[PromptBlockRead, ...], now_ms: float
    ) -> NodeStatus:
        """Build the status on the whole fleet for the nodes that report to this one."""
        full_ms = self._find_full_interval()
        changes: dict[str, object] = {"parts": parts}
        changes["load"] = self._uneven.take_group_report(now_ms)
        if _start_interval(self._node_list_ms, Audience.GROUP, NODE_LIST_MS, now_ms):
            changes["nodes"] = tuple(self._node_directory.list_alive(now_ms))
        if _start_interval(self._full_ms, Audience.GROUP, full_ms, now_ms):
            peers = list(self._usage.list_peers())
            usage = self._usage.sum_group(self._usage.list_own(), peers, now_ms)
            changes["covers"] = Coverage.FLEET
            changes["usage"] = usage
            self._full_bytes = len(usage) * USAGE_BYTES
        return msgspec.structs.replace(base, **changes)

    def _find_audience(self, name: NodeName) -> Audience:
        if (
            self._node_directory.is_full_mesh()
            or name == self._node_directory.find_primary()
        ):
            return Audience.PEERS
        if name in self._members:
            return Audience.GROUP
        return Audience.PEERS if self._is_hub_pair(name) else Audience.STANDBY

    def _build_base(self, now_ms: float) -> NodeStatus:
        return NodeStatus(
            is_ready=self._node_directory.is_ready,
            views=self._views.list_statuses(now_ms),
            replica_updates=tuple(self._gossip.list_updates(now_ms)),
            weight_targets=tuple(
                TargetWeightsAge(*each)
                for each in self._weight_targets.list_recent(now_ms)
            ),
            stores=tuple(self._list_stores(now_ms)),
            covers=Coverage.NOBODY,
            restarts=tuple(self._gossip.list_restarts(now_ms)),
            crashes=tuple(
                each
                for each in self._guard.ledger.list_crashes(now_ms)
                if not self._faults.is_blind(each.replica, now_ms)
            ),
            survivals=tuple(self._guard.ledger.list_survivals(now_ms)),
            replica_limits=tuple(self._replica_limits.list_updates(now_ms)),
            unreached=self._reach.list_unreached(),
            is_cut_off=self._node_directory.is_cut_off,
            brittleness=tuple(self._brittleness.list_updates(now_ms)),
            exchanges_origins=True,
        )

    def _is_hub_pair(self, name: NodeName) -> bool:
        plan = self._node_directory.plan
        return plan.is_hub() and name in plan.hubs

    def _find_full_interval(self) -> float:
        """Return the time between two full statuses that a hub's link can carry."""
        bytes_per_ms = self._link_mbps * BYTES_PER_MBPS_MS * LINK_SHARE
        needed_ms = len(self._members) * self._full_bytes / max(bytes_per_ms, 1.0)
        return min(max(needed_ms, URGENT_MS), MAX_FULL_MS)


def _start_interval(
    last_ms: dict[Audience, float],
    audience: Audience,
    interval_ms: float,
    now_ms: float,
) -> bool:
    """Start an audience's next interval if it is due; return whether it was."""
    is_due = now_ms - last_ms[audience] >= interval_ms
    if is_due:
        last_ms[audience] = now_ms
    return is_due
