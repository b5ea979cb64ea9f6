"""Queue gossip updates for peers and forward each one once to each peer.

A newer update on a subject replaces the one that is queued; an equal or older one is
dropped and not forwarded, which ends its propagation.
"""

from __future__ import annotations

from typing import Final

import msgspec

from toucanyard.digests import GossipUpdate, Leaving, Recovered, Restarted, Suspected
from toucanyard.names import NodeName

_MAX_UPDATES: Final = 4_096
_FAN_OUT: Final = 4
"""Number of peers to which a peer's update is forwarded; all neighbors do the same."""
_AGE_TOLERANCE_MS: Final = 500.0
"""Ages of the same update may differ by this much after several hops."""


class _QueuedUpdate(msgspec.Struct):
    update: GossipUpdate
    at_ms: float
    received_ms: float
    sent_to: set[NodeName]
    is_own: bool
    sends_left: int
    """How many more peers get the update; the periodic refresh reaches the others."""

    def is_for(self, peer: NodeName) -> bool:
        """Return whether the update is still to be sent to a peer."""
        return self.sends_left > 0 and peer not in self.sent_to


def find_subject(update: GossipUpdate) -> tuple[str, str]:
    """Return the subject of an update, within which newer replaces older."""
    match update:
        case Suspected() | Recovered():
            return update.endpoint, update.source
        case Leaving():
            return update.address, ""
        case Restarted():
            return update.endpoint, ""


class GossipQueue:
    """The newest update on each subject, and the peers that have it.

    Invariant: at most _MAX_UPDATES updates, each younger than `ttl_ms`.
    """

    __slots__ = ("_queued", "_ttl_ms")

    def __init__(self, ttl_ms: float) -> None:
        self._ttl_ms = ttl_ms
        self._queued: dict[tuple[str, str], _QueuedUpdate] = {}

    def enqueue(
        self, update: GossipUpdate, now_ms: float, source: NodeName | None
    ) -> bool:
        """Add an update from a peer, or from this node; return whether it is new."""
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
        # Every node must learn of a leaving VM at once, and few VMs leave.
        is_for_all = is_own or isinstance(update, Leaving)
        sends_left = _MAX_UPDATES if is_for_all else _FAN_OUT
        self._queued[subject] = _QueuedUpdate(
            update, at_ms, now_ms, sent_to, is_own, sends_left
        )
        return True

    def take_for(
        self, peer: NodeName, now_ms: float, limit: int
    ) -> tuple[GossipUpdate, ...]:
        """Return updates for a peer and mark them as sent: own first, then newest.

        Other nodes may not have this node's own updates yet, while those of other
        nodes reach the peer over several paths.
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
        """Return whether an update is queued for a peer."""
        return any(queued.is_for(peer) for queued in self._queued.values())

    def forget_peer(self, peer: NodeName) -> None:
        """Queue all updates again for a peer that reconnects; it may have restarted."""
        for queued in self._queued.values():
            if peer in queued.sent_to:
                queued.sent_to.discard(peer)
                queued.sends_left += 1

    def prune(self, now_ms: float) -> None:
        """Drop updates that have expired."""
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
