"""Know which share of limits this node may give out.

Each node stands for an equal share of every limit. A group of nodes, those that report
to one hub or a single node of a mesh, pledges its shares to one home for each slice of
what is limited, and says so in every status. A home gives out what was pledged to it
and nothing else: as a group names one home at a time, the shares of all homes never
exceed the limit, whoever is cut from whom.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import msgspec
import xxhash

from toucanyard.names import NodeName
from toucanyard.vm_view import compute_rank

PARTITION_COUNT: Final = 4
"""Slices of what is limited, with a home each, so that no hub answers for all."""
DELEGATION_TTL_MS: Final = 900.0
"""Time after which a pledge that was not renewed has ended. Shorter than the silence
after which its sender takes the link for dead and names another home."""


class ShareDelegation(msgspec.Struct, frozen=True, array_like=True):
    """The homes to which a group gives its shares."""

    nodes: int
    """Nodes of the group."""
    coordinators: tuple[NodeName, ...]
    """By slice of the customers."""


class DelegationTable:
    """Pledges that this node has heard, its own group's among them.

    Invariant: what has accrued grows by no more than the time that passes.
    """

    __slots__ = ("_accrued_s", "_nodes", "_own", "_delegations", "_settled_ms")

    def __init__(self, own: NodeName) -> None:
        self._own = own
        self._delegations: dict[NodeName, tuple[float, ShareDelegation]] = {}
        self._nodes = [0] * PARTITION_COUNT
        """Nodes whose shares are pledged to this one, by slice."""
        self._accrued_s = [0.0] * PARTITION_COUNT
        self._settled_ms = float("-inf")

    def is_known(self, group: NodeName, delegation: ShareDelegation) -> bool:
        """Tell whether a group has pledged the same before."""
        known = self._delegations.get(group)
        return known is not None and known[1] == delegation

    def record(
        self, group: NodeName, delegation: ShareDelegation, now_ms: float
    ) -> None:
        """Take in what a group pledges; it counts from now on."""
        if not self.is_known(group, delegation):
            self._drop(group)
            if len(delegation.coordinators) != PARTITION_COUNT or delegation.nodes <= 0:
                return
            self._count(delegation, delegation.nodes)
        self._delegations[group] = (now_ms, delegation)

    def retain(self, groups: Iterable[NodeName]) -> None:
        """Drop the pledges of groups without a link."""
        for group in self._delegations.keys() - {*groups, self._own}:
            self._drop(group)

    def settle(self, total_nodes: int, now_ms: float) -> list[int]:
        """Add up the time since the last call; return the slices that were lost.

        After a long pause, as of a VM that was suspended, nothing that was pledged
        before counts.
        """
        passed_ms = now_ms - self._settled_ms
        self._settled_ms = now_ms
        self._expire(now_ms)
        lost: list[int] = []
        for number in range(PARTITION_COUNT):
            share = self.compute_share(number, total_nodes)
            if not share or passed_ms > DELEGATION_TTL_MS:
                self._accrued_s[number] = 0.0
                lost.append(number)
            else:
                self._accrued_s[number] += share * passed_ms / 1_000
        return lost

    def compute_share(self, number: int, total_nodes: int) -> float:
        """Return the share of a slice's limits that was pledged here when settled."""
        return min(self._nodes[number] / max(total_nodes, 1), 1.0)

    def find_accrued_s(self, number: int) -> float:
        """Return the time, in s, for which a whole limit was pledged to this node."""
        return self._accrued_s[number]

    def _expire(self, now_ms: float) -> None:
        ended = [
            group
            for group, (heard_ms, _) in self._delegations.items()
            if now_ms - heard_ms > DELEGATION_TTL_MS
        ]
        for group in ended:
            self._drop(group)

    def _drop(self, group: NodeName) -> None:
        known = self._delegations.pop(group, None)
        if known is not None:
            self._count(known[1], -known[1].nodes)

    def _count(self, delegation: ShareDelegation, nodes: int) -> None:
        for number, coordinator in enumerate(delegation.coordinators):
            if coordinator == self._own:
                self._nodes[number] += nodes


def find_partition(subject: str) -> int:
    """Return the slice that a limit belongs to, the same on all nodes."""
    return xxhash.xxh3_64_intdigest(subject.encode()) % PARTITION_COUNT


def choose_coordinators(candidates: Iterable[NodeName]) -> tuple[NodeName, ...]:
    """Return the home of each slice among the nodes that may be one."""
    names = sorted(candidates)
    return tuple(
        max(names, key=lambda name: compute_rank(f"limits {number}", name))
        for number in range(PARTITION_COUNT)
    )
