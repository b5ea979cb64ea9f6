"""Track the share of each limit that this node may grant.

Each node holds an equal share of every limit. Limits are hashed into partitions. A
group of nodes, which is those that report to one hub or a single node of a full mesh,
delegates its shares to one coordinator per partition and repeats this in every status
message. A coordinator grants only what is delegated to it. As a group names one
coordinator at a time, the shares of all coordinators never exceed the limit, whatever
the network partition.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import msgspec
import xxhash

from toucanyard.names import NodeName
from toucanyard.vm_view import compute_rank

PARTITION_COUNT: Final = 4
"""Number of partitions, with a coordinator each, so that no hub serves all limits."""
DELEGATION_TTL_MS: Final = 900.0
"""Time after which a delegation that was not renewed expires. Shorter than the silence
after which its sender considers the link dead and names another coordinator."""


class ShareDelegation(msgspec.Struct, frozen=True, array_like=True):
    """The coordinators to which a group delegates its shares."""

    nodes: int
    """Number of nodes in the group."""
    coordinators: tuple[NodeName, ...]
    """By partition."""


class DelegationTable:
    """Delegations that this node has received, including its own group's.

    Invariant: the accrued time grows by no more than the time that passes.
    """

    __slots__ = ("_accrued_s", "_delegations", "_nodes", "_own", "_settled_ms")

    def __init__(self, own: NodeName) -> None:
        self._own = own
        self._delegations: dict[NodeName, tuple[float, ShareDelegation]] = {}
        self._nodes = [0] * PARTITION_COUNT
        """Number of nodes whose shares are delegated to this one, by partition."""
        self._accrued_s = [0.0] * PARTITION_COUNT
        self._settled_ms = float("-inf")

    def is_known(self, group: NodeName, delegation: ShareDelegation) -> bool:
        """Return whether a group's current delegation is the same."""
        known = self._delegations.get(group)
        return known is not None and known[1] == delegation

    def record(
        self, group: NodeName, delegation: ShareDelegation, now_ms: float
    ) -> None:
        """Store or renew a group's delegation, which counts from now on."""
        if not self.is_known(group, delegation):
            self._drop(group)
            if len(delegation.coordinators) != PARTITION_COUNT or delegation.nodes <= 0:
                return
            self._count(delegation, delegation.nodes)
        self._delegations[group] = (now_ms, delegation)

    def retain(self, groups: Iterable[NodeName]) -> None:
        """Drop the delegations of groups without a link."""
        for group in self._delegations.keys() - {*groups, self._own}:
            self._drop(group)

    def settle(self, total_nodes: int, now_ms: float) -> list[int]:
        """Accrue the time since the last call; return the partitions that were lost.

        After a long pause, as when the VM was suspended, earlier delegations no longer
        count.
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
        """Return the share of a partition's limits that is delegated to this node."""
        return min(self._nodes[number] / max(total_nodes, 1), 1.0)

    def find_accrued_s(self, number: int) -> float:
        """Return the accrued time in s, weighted by the share delegated here."""
        return self._accrued_s[number]

    def _expire(self, now_ms: float) -> None:
        ended = [
            group
            for group, (received_ms, _) in self._delegations.items()
            if now_ms - received_ms > DELEGATION_TTL_MS
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
    """Return the partition that a limit belongs to, the same on all nodes."""
    return xxhash.xxh3_64_intdigest(subject.encode()) % PARTITION_COUNT


def choose_coordinators(candidates: Iterable[NodeName]) -> tuple[NodeName, ...]:
    """Return the coordinator of each partition, chosen among the candidates."""
    names = sorted(candidates)
    return tuple(
        max(names, key=lambda name: compute_rank(f"limits {number}", name))
        for number in range(PARTITION_COUNT)
    )
