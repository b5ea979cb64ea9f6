"""Decide when each kind of peer is due a status.

Statuses are most of the work of a node in a large fleet. If every update triggered a
status to every peer, statuses would also go back to the sender of the update and to
standby nodes, and take hubs' time from calls.
"""

from __future__ import annotations

import enum
from typing import Final

STATUS_MS: Final = 250.0
"""Interval between statuses to one peer."""
URGENT_MS: Final = 75.0
"""Minimum time between two statuses in a fleet that is not a full mesh: while weights
are loaded, the state of some replica changes all the time."""
QUIET_MS: Final = 375.0
"""Interval where a status only shows that the node is alive: neither end reports to the
other, or the node has no call to report. A link counts as dead after three of them."""


class Audience(enum.Enum):
    """Peers that get the same status."""

    PEERS = enum.auto()
    """All others of a mesh; in a larger fleet the hub that this node reports to, or all
    other hubs."""
    GROUP = enum.auto()
    """The nodes that report to this one."""
    STANDBY = enum.auto()
    """Nodes linked to this one in case their hub fails."""


class StatusSchedule:
    """When the last status was sent to each audience, and which are due one early."""

    __slots__ = ("_due", "_sent_ms")

    def __init__(self) -> None:
        self._sent_ms = dict.fromkeys(Audience, float("-inf"))
        self._due: set[Audience] = set()

    def mark_due(self, *audiences: Audience) -> None:
        """Make the next status to some audiences due as soon as allowed."""
        self._due.update(audiences)

    def record_sent(self, audience: Audience, now_ms: float) -> None:
        """Record that a status is being sent to an audience."""
        self._sent_ms[audience] = now_ms
        self._due.discard(audience)

    def find_due(
        self, now_ms: float, *, is_full_mesh: bool, is_quiet: bool = False
    ) -> set[Audience]:
        """Return the audiences that are due a status now.

        `is_quiet`: whether this node has no calls to report to peers.
        """
        quiet = {Audience.STANDBY} if is_full_mesh or not is_quiet else set(Audience)
        least_ms = 0.0 if is_full_mesh else URGENT_MS
        due = set()
        for audience, sent_ms in self._sent_ms.items():
            interval_ms = QUIET_MS if audience in quiet else STATUS_MS
            if audience in self._due:
                interval_ms = least_ms
            if now_ms - sent_ms >= interval_ms:
                due.add(audience)
        return due
