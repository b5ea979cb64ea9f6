"""Track the nodes: their addresses, which are alive and which accept callers.

The addresses come from the platform's log. Whether a node is alive shows on the link to
it, on which a status arrives several times a second.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Final

import msgspec

from toucanyard.link_messages import NodeUpdate
from toucanyard.link_plan import LinkPlan
from toucanyard.names import Address, NodeName, ServiceName
from toucanyard.node_records import NodeRecord
from toucanyard.vm_view import UNNAMED, Vm, compute_rank

STATUS_TTL_MS: Final = 1_500.0
"""Time without a status after which a node is not named to callers: six missed ones."""
MAX_MESH: Final = 16
"""Number of other nodes up to which every node is linked to every other one."""
HUB_REPORT_TTL_MS: Final = 2_500.0
"""How long a hub's list of live nodes is valid; it is sent at least once a second."""
MAX_ADDRESSES: Final = 64
"""Number of addresses that callers accept in one answer."""


class _LastStatus(msgspec.Struct):
    received_ms: float
    update: NodeUpdate
    unreached: tuple[ServiceName, ...]


class PeerAddress(msgspec.Struct, frozen=True):
    """A node and its address for other nodes."""

    node: NodeName
    address: Address


class NodeDirectory:
    """The nodes as one of them sees them. Invariant: it lists itself first."""

    __slots__ = (
        "_alive",
        "_alive_until_ms",
        "_hub_reports",
        "_known",
        "_last_statuses",
        "_linked",
        "_own",
        "_ranks",
        "_seeds",
        "is_cut_off",
        "is_ready",
        "plan",
    )

    def __init__(self, own: NodeRecord, seeds: Sequence[Address]) -> None:
        self._own = own
        self._seeds: tuple[Address, ...] = ()
        self.apply_seeds(seeds)
        self._known: dict[NodeName, NodeRecord] = {}
        self._last_statuses: dict[NodeName, _LastStatus] = {}
        self._hub_reports: dict[NodeName, tuple[float, dict[NodeName, NodeUpdate]]] = {}
        """By hub: when it reported, and which nodes are alive."""
        self._alive: dict[NodeName, NodeUpdate] = {}
        """The other live nodes, as merged last."""
        self._alive_until_ms = float("-inf")
        """When the first of the merged reports expires."""
        self._ranks: dict[str, int] = {}
        """This node's rank among `_alive` by subject."""
        self._linked: frozenset[NodeName] = frozenset()
        self.plan = LinkPlan(own)
        self.is_ready = False
        self.is_cut_off = False
        """Whether this node can reach no replica."""

    @property
    def own_name(self) -> NodeName:
        """Return the name of this node."""
        return self._own.name

    def apply_seeds(self, seeds: Sequence[Address]) -> None:
        """Set the addresses to connect to while their nodes are not known."""
        self._seeds = tuple(each for each in seeds if each != self._own.peers)

    def apply(self, record: NodeRecord) -> None:
        """Apply the record of a node's addresses."""
        if record.name != self._own.name:
            self._known[record.name] = record

    def remove(self, name: NodeName) -> None:
        """Remove a node that has left permanently."""
        self._known.pop(name, None)
        if self._last_statuses.pop(name, None) is not None:
            self._invalidate_alive()

    def record_status(
        self,
        name: NodeName,
        is_ready: bool,
        now_ms: float,
        *,
        is_cut_off: bool = False,
        unreached: tuple[ServiceName, ...] = (),
    ) -> bool:
        """Record a node's status; return whether others should learn of a change."""
        before = self._last_statuses.get(name)
        update = NodeUpdate(name, is_ready, is_cut_off)
        self._last_statuses[name] = _LastStatus(now_ms, update, unreached)
        if self._alive.get(name) != update:
            self._invalidate_alive()
        return before is None or before.update != update

    def record_hub_report(
        self, hub: NodeName, nodes: Iterable[NodeUpdate], now_ms: float
    ) -> bool:
        """Record which nodes a hub reports as alive; return whether they changed."""
        before_ms, before = self._hub_reports.get(hub, (float("-inf"), {}))
        reported = {each.node: each for each in nodes if self._is_other(each)}
        self._hub_reports[hub] = (now_ms, reported)
        if reported != before or now_ms - before_ms > HUB_REPORT_TTL_MS:
            self._invalidate_alive()
        return reported != before

    def retain_linked(self, names: Iterable[NodeName]) -> None:
        """Drop the statuses of nodes that are no longer linked."""
        self._linked = frozenset(names)
        lost = [name for name in self._last_statuses if name not in self._linked]
        for name in lost:
            del self._last_statuses[name]
        if lost:
            self._invalidate_alive()

    def find_peers(self, now_ms: float) -> list[Vm]:
        """Return the nodes to which this node should be linked."""
        chosen = list(self._known.values())
        if not self.is_full_mesh():
            self.plan.update(chosen, self._linked, now_ms)
            chosen = [self._known[name] for name in self.plan.wanted]
        vms = [
            Vm(name=each.name, domain=each.domain, peers=each.peers) for each in chosen
        ]
        known = {each.peers for each in self._known.values()}
        unknown = [
            Vm(address, self._own.domain, runs=UNNAMED, peers=address)
            for address in self._seeds
            if address not in known
        ]
        return vms + unknown

    def find_primary(self) -> NodeName | None:
        """Return the hub that this node reports to, if there is one."""
        return None if self.is_full_mesh() else self.plan.find_primary(self._linked)

    def find_alive(self, now_ms: float) -> list[NodeName]:
        """Return the other live nodes, known by a status or from a hub."""
        return list(self._get_alive(now_ms))

    def is_alive(self, name: NodeName | None, now_ms: float) -> bool:
        """Return whether another node is alive, by a status or by a hub's report."""
        return name in self._get_alive(now_ms)

    def list_ready_linked(self) -> list[NodeName]:
        """Return the linked nodes whose last status says that they accept callers."""
        return [
            name
            for name, last_status in self._last_statuses.items()
            if last_status.update.is_ready
        ]

    def list_responsive(
        self, names: Iterable[NodeName], now_ms: float
    ) -> list[NodeUpdate]:
        """Return this node and those of `names` with a recent status."""
        updates = [self._build_own_update()]
        for name in names:
            last_status = self._last_statuses.get(name)
            if (
                last_status is not None
                and now_ms - last_status.received_ms <= STATUS_TTL_MS
            ):
                updates.append(last_status.update)
        return updates

    def list_alive(self, now_ms: float) -> list[NodeUpdate]:
        """Return all nodes that are alive, this one first."""
        return [self._build_own_update(), *self._get_alive(now_ms).values()]

    def count_nodes(self, now_ms: float) -> int:
        """Return the number of nodes, alive or not, including this one."""
        return max(self.count_alive(now_ms), 1 + len(self._known))

    def has_others(self) -> bool:
        """Return whether any other node is known, alive or not."""
        return bool(self._known)

    def find_fleet_rank(self, subject: str) -> int:
        """Return how many of all known nodes rank before this one for a subject."""
        own = compute_rank(subject, self._own.name)
        return sum(compute_rank(subject, name) > own for name in self._known)

    def count_alive(self, now_ms: float) -> int:
        """Return the number of live nodes, including this one."""
        return 1 + len(self._get_alive(now_ms))

    def is_full_mesh(self) -> bool:
        """Return whether every node has a link to every other one."""
        return len(self._known) <= MAX_MESH

    def find_rank(self, subject: str, now_ms: float) -> int:
        """Return how many live nodes rank before this one for a subject.

        Nodes that see the same others agree on the order without communicating. One
        that reports to a hub and has no report from it yet counts all known nodes; the
        first may be dead, and nodes ranked after it must not wait for it for long.
        """
        if not self.is_full_mesh() and not self._hub_reports:
            return self.find_fleet_rank(subject)
        alive = self._get_alive(now_ms)
        rank = self._ranks.get(subject)
        if rank is None:
            own = compute_rank(subject, self._own.name)
            rank = sum(compute_rank(subject, name) > own for name in alive)
            self._ranks[subject] = rank
        return rank

    def has_ready_peer(self, now_ms: float) -> bool:
        """Return whether another live node takes calls."""
        alive = self.list_alive(now_ms)
        return any(each.is_ready and each.node != self._own.name for each in alive)

    def find_addresses(self, now_ms: float) -> list[Address]:
        """Return the addresses to which callers may connect.

        Nodes that reach no replica are left out unless all are such nodes.
        """
        nodes = [each for each in self.list_alive(now_ms) if each.is_ready]
        nodes = [each for each in nodes if not each.is_cut_off] or nodes
        ready = [each.node for each in nodes if each.node != self._own.name]
        addresses = [self._own.callers] if len(ready) < len(nodes) else []
        if len(ready) >= MAX_ADDRESSES:
            # Each node omits different ones, so that all of them get callers.
            ready.sort(key=lambda name: compute_rank(self._own.name, name))
        for name in ready[: MAX_ADDRESSES - 1]:
            record = self._known.get(name)
            if record is not None:
                addresses.append(record.callers)
        return addresses

    def find_reaching(self, service: ServiceName, now_ms: float) -> list[PeerAddress]:
        """Return the live nodes that do not say that they can't reach a service."""
        found = []
        for name, update in self._get_alive(now_ms).items():
            record = self._known.get(name)
            last_status = self._last_statuses.get(name)
            unreached = () if last_status is None else last_status.unreached
            if record is None or not update.is_ready or update.is_cut_off:
                continue
            if service not in unreached:
                found.append(PeerAddress(name, record.peers))
        return found

    def _build_own_update(self) -> NodeUpdate:
        return NodeUpdate(self._own.name, self.is_ready, self.is_cut_off)

    def _get_alive(self, now_ms: float) -> dict[NodeName, NodeUpdate]:
        """Return the other live nodes.

        Merged only when it may have changed: a hub of 195 nodes needs it some 200 times
        a second, and merging took most of the time of a status.
        """
        if now_ms > self._alive_until_ms:
            self._ranks.clear()
            self._alive_until_ms = float("inf")
            self._alive = self._merge_alive(now_ms)
        return self._alive

    def _invalidate_alive(self) -> None:
        self._alive_until_ms = float("-inf")

    def _merge_alive(self, now_ms: float) -> dict[NodeName, NodeUpdate]:
        found: dict[NodeName, NodeUpdate] = {}
        for reported_ms, nodes in self._hub_reports.values():
            if self._is_fresh(reported_ms + HUB_REPORT_TTL_MS, now_ms):
                for name, update in nodes.items():
                    # A lagging hub must not direct callers to a node that is stopping.
                    found[name] = _merge(update, found.get(name, update))
        for name, last_status in self._last_statuses.items():
            if self._is_fresh(last_status.received_ms + STATUS_TTL_MS, now_ms):
                found[name] = last_status.update
        return found

    def _is_fresh(self, until_ms: float, now_ms: float) -> bool:
        """Return whether a report is still valid; schedule a merge for its expiry."""
        if now_ms > until_ms:
            return False
        self._alive_until_ms = min(self._alive_until_ms, until_ms)
        return True

    def _is_other(self, update: NodeUpdate) -> bool:
        return update.node != self._own.name


def _merge(update: NodeUpdate, other: NodeUpdate) -> NodeUpdate:
    return NodeUpdate(
        update.node,
        update.is_ready and other.is_ready,
        update.is_cut_off or other.is_cut_off,
    )
