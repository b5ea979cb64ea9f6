"""Track the calls in progress at each replica, from this node and from its peers.

A replica's own report lags and costs a call. Each node knows its own calls exactly and
reports them to its peers, so the sum is known everywhere within a status interval.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import Final

import msgspec

from toucanyard.link_messages import ReplicaUsageReport
from toucanyard.names import EndpointName, NodeName, RequestId

FLEET: Final = NodeName("(fleet)")
"""Pseudo-peer that holds the calls of all other nodes, which a hub reports as one
sum."""

MAX_PEER_SILENCE_MS: Final = 1_500.0
"""A peer that has been silent for longer is disconnected or dead; its calls no longer
count."""
DEFAULT_TOKENS_PER_MS: Final = 30.0
"""Prompt tokens that an engine reads per millisecond, until its answers show the actual
speed."""
SPEED_STEP: Final = 0.1
"""Weight of one answer in the moving mean of the reading speed."""
URGENT_TOKENS: Final = 3_000
"""Minimum unread tokens of a call that is reported to peers at once: it occupies a
replica for 80 ms or more, and until they know of it, they consider the replica idle."""
MIN_TIMED_TOKENS: Final = 1_000
"""Minimum unread tokens of a prompt for measuring the reading speed."""


class OwnCall(msgspec.Struct):
    """A call of this node in progress at a replica."""

    sent_ms: float
    tokens: int
    unread_tokens: int
    has_started: bool = False


class UsageTotal(msgspec.Struct):
    """Calls in progress at one replica, over all nodes with recent reports."""

    running: int = 0
    tokens: int = 0
    unread_tokens: int = 0


class ReplicaUsage:
    """Calls in progress at every replica; owned by one task."""

    __slots__ = (
        "_merged",
        "_merged_until_ms",
        "_own",
        "_peers",
        "_reported",
        "is_urgent",
        "tokens_per_ms",
    )

    def __init__(self) -> None:
        self._own: dict[EndpointName, dict[RequestId, OwnCall]] = {}
        self._peers: dict[
            NodeName, tuple[float, dict[EndpointName, ReplicaUsageReport]]
        ] = {}
        self._merged: dict[EndpointName, UsageTotal] = {}
        """Sum over all peers with recent reports, valid until `_merged_until_ms`."""
        self._merged_until_ms = float("-inf")
        self._reported: dict[EndpointName, ReplicaUsageReport] = {}
        """This node's own calls as last reported."""
        self.is_urgent = False
        """Whether a long prompt was sent since this node last reported its calls."""
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

    def record_started(
        self, replica: EndpointName, request_id: RequestId, now_ms: float
    ) -> None:
        """Record that a call's prompt has been read, and learn the reading speed."""
        call = self._own.get(replica, {}).get(request_id)
        if call is None or call.has_started:
            return
        call.has_started = True
        took_ms = now_ms - call.sent_ms
        if call.unread_tokens >= MIN_TIMED_TOKENS and took_ms > 0:
            speed = call.unread_tokens / took_ms
            # Prompts that were queued behind others look slow, so fast ones show the
            # engine's actual speed and weigh more.
            step = SPEED_STEP if speed > self.tokens_per_ms else SPEED_STEP / 4
            self.tokens_per_ms += step * (speed - self.tokens_per_ms)

    def end(self, replica: EndpointName, request_id: RequestId) -> None:
        """Remove a finished call."""
        calls = self._own.get(replica)
        if calls is not None:
            calls.pop(request_id, None)
            if not calls:
                del self._own[replica]

    def apply_peer(
        self, peer: NodeName, usages: Iterable[ReplicaUsageReport], now_ms: float
    ) -> bool:
        """Apply a peer's calls; return whether others should know of them soon."""
        before = self._peers.get(peer, (now_ms, {}))[1]
        now = {each.replica: each for each in usages}
        self._peers[peer] = (now_ms, now)
        self._merged_until_ms = float("-inf")
        return any(
            usage.unread_tokens - _find_unread(before, name) >= URGENT_TOKENS
            for name, usage in now.items()
        )

    def apply_fleet(self, usages: Iterable[ReplicaUsageReport], now_ms: float) -> None:
        """Apply the sum over all nodes, less this node's own calls."""
        others = [
            _subtract(usage, self._reported.get(usage.replica)) for usage in usages
        ]
        self.apply_peer(FLEET, others, now_ms)

    def forget_peer(self, peer: NodeName) -> None:
        """Forget the calls of a peer that is gone."""
        self._peers.pop(peer, None)
        self._merged_until_ms = float("-inf")

    def list_own(self) -> tuple[ReplicaUsageReport, ...]:
        """Return this node's calls by replica."""
        return tuple(
            ReplicaUsageReport(
                name,
                len(calls),
                sum(call.tokens for call in calls.values()),
                sum(c.unread_tokens for c in calls.values() if not c.has_started),
            )
            for name, calls in self._own.items()
        )

    def has_updates(self) -> bool:
        """Return whether this node has calls in progress or last reported some."""
        return bool(self._own or self._reported)

    def report(self) -> tuple[ReplicaUsageReport, ...]:
        """Return this node's calls and remember them as reported."""
        own = self.list_own()
        self._reported = {usage.replica: usage for usage in own}
        self.is_urgent = False
        return own

    def sum_group(
        self,
        own: Iterable[ReplicaUsageReport],
        peers: Collection[NodeName],
        now_ms: float,
    ) -> tuple[ReplicaUsageReport, ...]:
        """Return the calls of this node and some of its peers, by replica."""
        total: dict[EndpointName, UsageTotal] = {}
        for usage in own:
            _add(total, usage)
        for name in peers:
            reported_ms, usages = self._peers.get(name, (float("-inf"), {}))
            if now_ms - reported_ms <= MAX_PEER_SILENCE_MS:
                for usage in usages.values():
                    _add(total, usage)
        return tuple(
            ReplicaUsageReport(name, usage.running, usage.tokens, usage.unread_tokens)
            for name, usage in total.items()
        )

    def count_unanswered(self, replica: EndpointName, since_ms: float) -> int:
        """Return how many own calls, sent since a time, have no response yet."""
        calls = self._own.get(replica, {})
        return sum(
            call.sent_ms > since_ms and not call.has_started for call in calls.values()
        )

    def list_peers(self) -> Collection[NodeName]:
        """Return the peers whose calls are known."""
        return self._peers.keys()

    def compute(self, replica: EndpointName, now_ms: float) -> UsageTotal:
        """Return the calls of all nodes at a replica."""
        if now_ms > self._merged_until_ms:
            self._merge(now_ms)
        peers = self._merged.get(replica)
        usage = UsageTotal() if peers is None else msgspec.structs.replace(peers)
        for call in self._own.get(replica, {}).values():
            usage.running += 1
            usage.tokens += call.tokens
            usage.unread_tokens += 0 if call.has_started else call.unread_tokens
        return usage

    def _merge(self, now_ms: float) -> None:
        """Recompute the sum over all peers.

        Asking 30 peers for each of 70 replicas would take longer per choice than
        sending the call.
        """
        self._merged = {}
        self._merged_until_ms = float("inf")
        for reported_ms, usages in self._peers.values():
            until_ms = reported_ms + MAX_PEER_SILENCE_MS
            if now_ms > until_ms:
                continue
            self._merged_until_ms = min(self._merged_until_ms, until_ms)
            for usage in usages.values():
                _add(self._merged, usage)


def _find_unread(
    usages: dict[EndpointName, ReplicaUsageReport], name: EndpointName
) -> int:
    usage = usages.get(name)
    return 0 if usage is None else usage.unread_tokens


def _add(total: dict[EndpointName, UsageTotal], usage: ReplicaUsageReport) -> None:
    found = total.get(usage.replica)
    if found is None:
        found = total[usage.replica] = UsageTotal()
    found.running += usage.running
    found.tokens += usage.tokens
    found.unread_tokens += usage.unread_tokens


def _subtract(
    usage: ReplicaUsageReport, own: ReplicaUsageReport | None
) -> ReplicaUsageReport:
    if own is None:
        return usage
    # The total lags, so it may be lower than what was reported since.
    return ReplicaUsageReport(
        usage.replica,
        max(usage.running - own.running, 0),
        max(usage.tokens - own.tokens, 0),
        max(usage.unread_tokens - own.unread_tokens, 0),
    )
