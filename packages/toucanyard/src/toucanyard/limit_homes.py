"""Choose the homes of limits, and know which shares are pledged to this node.

In a mesh each node pledges its own share to a home, in a larger fleet each hub those of
its group. One that reaches no hub is its own home after a while, with its own share.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from typing import Final

from toucanyard.limit_pledges import (
    SLICES,
    Pledge,
    PledgeBook,
    choose_homes,
    find_slice,
)
from toucanyard.limit_pool import LimitPool
from toucanyard.names import NodeName
from toucanyard.node_directory import NodeDirectory
from toucanyard.relay_policy import LimitWay

UPDATE_MS: Final = 100.0
"""Time between two looks at who may be a home."""
ALONE_MS: Final = 1_500.0
"""Time without a hub after which a node uses its own share. By then its hub has missed
it and pledges it to nobody."""


class LimitHomes:
    """The homes as one node sees them, for limits of all kinds.

    Invariant: this node's share counts in one group at a time, and its group names one
    home a slice.
    """

    def __init__(
        self,
        node_directory: NodeDirectory,
        count_group: Callable[[], int],
        knows_nodes: Callable[[], bool],
        way: LimitWay,
    ) -> None:
        self._roster = node_directory
        self.own = node_directory.own_name
        self._count_group = count_group
        self._knows_nodes = knows_nodes
        self._way = way
        self.pledges = PledgeBook(self.own)
        self._pools: list[LimitPool] = []
        self.linked: frozenset[NodeName] = frozenset()
        self._candidates: frozenset[NodeName] = frozenset()
        self.homes: tuple[NodeName, ...] = ()
        """By slice of what is limited; empty while this node pledges to nobody."""
        self._reached_ms: float | None = None
        """When this node last had a hub; None before its first tick."""
        self._updated_ms = float("-inf")
        self.total = 1
        """Nodes that stand for a share of each limit."""
        self.pledge: Pledge | None = None
        """What peers are told of this node's group."""

    def add_pool(self, pool: LimitPool) -> None:
        """Let a pool drop what it held of slices whose pledges end."""
        self._pools.append(pool)

    def record_links(self, names: Collection[NodeName], now_ms: float) -> None:
        """Take in which peers are linked now."""
        self.linked = frozenset(names)
        self.pledges.retain(names)
        self._update(now_ms)

    def tick(self, now_ms: float) -> bool:
        """Bring homes and pledges up to date; return whether that was due."""
        is_due = now_ms - self._updated_ms >= UPDATE_MS
        if is_due:
            self._update(now_ms)
        return is_due

    def withdraw(self) -> None:
        """Pledge nothing, as there is no limit."""
        self.pledge = None

    def read_pledge(self, sender: NodeName, pledge: Pledge, now_ms: float) -> None:
        """Take in to whom a peer's group gives its shares."""
        if sender not in self.linked:
            # Read after its link was lost: the end of it would go unnoticed.
            return
        if not self.pledges.is_known(sender, pledge):
            self.settle(now_ms)
        self.pledges.record(sender, pledge, now_ms)

    def settle(self, now_ms: float) -> None:
        """Add up what has been pledged to this node until now."""
        lost = self.pledges.settle(self.total, now_ms)
        if lost:
            for pool in self._pools:
                pool.forget_slices(lost)

    def find_home(self, subject: str) -> NodeName | None:
        """Return the home of a limit; None while this node pledges to nobody."""
        return self.homes[find_slice(subject)] if self.homes else None

    def find_next(self, subject: str) -> NodeName | None:
        """Return whom to ask: the home, or the hub that knows it."""
        home = self.find_home(subject)
        return self._roster.find_primary() if home is None else home

    def compute_share(self, subject: str) -> float:
        """Return the share of a limit that is pledged to this node."""
        return self.pledges.compute_share(find_slice(subject), self.total)

    def compute_shares(self) -> list[float]:
        """Return the same for each slice."""
        return [
            self.pledges.compute_share(number, self.total) for number in range(SLICES)
        ]

    def _update(self, now_ms: float) -> None:
        self._updated_ms = now_ms
        self.settle(now_ms)
        self.total = self._roster.count_nodes(now_ms)
        candidates = self._find_candidates(now_ms)
        if candidates != self._candidates:
            self._candidates = candidates
            self.homes = choose_homes(candidates) if candidates else ()
        self.pledge = None
        if self.homes:
            nodes = 1 if self._is_apart() else self._count_group()
            self.pledge = Pledge(nodes, self.homes)
            self.pledges.record(self.own, self.pledge, now_ms)

    def _find_candidates(self, now_ms: float) -> frozenset[NodeName]:
        """Return the nodes that may be a home; none while this node pledges nothing."""
        if not self._knows_nodes():
            # It would take itself for the whole fleet.
            return frozenset()
        own = frozenset((self.own,))
        if self._way is LimitWay.EQUAL_SHARES:
            return own
        ready = self._roster.list_ready_linked()
        if self._roster.is_full_mesh():
            return self._add_own(ready)
        plan = self._roster.plan
        if plan.is_hub():
            return self._add_own(name for name in ready if name in plan.hubs)
        if self._reached_ms is None or self._roster.find_primary() is not None:
            self._reached_ms = now_ms
        return own if now_ms - self._reached_ms > ALONE_MS else frozenset()

    def _add_own(self, names: Iterable[NodeName]) -> frozenset[NodeName]:
        found = set(names)
        if self._roster.is_ready or not found:
            found.add(self.own)
        return frozenset(found)

    def _is_apart(self) -> bool:
        """Tell whether this node stands for itself only."""
        is_equal = self._way is LimitWay.EQUAL_SHARES
        return is_equal or self._roster.is_full_mesh()
