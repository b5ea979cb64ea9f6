"""Lease the right to send weight orders to one node at a time, by conditional appends.

The record that starts a lease is appended only if the topic has not changed since its
author last read it, and the record's offset is the fence of the orders. The holder may
act for a short time after each of its records. Another node waits for that time plus
the minimum time between two holders, counted on its own clock from when it read the
last record. Both use clocks that advance while a VM is suspended.
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
"""How long a holder may send orders after it sent its last record."""
RENEW_MS: Final = 500.0
"""Remaining time at which a lease is renewed while there is work."""
MARGIN_MS: Final = 200.0
"""Allowance for clock drift during one lease, with a large reserve."""
RANK_DELAY_MS: Final = 250.0
"""Additional wait of each further candidate before it acquires the lease."""
HOLDER_HEAD_START_MS: Final = 700.0
"""How long other nodes leave new work to the last holder if it is alive."""
FOLLOWER_READ_MS: Final = 600.0
"""Time between two reads of the standby nodes. The wait counts from when a record was
read, so a record read late would delay the next holder by as much."""
MAX_FOLLOWERS: Final = 3
"""Number of standby nodes; other nodes don't read who holds the lease."""
REQUEST_TIMEOUT_MS: Final = 1_000.0
"""Time after which a read or an append without an answer is retried."""


class LeaseRecord(msgspec.Struct, frozen=True):
    """The node that acquires or renews the lease."""

    node: NodeName
    incarnation: Incarnation


class Lease(msgspec.Struct, frozen=True):
    """A lease that this node holds."""

    fence: int
    until_ms: float


class Leases:
    """The lease as known on one node.

    Invariant: at most one node is within ACTIVE_MS after its last record, and these
    periods of two holders are at least `lease_ms` apart.
    """

    __slots__ = (
        "_requested_ms",
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
        self._requested_ms = float("-inf")
        self._is_awaiting = False

    def find_lease(self, now_ms: float) -> Lease | None:
        """Return the lease under which this node may send orders now."""
        if self._fence < 0 or now_ms >= self._until_ms:
            return None
        return Lease(self._fence, self._until_ms)

    def find_holder(self) -> NodeName | None:
        """Return the node that last acquired or renewed the lease."""
        return None if self._holder is None else self._holder.node

    def give_up(self) -> None:
        """Stop using the lease at once, since a replica has a higher fence."""
        self._until_ms = float("-inf")
        self._fence = -1
        self._end = None

    def apply_read(self, read: LeaseRead, now_ms: float) -> None:
        """Apply records that were read; those of other nodes end this node's lease."""
        self._is_awaiting = False
        for offset, value in read.records:
            record = _decode(value)
            # A record that is read again still dates from when it was first read.
            if record is None or offset < self._seen_end:
                continue
            self._holder = record
            self._seen_ms = now_ms
            if not self._is_own(record):
                self._fence = -1
        self._end = read.end
        self._seen_end = max(self._seen_end, read.end)

    def apply_append(self, appended: LeaseAppended) -> None:
        """Apply the result of an append."""
        self._is_awaiting = False
        if appended.offset is None:
            # The append may have succeeded, or may do so later: only a read shows it.
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
        """Return the next request to the store; called only while there is work.

        `rank` is the number of live nodes that precede this one. A leaving node may
        renew a lease that it holds but does not acquire one.
        """
        if self._is_awaiting and now_ms - self._requested_ms < REQUEST_TIMEOUT_MS:
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
        if not is_last and not self._may_acquire(is_holder_alive, waited_ms, now_ms):
            return self._read_as_standby(rank, now_ms)
        if is_leaving and not is_last:
            return None
        self._record_request(now_ms)
        own = LeaseRecord(self._identity.node, self._identity.incarnation)
        return AppendLease(msgspec.json.encode(own), self._end)

    def _read_as_standby(self, rank: int, now_ms: float) -> ReadLeases | None:
        is_due = now_ms - self._requested_ms >= FOLLOWER_READ_MS
        if rank >= MAX_FOLLOWERS or not is_due:
            return None
        self._record_request(now_ms)
        return ReadLeases(self._end or 0)

    def _may_acquire(
        self, is_holder_alive: bool, waited_ms: float, now_ms: float
    ) -> bool:
        if self._holder is None:
            return True
        if is_holder_alive and waited_ms < HOLDER_HEAD_START_MS:
            return False
        idle_ms = now_ms - self._seen_ms
        return idle_ms >= ACTIVE_MS + self._lease_ms + MARGIN_MS

    def _record_request(self, now_ms: float) -> None:
        self._is_awaiting = True
        self._requested_ms = now_ms

    def _is_own(self, record: LeaseRecord) -> bool:
        own = self._identity
        return record.node == own.node and record.incarnation == own.incarnation


def _decode(value: bytes) -> LeaseRecord | None:
    try:
        return msgspec.json.decode(value, type=LeaseRecord)
    except msgspec.DecodeError:
        return None
