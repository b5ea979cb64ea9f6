"""Decide when each kind of peer is due a status.

Statuses are most of what a node of a large fleet does. Sent to every peer at each piece
of news, they came back to those who had told it, and to nodes that only stand by; a hub
of 195 nodes then handled a thousand a second.
"""

from __future__ import annotations

import enum
from typing import Final

STATUS_MS: Final = 250.0
"""Time between two statuses to one peer."""
URGENT_MS: Final = 75.0
"""Least time between two statuses in a fleet that is not meshed: while weights are
loaded there is news of some replica all the time."""
STANDBY_MS: Final = 500.0
"""Time between two statuses where neither end reports to the other. They only show that
the peer lives; a link counts as dead after two and a half of them."""


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

    def note_due(self, *audiences: Audience) -> None:
        """Let the next status to some audiences go out as soon as it may."""
        self._due.update(audiences)

    def note_sent(self, audience: Audience, now_ms: float) -> None:
        """Note that an audience is being sent a status."""
        self._sent_ms[audience] = now_ms
        self._due.discard(audience)

    def find_due(self, now_ms: float, *, is_meshed: bool) -> set[Audience]:
        """Return whom to send a status now."""
        least_ms = 0.0 if is_meshed else URGENT_MS
        return {
            audience
            for audience, sent_ms in self._sent_ms.items()
            if now_ms - sent_ms >= self._find_interval(audience, least_ms)
        }

    def _find_interval(self, audience: Audience, least_ms: float) -> float:
        if audience in self._due:
            return least_ms
        return STANDBY_MS if audience is Audience.STANDBY else STATUS_MS
