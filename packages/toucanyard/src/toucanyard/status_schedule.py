"""Decide when each kind of peer is due a status.

Statuses are most of what a node of a large fleet does. Sent to every peer at each piece
of news, they would also go back to those who told it, and to nodes that only stand by,
and keep hubs from their calls.
"""

from __future__ import annotations

import enum
from typing import Final

STATUS_MS: Final = 250.0
"""Time between two statuses to one peer."""
URGENT_MS: Final = 75.0
"""Least time between two statuses in a fleet that is not meshed: while weights are
loaded there is news of some replica all the time."""
QUIET_MS: Final = 375.0
"""The same where a status only shows that the node lives: neither end reports to the
other, or the node has no call to report. A link counts as dead after three of them."""


class Audience(enum.Enum):
    """Peers that are told the same."""

    PEERS = enum.auto()
    """All others of a mesh; in a larger fleet the hub that this node reports to, or all
    other hubs."""
    GROUP = enum.auto()
    """The nodes that report to this one."""
    STANDBY = enum.auto()
    """Nodes that this one has a link to in case that their hub dies."""


class StatusSchedule:
    """When each audience was sent its last status, and who is due one early."""

    __slots__ = ("_due", "_sent_ms")

    def __init__(self) -> None:
        self._sent_ms = dict.fromkeys(Audience, float("-inf"))
        self._due: set[Audience] = set()

    def mark_due(self, *audiences: Audience) -> None:
        """Let the next status to some audiences go out as soon as it may."""
        self._due.update(audiences)

    def record_sent(self, audience: Audience, now_ms: float) -> None:
        """Note that an audience is being sent a status."""
        self._sent_ms[audience] = now_ms
        self._due.discard(audience)

    def find_due(
        self, now_ms: float, *, is_full_mesh: bool, is_quiet: bool = False
    ) -> set[Audience]:
        """Return whom to send a status now.

        `is_quiet` tells that peers have nothing to learn of this node's calls.
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
