"""Know what is under way at each replica, by this node and by its peers.

A replica's own report lags and costs a call. Each node knows its own calls exactly and
tells its peers, so the sum is known everywhere within a status interval.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import Final

import msgspec

from toucanyard.link_messages import ReplicaUse
from toucanyard.names import EndpointName, NodeName, RequestId

FLEET: Final = NodeName("(fleet)")
"""Under which the calls of all other nodes are kept that a hub tells of at once."""

PEER_USE_KEPT_MS: Final = 1_500.0
"""After this silence a peer's calls don't count any more; it is cut off or dead."""
DEFAULT_TOKENS_PER_MS: Final = 30.0
"""Prompt tokens that an engine reads in a millisecond, until its answers tell."""
SPEED_STEP: Final = 0.1
"""Weight of one answer in the mean of an engine's reading speed."""
URGENT_TOKENS: Final = 3_000
"""Unread tokens of a call from which peers are told of it at once: it keeps a replica
busy for 80 ms or more, and until they know, they take the replica for idle."""
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

    __slots__ = (
        "_merged",
        "_merged_until_ms",
        "_own",
        "_peers",
        "_told",
        "is_urgent",
        "tokens_per_ms",
    )

    def __init__(self) -> None:
        self._own: dict[EndpointName, dict[RequestId, OwnCall]] = {}
        self._peers: dict[NodeName, tuple[float, dict[EndpointName, ReplicaUse]]] = {}
        self._merged: dict[EndpointName, Use] = {}
        """Sum over all peers that are heard from, valid until `_merged_until_ms`."""
        self._merged_until_ms = float("-inf")
        self._told: dict[EndpointName, ReplicaUse] = {}
        """This node's own calls when it last reported them."""
        self.is_urgent = False
        """A long prompt was sent since this node last reported its calls."""
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
        self.is_urgent = self.is_urgent or unread_tokens >= URGENT_TOKENS

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
    ) -> bool:
        """Take in what a peer has under way; return whether others should know soon."""
        before = self._peers.get(peer, (now_ms, {}))[1]
        now = {each.replica: each for each in uses}
        self._peers[peer] = (now_ms, now)
        self._merged_until_ms = float("-inf")
        return any(
            use.unread_tokens - _find_unread(before, name) >= URGENT_TOKENS
            for name, use in now.items()
        )

    def apply_fleet(self, uses: Iterable[ReplicaUse], now_ms: float) -> None:
        """Take in what all nodes have under way, as far as it is not this node's."""
        others = [_subtract(use, self._told.get(use.replica)) for use in uses]
        self.apply_peer(FLEET, others, now_ms)

    def forget_peer(self, peer: NodeName) -> None:
        """Drop what a peer said; it is gone."""
        self._peers.pop(peer, None)
        self._merged_until_ms = float("-inf")

    def list_own(self) -> tuple[ReplicaUse, ...]:
        """Return this node's calls by replica."""
        return tuple(
            ReplicaUse(
                name,
                len(calls),
                sum(call.tokens for call in calls.values()),
                sum(c.unread_tokens for c in calls.values() if not c.has_started),
            )
            for name, calls in self._own.items()
        )

    def has_updates(self) -> bool:
        """Tell whether this node has calls under way, or last reported some."""
        return bool(self._own or self._told)

    def report(self) -> tuple[ReplicaUse, ...]:
        """Return this node's calls, and remember that they were told."""
        own = self.list_own()
        self._told = {use.replica: use for use in own}
        self.is_urgent = False
        return own

    def sum_group(
        self,
        own: Iterable[ReplicaUse],
        peers: Collection[NodeName],
        now_ms: float,
    ) -> tuple[ReplicaUse, ...]:
        """Return what this node and some of its peers have under way, by replica."""
        total: dict[EndpointName, Use] = {}
        for use in own:
            _add(total, use)
        for name in peers:
            heard_ms, uses = self._peers.get(name, (float("-inf"), {}))
            if now_ms - heard_ms <= PEER_USE_KEPT_MS:
                for use in uses.values():
                    _add(total, use)
        return tuple(
            ReplicaUse(name, use.running, use.tokens, use.unread_tokens)
            for name, use in total.items()
        )

    def list_peers(self) -> Collection[NodeName]:
        """Return the peers whose calls are known."""
        return self._peers.keys()

    def compute(self, replica: EndpointName, now_ms: float) -> Use:
        """Return what all nodes have under way at a replica."""
        if now_ms > self._merged_until_ms:
            self._merge(now_ms)
        peers = self._merged.get(replica)
        use = Use() if peers is None else msgspec.structs.replace(peers)
        for call in self._own.get(replica, {}).values():
            use.running += 1
            use.tokens += call.tokens
            use.unread_tokens += 0 if call.has_started else call.unread_tokens
        return use

    def _merge(self, now_ms: float) -> None:
        """Add up what peers say.

        Asked of 30 peers for each of 70 replicas, one choice would take longer than
        sending the call.
        """
        self._merged = {}
        self._merged_until_ms = float("inf")
        for heard_ms, uses in self._peers.values():
            until_ms = heard_ms + PEER_USE_KEPT_MS
            if now_ms > until_ms:
                continue
            self._merged_until_ms = min(self._merged_until_ms, until_ms)
            for use in uses.values():
                _add(self._merged, use)


def _find_unread(uses: dict[EndpointName, ReplicaUse], name: EndpointName) -> int:
    use = uses.get(name)
    return 0 if use is None else use.unread_tokens


def _add(total: dict[EndpointName, Use], use: ReplicaUse) -> None:
    found = total.get(use.replica)
    if found is None:
        found = total[use.replica] = Use()
    found.running += use.running
    found.tokens += use.tokens
    found.unread_tokens += use.unread_tokens


def _subtract(use: ReplicaUse, own: ReplicaUse | None) -> ReplicaUse:
    if own is None:
        return use
    # The total lags, so it may hold less than what was told since.
    return ReplicaUse(
        use.replica,
        max(use.running - own.running, 0),
        max(use.tokens - own.tokens, 0),
        max(use.unread_tokens - own.unread_tokens, 0),
    )
