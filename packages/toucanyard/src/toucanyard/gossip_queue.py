"""Pass news on to peers within a budget, each piece once to each peer.

News on one subject replaces what was known before when it is newer; equal or older
news is dropped, which ends its travel.
"""

from __future__ import annotations

from typing import Final

import msgspec

from toucanyard.digests import GossipUpdate, Leaving, Recovered, Restarted, Suspected
from toucanyard.names import NodeName

_MAX_UPDATES: Final = 4_096
_FAN_OUT: Final = 4
"""To how many peers news from a peer is passed on; all neighbours do the same."""
_AGE_TOLERANCE_MS: Final = 500.0
"""Ages of one piece of news may differ by this much after several hops."""


class _QueuedUpdate(msgspec.Struct):
    update: GossipUpdate
    at_ms: float
    received_ms: float
    sent_to: set[NodeName]
    is_own: bool
    sends_left: int
    """How many more peers are to be told; the refresh reaches those left out."""

    def is_for(self, peer: NodeName) -> bool:
        """Tell whether a peer is to be told."""
        return self.sends_left > 0 and peer not in self.sent_to


def find_subject(update: GossipUpdate) -> tuple[str, str]:
    """Return what a piece of news is about."""
    match update:
        case Suspected() | Recovered():
            return update.endpoint, update.source
        case Leaving():
            return update.address, ""
        case Restarted():
            return update.endpoint, ""


class GossipQueue:
    """Hold the newest piece on each subject and who has it.

    Invariant: at most _MAX_SUBJECTS pieces, each younger than `keep_ms`.
    """

    __slots__ = ("_queued", "_ttl_ms")

    def __init__(self, ttl_ms: float) -> None:
        self._ttl_ms = ttl_ms
        self._queued: dict[tuple[str, str], _QueuedUpdate] = {}

    def enqueue(
        self, update: GossipUpdate, now_ms: float, source: NodeName | None
    ) -> bool:
        """Take in news from a peer or from this node; return whether it is new."""
        if not 0 <= update.age_ms <= self._ttl_ms:
            return False
        at_ms = now_ms - update.age_ms
        subject = find_subject(update)
        known = self._queued.get(subject)
        if known is not None and not _is_newer(update, at_ms, known):
            if source is not None and type(known.update) is type(update):
                known.sent_to.add(source)
            return False
        if known is None and len(self._queued) >= _MAX_UPDATES:
            return False
        sent_to = set() if source is None else {source}
        is_own = source is None
        # A leaving VM must be known everywhere at once, and there are few of them.
        is_for_all = is_own or isinstance(update, Leaving)
        sends_left = _MAX_UPDATES if is_for_all else _FAN_OUT
        self._queued[subject] = _QueuedUpdate(
            update, at_ms, now_ms, sent_to, is_own, sends_left
        )
        return True

    def take_for(
        self, peer: NodeName, now_ms: float, limit: int
    ) -> tuple[GossipUpdate, ...]:
        """Return news for a peer and mark it as told; own first, then the newest.

        Nobody else may have own news yet, while news of others comes many ways.
        """
        waiting = [each for each in self._queued.values() if each.is_for(peer)]
        waiting.sort(key=lambda queued: (not queued.is_own, -queued.received_ms))
        taken: list[GossipUpdate] = []
        for queued in waiting[:limit]:
            queued.sent_to.add(peer)
            queued.sends_left -= 1
            age_ms = int(max(0.0, now_ms - queued.at_ms))
            taken.append(msgspec.structs.replace(queued.update, age_ms=age_ms))
        return tuple(taken)

    def has_updates_for(self, peer: NodeName) -> bool:
        """Tell whether something waits for a peer."""
        return any(queued.is_for(peer) for queued in self._queued.values())

    def forget_peer(self, peer: NodeName) -> None:
        """Tell everything again to a peer that comes back, since it may be empty."""
        for queued in self._queued.values():
            if peer in queued.sent_to:
                queued.sent_to.discard(peer)
                queued.sends_left += 1

    def prune(self, now_ms: float) -> None:
        """Drop what is too old to tell."""
        old = [
            subject
            for subject, queued in self._queued.items()
            if now_ms - queued.at_ms > self._ttl_ms
        ]
        for subject in old:
            del self._queued[subject]


def _is_newer(update: GossipUpdate, at_ms: float, known: _QueuedUpdate) -> bool:
    if isinstance(update, Restarted) and isinstance(known.update, Restarted):
        return update.incarnation != known.update.incarnation and at_ms > known.at_ms
    if type(update) is not type(known.update):
        return at_ms > known.at_ms
    return at_ms > known.at_ms + _AGE_TOLERANCE_MS
