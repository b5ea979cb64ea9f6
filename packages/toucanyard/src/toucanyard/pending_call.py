"""Know how far one relayed call has come."""

from __future__ import annotations

import msgspec

from toucanyard.names import EndpointName
from toucanyard.relay_requests import RelayRequest


class PendingCall(msgspec.Struct):
    """One relayed call that is not over."""

    request: RelayRequest
    sends: int = 0
    """Sends that may have reached a replica."""
    dispatches: int = 0
    tried: tuple[EndpointName, ...] = ()
    replica: EndpointName | None = None
    scope: str = ""
    weights_version: int | None = None
    """Weights of the last dispatch."""
    has_begun: bool = False
    """Its answer has begun, and goes on under no other weights."""
    is_waiting: bool = False
    queued_ms: float = 0.0
    sent_ms: float = 0.0
    """When the last dispatch was decided."""
    may_have_run: bool = False
    """Never goes back to false: a later refusal must not say "not run"."""
    is_suspect: bool = False
    """Several replicas have crashed under its request."""
    held_credit: float = 0.0
    """Credit of its customer that was taken for the next try."""
    held_credit_until_ms: float = 0.0
    """When that credit may no longer be used."""
    is_awaiting_credit: bool = False
    """It waits for credit of its customer, not for a replica."""
    is_briefly_denied: bool = False
    """Its customer is over its limit, but not for long."""
    credit_wait_since_ms: float = 0.0
    credit_wait_until_ms: float = 0.0
    """When it no longer waits for credit."""
    requested_replica: EndpointName | None = None
    """The limited replica whose home was asked whether it may be sent there."""
    replica_credit_wait_until_ms: float = 0.0
    """When it no longer waits for the answer."""
    has_failed: bool = False
    """The last try that may have run ended with an answer that says that it failed."""

    def rank(self) -> tuple[int, float]:
        """Return its place in a queue: the most urgent first, then by deadline."""
        return self.request.rank, self.request.deadline_ms
