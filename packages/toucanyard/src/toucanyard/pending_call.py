"""State of one relayed call."""

from __future__ import annotations

import msgspec

from toucanyard.names import EndpointName, NodeName
from toucanyard.relay_requests import RelayRequest
from toucanyard.stream_origins import StreamOrigin


class PendingCall(msgspec.Struct):
    """One relayed call that has not ended."""

    request: RelayRequest
    sends: int = 0
    """Dispatches that may have reached a replica."""
    dispatches: int = 0
    attempt: int = 0
    """Number of this attempt, which its dispatch or forward names; 0 before it is
    sent."""
    silent_since_ms: float | None = None
    """When this attempt was found silent; None if it is not."""
    silence: int = 0
    """Number of the silence after which this hedge was begun; 0 for no hedge."""
    hedged: int = 0
    """Silent attempts of the call that are open beside this one."""
    silent_at: tuple[EndpointName, ...] = ()
    """Replicas of these attempts."""
    hedged_since_ms: float | None = None
    """When the first of these attempts was found silent; None for no hedge."""
    needs_free_slot: bool = False
    """It is sent only where a slot is free that no other call waits for."""
    holds_retry: bool = False
    """A retry was taken from the budget and has not been sent."""
    tried: tuple[EndpointName, ...] = ()
    replica: EndpointName | None = None
    scope: str = ""
    weights_version: int | None = None
    """Weights version of the last dispatch."""
    has_begun: bool = False
    """The response has begun and can be resumed only with the same weights."""
    is_waiting: bool = False
    queued_ms: float = 0.0
    sent_ms: float = 0.0
    """When the last dispatch was decided on."""
    unread_tokens: int = 0
    """Prompt tokens that the replica of the last dispatch had to read for it."""
    begun_ms: float | None = None
    """When the first event of the last dispatch arrived; None if none did."""
    may_have_run: bool = False
    """Never reset to False: a later refusal must not claim "not run"."""
    is_suspect: bool = False
    """Several replicas have crashed while running the same request."""
    held_credit: float = 0.0
    """Credit of its customer's limit that was taken for the next try."""
    held_credit_until_ms: float = 0.0
    """When that credit expires."""
    is_awaiting_credit: bool = False
    """The call waits for credit of its customer's limit, not for a replica."""
    is_briefly_denied: bool = False
    """Credit was denied, but is expected within the brief wait."""
    credit_wait_since_ms: float = 0.0
    credit_wait_until_ms: float = 0.0
    """When the call stops waiting for that credit."""
    requested_replica: EndpointName | None = None
    """The limited replica for which credit was requested."""
    replica_credit_wait_until_ms: float = 0.0
    """When the call stops waiting for that credit."""
    is_counted: bool = False
    """The call is counted as a first try in the retry budget."""
    peer: NodeName | None = None
    """The peer that places the call now."""
    forwards: int = 0
    granted_attempts: int = 0
    """Replicas on which that peer may run the call."""
    has_failed: bool = False
    """The last try that may have run ended with an error response."""
    origin: StreamOrigin | None = None
    """Where its stream began; it goes on nowhere else."""
    sent_origin: StreamOrigin | None = None
    """Service and software version of the last dispatch."""
    is_awaiting_origin: bool = False
    """The store or peers have been asked where its stream began."""

    def rank(self) -> tuple[int, bool, float]:
        """Return the queue's sort key: most urgent first, then earliest deadline.

        Among equally urgent ones, streams that can go on at one software version only
        come before new ones, which any version can begin.
        """
        request = self.request
        return request.rank, self.origin is None, request.deadline_ms
