"""Take turns at ordering: one node at a time, by conditional appends to the store.

A turn is a lease. The record that begins it goes in only if nothing was appended since
its author last read, and its offset is the fence on the orders. The holder acts for a
short time after each of its records; another node waits that time and the least time
between two holders after the last record it saw, by its own clock. Both are measured
by clocks that count while a VM is suspended.
"""

from __future__ import annotations

from typing import Final

import msgspec

from toucanyard.names import Incarnation, NodeId, NodeName
from toucanyard.relay_events import (
    AppendLease,
    LeaseAppended,
    LeaseRead,
    ReadLeases,
)

ACTIVE_MS: Final = 1_000.0
"""How long a holder may order after it sent its last record."""
RENEW_MS: Final = 500.0
"""Time left of a turn at which it is renewed while there is work."""
MARGIN_MS: Final = 200.0
"""What clocks may run apart over one turn, with much to spare."""
RANK_DELAY_MS: Final = 250.0
"""How much longer each further candidate waits before it takes a turn."""
HOLDER_HEAD_START_MS: Final = 700.0
"""How long others leave new work to the last holder if it is alive."""
FOLLOWER_READ_MS: Final = 600.0
"""Time between two reads of those who stand by for the turn. A record counts from when
it was seen: one seen late would put off the next holder by as much."""
MAX_FOLLOWERS: Final = 3
"""Live nodes that stand by for the turn; the others needn't read who holds it."""
REQUEST_TIMEOUT_MS: Final = 1_000.0
"""After this time a read or an append without an answer is made again."""


class LeaseRecord(msgspec.Struct, frozen=True):
    """Who takes or keeps the turn."""

    node: NodeName
    incarnation: Incarnation


class Lease(msgspec.Struct, frozen=True):
    """A turn that this node holds."""

    fence: int
    until_ms: float


class Leases:
    """The turn as one node sees it.

    Invariant: at most one node is between its last record and ACT_MS after it, and two
    holders' times lie `lease_ms` apart.
    """

    __slots__ = (
        "_asked_ms",
        "_end",
        "_fence",
        "_holder",
        "_identity",
        "_is_awaiting",
        "_lease_ms",
        "_seen_end",
        "_seen_ms",
        "_until_ms",
    )

    def __init__(self, identity: NodeId, lease_ms: float) -> None:
        self._identity = identity
        self._lease_ms = lease_ms
        self._end: int | None = None
        self._holder: LeaseRecord | None = None
        self._seen_ms = float("-inf")
        self._seen_end = 0
        self._fence = -1
        self._until_ms = float("-inf")
        self._asked_ms = float("-inf")
        self._is_awaiting = False

    def find_lease(self, now_ms: float) -> Lease | None:
        """Return the turn that this node may act on now."""
        if self._fence < 0 or now_ms >= self._until_ms:
            return None
        return Lease(self._fence, self._until_ms)

    def find_holder(self) -> NodeName | None:
        """Return who took or kept the turn last."""
        return None if self._holder is None else self._holder.node

    def give_up(self) -> None:
        """Stop acting at once, since a replica knows a higher fence."""
        self._until_ms = float("-inf")
        self._fence = -1
        self._end = None

    def apply_read(self, read: LeaseRead, now_ms: float) -> None:
        """Take in records; those of other nodes end this node's turn."""
        self._is_awaiting = False
        for offset, value in read.records:
            record = _decode(value)
            # A record that is read again is as old as when it was first seen.
            if record is None or offset < self._seen_end:
                continue
            self._holder = record
            self._seen_ms = now_ms
            if not self._is_own(record):
                self._fence = -1
        self._end = read.end
        self._seen_end = max(self._seen_end, read.end)

    def apply_append(self, appended: LeaseAppended) -> None:
        """Take in how an append ended."""
        self._is_awaiting = False
        if appended.offset is None:
            # It may have gone in, or may yet: only reading tells.
            self._end = None
            return
        if self._fence < 0:
            self._fence = appended.offset
        self._end = self._seen_end = appended.offset + 1
        self._holder = LeaseRecord(self._identity.node, self._identity.incarnation)
        self._seen_ms = appended.sent_ms
        self._until_ms = appended.sent_ms + ACTIVE_MS

    def tick(
        self,
        work_since_ms: float,
        rank: int,
        is_holder_alive: bool,
        now_ms: float,
        *,
        is_leaving: bool = False,
    ) -> AppendLease | ReadLeases | None:
        """Return what to ask of the store; called only while there is work.

        `rank` counts the live nodes that go before this one. A node that is leaving
        goes on with a turn that it has and takes no other.
        """
        if self._is_awaiting and now_ms - self._asked_ms < REQUEST_TIMEOUT_MS:
            return None
        if now_ms < self._until_ms - RENEW_MS:
            return None
        waited_ms = now_ms - work_since_ms
        is_last = self._holder is not None and self._is_own(self._holder)
        if not is_last and waited_ms < rank * RANK_DELAY_MS:
            return None
        if self._end is None:
            self._record_request(now_ms)
            return ReadLeases(0)
        if not is_last and not self._may_take(is_holder_alive, waited_ms, now_ms):
            return self._follow(rank, now_ms)
        if is_leaving and not is_last:
            return None
        self._record_request(now_ms)
        own = LeaseRecord(self._identity.node, self._identity.incarnation)
        return AppendLease(msgspec.json.encode(own), self._end)

    def _follow(self, rank: int, now_ms: float) -> ReadLeases | None:
        is_due = now_ms - self._asked_ms >= FOLLOWER_READ_MS
        if rank >= MAX_FOLLOWERS or not is_due:
            return None
        self._record_request(now_ms)
        return ReadLeases(self._end or 0)

    def _may_take(self, is_holder_alive: bool, waited_ms: float, now_ms: float) -> bool:
        if self._holder is None:
            return True
        if is_holder_alive and waited_ms < HOLDER_HEAD_START_MS:
            return False
        idle_ms = now_ms - self._seen_ms
        return idle_ms >= ACTIVE_MS + self._lease_ms + MARGIN_MS

    def _record_request(self, now_ms: float) -> None:
        self._is_awaiting = True
        self._asked_ms = now_ms

    def _is_own(self, record: LeaseRecord) -> bool:
        own = self._identity
        return record.node == own.node and record.incarnation == own.incarnation


def _decode(value: bytes) -> LeaseRecord | None:
    try:
        return msgspec.json.decode(value, type=LeaseRecord)
    except msgspec.DecodeError:
        return None
