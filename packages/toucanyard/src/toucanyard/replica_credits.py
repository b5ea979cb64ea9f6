"""Hold what this node may send to replicas that name limits.

A replica in need is no place for a call until its home has granted one: what all nodes
send together then stays within the limit, and goes to the nodes that have calls.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from toucanyard.limit_credits import CreditAccounts
from toucanyard.names import EndpointName
from toucanyard.pending_call import PendingCall
from toucanyard.rate_limits import LimitBounds, RateLimit
from toucanyard.replica_limits import ReplicaLimits
from toucanyard.replicas import KnownReplica

MIN_RATE_PER_S: Final = 0.5
"""What is sent to a replica that takes nothing: only an answer shows that it does."""
CREDIT_MS: Final = 300.0
"""How long a request may be sent once it was asked for."""
REPLICA_BOUNDS: Final = LimitBounds(
    window_ms=4_000.0,
    overshoot=0.5,
    slack=5.0,
    max_credit_ms=CREDIT_MS,
    spends_margin=False,
    min_capacity=1.0,
)
"""The margin is for homes that change and requests on the way: a replica in need gets
no more than it says, over time."""
ANSWER_WAIT_MS: Final = 80.0
"""How long a call waits for a home's answer before it goes elsewhere."""
MAX_DENIED_PER_S: Final = 12.0
"""Questions that may be denied in a second; calls go or wait elsewhere meanwhile. Each
costs links between nodes some 200 bytes."""


class ReplicaCredits:
    """The requests that this node may send to limited replicas.

    Invariants: each request was granted before it is sent, and once; a call asks for
    one replica at a time.
    """

    __slots__ = ("_requests_left", "_changed", "_limits", "_settled_ms", "accounts")

    def __init__(self, limits: ReplicaLimits, first_number: int = 0) -> None:
        self._limits = limits
        self._changed = 0
        self._requests_left = MAX_DENIED_PER_S
        """Questions that may be asked now, as far as they are denied."""
        self._settled_ms = 0.0
        self.accounts = CreditAccounts(first_number)

    def has_limits(self) -> bool:
        """Tell whether any replica names a limit."""
        return self._limits.has_limits()

    def find_limit(self, subject: str) -> RateLimit | None:
        """Return the limit of a replica; None if it names none."""
        rate_per_s = self._limits.find_rate(EndpointName(subject))
        if rate_per_s is None:
            return None
        return RateLimit(max(rate_per_s, MIN_RATE_PER_S), 1.0)

    def consume_changed_flag(self) -> bool:
        """Tell whether limits have changed since this was asked last."""
        if self._changed == self._limits.change_count:
            return False
        self._changed = self._limits.change_count
        limited = [name for name, _ in self._limits.list_limited()]
        self.accounts.retain(limited)
        for name in limited:
            self.accounts.forget_denials(name)
        return True

    def is_awaiting_replica_credit(self, pending: PendingCall, now_ms: float) -> bool:
        """Tell whether a call waits for the answer of a replica's home."""
        replica = pending.requested_replica
        if replica is None or now_ms > pending.replica_credit_wait_until_ms:
            return False
        if self._limits.find_rate(replica) is None or self._has_credit(replica, now_ms):
            return False
        return self.accounts.find_denial(replica, now_ms) is None

    def select(
        self, pending: PendingCall, usable: Sequence[KnownReplica], now_ms: float
    ) -> Sequence[KnownReplica]:
        """Return the replicas among which a call may be placed."""
        if not self._limits.has_limits():
            return usable
        asked = pending.requested_replica
        if asked is not None and self._has_credit(asked, now_ms):
            granted = [each for each in usable if each.replica.name == asked]
            if granted:
                # It was granted for this call, and lapses unless it is used.
                return granted
        self._settle(now_ms)
        return [e for e in usable if self._may_choose(pending, e.replica.name, now_ms)]

    def claim(self, pending: PendingCall, replica: EndpointName, now_ms: float) -> bool:
        """Tell whether a call may be sent to a replica now; ask its home if not."""
        if self._limits.find_rate(replica) is None:
            self.release(pending)
            return True
        if pending.requested_replica != replica:
            self.release(pending)
            self._requests_left -= 1.0
            pending.requested_replica = replica
            pending.replica_credit_wait_until_ms = now_ms + ANSWER_WAIT_MS
        request_id = pending.request.request_id
        if self.accounts.take(request_id, replica, 1.0, CREDIT_MS, now_ms) is None:
            return False
        self._requests_left = min(self._requests_left + 1.0, MAX_DENIED_PER_S)
        pending.requested_replica = None
        return True

    def release(self, pending: PendingCall) -> None:
        """Let a call no longer ask for a replica."""
        if pending.requested_replica is not None:
            request_id = pending.request.request_id
            self.accounts.withdraw(request_id, pending.requested_replica)
            pending.requested_replica = None

    def _may_choose(
        self, pending: PendingCall, replica: EndpointName, now_ms: float
    ) -> bool:
        if self._limits.find_rate(replica) is None or self._has_credit(replica, now_ms):
            return True
        is_unanswered = pending.requested_replica == replica
        # What has begun goes on at once or not at all.
        if pending.has_begun or is_unanswered or self._requests_left < 1.0:
            return False
        return self.accounts.find_denial(replica, now_ms) is None

    def _settle(self, now_ms: float) -> None:
        passed_s = max(now_ms - self._settled_ms, 0.0) / 1_000
        self._settled_ms = now_ms
        self._requests_left = min(
            self._requests_left + passed_s * MAX_DENIED_PER_S, MAX_DENIED_PER_S
        )

    def _has_credit(self, replica: EndpointName, now_ms: float) -> bool:
        return self.accounts.find_credit(replica, now_ms) >= 1.0
