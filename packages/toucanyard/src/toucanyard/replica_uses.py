"""Know what is under way at each replica, by this node and by its peers.

A replica's own report lags and costs a call. Each node knows its own calls exactly and
tells its peers, so the sum is known everywhere within a status interval.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import msgspec

from toucanyard.link_messages import ReplicaUse
from toucanyard.names import EndpointName, NodeName, RequestId

PEER_USE_KEPT_MS: Final = 1_500.0
"""After this silence a peer's calls don't count any more; it is cut off or dead."""
DEFAULT_TOKENS_PER_MS: Final = 30.0
"""Prompt tokens that an engine reads in a millisecond, until its answers tell."""
SPEED_STEP: Final = 0.1
"""Weight of one answer in the mean of an engine's reading speed."""
MIN_TIMED_TOKENS: Final = 1_000
"""Prompts with fewer unread tokens tell nothing of the reading speed."""


class OwnCall(msgspec.Struct):
    """One call of this node at a replica."""

    sent_ms: float
    tokens: int
    unread_tokens: int
    has_started: bool = False


class Use(msgspec.Struct):
    """What is under way at one replica, over all nodes that are heard from."""

    running: int = 0
    tokens: int = 0
    unread_tokens: int = 0


class ReplicaUses:
    """Calls under way at every replica; owned by one task."""

    __slots__ = ("_own", "_peers", "tokens_per_ms")

    def __init__(self) -> None:
        self._own: dict[EndpointName, dict[RequestId, OwnCall]] = {}
        self._peers: dict[NodeName, tuple[float, dict[EndpointName, ReplicaUse]]] = {}
        self.tokens_per_ms = DEFAULT_TOKENS_PER_MS

    def begin(
        self,
        replica: EndpointName,
        request_id: RequestId,
        tokens: int,
        unread_tokens: int,
        now_ms: float,
    ) -> None:
        """Count a call that is being sent."""
        calls = self._own.setdefault(replica, {})
        calls[request_id] = OwnCall(now_ms, tokens, unread_tokens)

    def note_started(
        self, replica: EndpointName, request_id: RequestId, now_ms: float
    ) -> None:
        """Note that a call's prompt has been read, and how fast."""
        call = self._own.get(replica, {}).get(request_id)
        if call is None or call.has_started:
            return
        call.has_started = True
        took_ms = now_ms - call.sent_ms
        if call.unread_tokens >= MIN_TIMED_TOKENS and took_ms > 0:
            speed = call.unread_tokens / took_ms
            # What waited behind others looks slow. Fast ones tell the engine's speed.
            step = SPEED_STEP if speed > self.tokens_per_ms else SPEED_STEP / 4
            self.tokens_per_ms += step * (speed - self.tokens_per_ms)

    def end(self, replica: EndpointName, request_id: RequestId) -> None:
        """Remove a call that is over."""
        calls = self._own.get(replica)
        if calls is not None:
            calls.pop(request_id, None)
            if not calls:
                del self._own[replica]

    def apply_peer(
        self, peer: NodeName, uses: Iterable[ReplicaUse], now_ms: float
    ) -> None:
        """Take in what a peer has under way."""
        self._peers[peer] = (now_ms, {each.replica: each for each in uses})

    def forget_peer(self, peer: NodeName) -> None:
        """Drop what a peer said; it is gone."""
        self._peers.pop(peer, None)

    def list_own(self) -> tuple[ReplicaUse, ...]:
        """Return this node's calls by replica, to tell peers."""
        return tuple(
            ReplicaUse(
                name,
                len(calls),
                sum(call.tokens for call in calls.values()),
                sum(c.unread_tokens for c in calls.values() if not c.has_started),
            )
            for name, calls in self._own.items()
        )

    def compute(self, replica: EndpointName, now_ms: float) -> Use:
        """Return what all nodes have under way at a replica."""
        use = Use()
        for call in self._own.get(replica, {}).values():
            use.running += 1
            use.tokens += call.tokens
            use.unread_tokens += 0 if call.has_started else call.unread_tokens
        for heard_ms, uses in self._peers.values():
            peer = uses.get(replica)
            if peer is not None and now_ms - heard_ms <= PEER_USE_KEPT_MS:
                use.running += peer.running
                use.tokens += peer.tokens
                use.unread_tokens += peer.unread_tokens
        return use
