"""Choose the peer that places a call whose replicas this node can't reach.

A call is forwarded once: the peer places it on a replica or refuses it. A refusal or a
missing answer excludes that peer for a short time, so that calls which nobody can serve
are refused at the first node.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Collection
from typing import Final

import msgspec

from toucanyard.errorcodes import ErrorKind
from toucanyard.names import NodeName, ServiceName
from toucanyard.node_directory import NodeDirectory, PeerAddress
from toucanyard.pending_call import PendingCall
from toucanyard.relay_requests import ForwardOutcome, RelayForward
from toucanyard.replica_reach import ReplicaReach
from toucanyard.requests import DispatchEnding, Repeatability

MAX_FORWARDS: Final = 3
"""Peers that one call is offered to."""
CONNECT_MS: Final = 150.0
"""Timeout of a connection to a peer, including its handshake."""
UNREACHED_PAUSE_MS: Final = 1_000.0
"""How long a peer that reaches no replica either is not asked again; by then its status
shows whether it does."""
LOST_PAUSE_MS: Final = 1_000.0
"""How long a peer that did not answer is not asked again; its link closes by then."""
MAX_BUSY_PAUSE_MS: Final = 500.0
"""How long at most a peer without capacity is not asked again."""
PATIENCE_FACTOR: Final = 4.0
"""Multiple of the target time after which a repeatable call is forwarded again; longer
than the peer waits for its replica."""
MIN_PATIENCE_MS: Final = 600.0
UNABLE_KINDS: Final = (
    ErrorKind.NO_ENDPOINT,
    ErrorKind.DRAINING,
    ErrorKind.NO_CONFIGURATION,
)
"""Refusals of a peer that can place no calls of a service for a while."""


class PeersBusy(msgspec.Struct, frozen=True):
    """All peers that reach replicas lack capacity."""

    retry_ms: float


class CallForwards:
    """The calls of one node that its peers place.

    Invariant: each call in `_in_flight` is counted at one peer.
    """

    __slots__ = ("_busy", "_in_flight", "_nodes", "_paused", "_reach", "_rng", "count")

    def __init__(
        self, nodes: NodeDirectory, reach: ReplicaReach, rng: random.Random
    ) -> None:
        self._nodes = nodes
        self._reach = reach
        self._rng = rng
        self._in_flight: Counter[NodeName] = Counter()
        self._paused: dict[tuple[NodeName, ServiceName], float] = {}
        """Until when a peer gets no calls of a service."""
        self._busy: dict[NodeName, float] = {}
        """Until when a peer has stated that it lacks capacity."""
        self.count = 0
        """Calls forwarded so far."""

    def choose(
        self,
        pending: PendingCall,
        now_ms: float,
        among: Collection[NodeName] | None = None,
    ) -> RelayForward | PeersBusy | None:
        """Return how to forward a call; None if no peer can serve it either.

        `among`: the only nodes that place calls of the service, if not all do.
        """
        service = pending.request.service
        if pending.forwards >= MAX_FORWARDS:
            return None
        reaching = [
            each
            for each in self._nodes.find_reaching(service, now_ms)
            if now_ms >= self._paused.get((each.node, service), now_ms)
            and (among is None or each.node in among)
        ]
        peers = [e for e in reaching if now_ms >= self._busy.get(e.node, now_ms)]
        if peers:
            return self._build(pending, self._draw(peers), len(peers), now_ms)
        if reaching:
            return PeersBusy(min(self._busy[each.node] for each in reaching) - now_ms)
        return None

    def has_ready_peer(self, now_ms: float) -> bool:
        """Return whether callers may go to another node."""
        return self._nodes.has_ready_peer(now_ms)

    def is_available(self, peer: NodeName, service: ServiceName, now_ms: float) -> bool:
        """Return whether a peer may get calls of a service now."""
        is_paused = now_ms < self._paused.get((peer, service), now_ms)
        return not is_paused and now_ms >= self._busy.get(peer, now_ms)

    def build_to_sender(
        self, pending: PendingCall, peer: PeerAddress, now_ms: float
    ) -> RelayForward:
        """Return the forward of a call to the sender of its replica.

        The call may wait there, so that its answer has no timeout of its own.
        """
        forward = self._build(pending, peer, 1, now_ms)
        return msgspec.structs.replace(forward, patience_ms=float("inf"))

    def end(self, pending: PendingCall) -> None:
        """Stop counting a call at its peer."""
        if pending.peer is not None:
            self._in_flight[pending.peer] -= 1
            pending.peer = None

    def record_outcome(
        self, pending: PendingCall, outcome: ForwardOutcome, now_ms: float
    ) -> None:
        """Record what the end of a forward shows about the peer."""
        key = (outcome.peer, pending.request.service)
        if outcome.attempts:
            # It was refused by replicas, not by the peer.
            return
        match outcome.ending:
            case DispatchEnding.NOT_SENT | DispatchEnding.LOST:
                self._paused[key] = now_ms + LOST_PAUSE_MS
            case DispatchEnding.REFUSED if outcome.kind in UNABLE_KINDS:
                self._paused[key] = now_ms + UNREACHED_PAUSE_MS
            case DispatchEnding.REFUSED if outcome.kind is ErrorKind.TOO_MANY_CALLS:
                pause_ms = min(outcome.retry_after_ms or 0.0, MAX_BUSY_PAUSE_MS)
                self._busy[outcome.peer] = now_ms + pause_ms

    def record_silent(self, pending: PendingCall, now_ms: float) -> None:
        """Record that the peer of a call has sent nothing for some time."""
        if pending.peer is not None:
            key = (pending.peer, pending.request.service)
            self._paused[key] = now_ms + LOST_PAUSE_MS

    def record_continued(self, pending: PendingCall) -> None:
        """Record that the peer of a call sends again."""
        if pending.peer is not None:
            self._paused.pop((pending.peer, pending.request.service), None)

    def prune(self, now_ms: float) -> None:
        """Drop pauses that have ended."""
        self._paused = {k: until for k, until in self._paused.items() if until > now_ms}
        self._busy = {k: until for k, until in self._busy.items() if until > now_ms}
        self._in_flight = +self._in_flight

    def _compute_patience(self, pending: PendingCall, kept: int) -> float:
        """Return how long to wait for an answer before asking another peer."""
        request = pending.request
        if kept < 1 or request.repeatability is not Repeatability.REPEATABLE:
            return float("inf")
        return max(request.target_ms * PATIENCE_FACTOR, MIN_PATIENCE_MS)

    def _draw(self, peers: list[PeerAddress]) -> PeerAddress:
        """Return the less loaded one of two random peers."""
        drawn = self._rng.sample(peers, min(len(peers), 2))
        return min(drawn, key=lambda each: self._in_flight[each.node])

    def _build(
        self, pending: PendingCall, peer: PeerAddress, candidates: int, now_ms: float
    ) -> RelayForward:
        request = pending.request
        left = request.max_attempts - pending.sends
        # One attempt is kept for forwarding the call again if the peer is lost.
        granted = max(left - 1, 1)
        pending.peer = peer.node
        pending.forwards += 1
        pending.dispatches += 1
        pending.attempt = pending.dispatches
        pending.granted_attempts = granted
        self._in_flight[peer.node] += 1
        self.count += 1
        return RelayForward(
            request_id=request.request_id,
            peer=peer.node,
            address=peer.address,
            attempt=pending.attempt,
            connect_ms=CONNECT_MS,
            max_attempts=granted,
            patience_ms=self._compute_patience(pending, left - granted),
            unreached_ms=self._reach.compute_unreached_time(request.service, now_ms),
            candidates=candidates,
            is_counted=pending.is_counted,
            has_begun=pending.has_begun,
            weights_version=pending.weights_version if pending.has_begun else None,
            origin=pending.origin,
            hedged=pending.hedged,
            silence=pending.silence,
        )
