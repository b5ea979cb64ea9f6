"""Lease the right to send weight orders to one node at a time, by conditional appends.

The record that starts a lease is appended only if the topic has not changed since its
author last read it, and its position gives the fence of the orders. The holder may act
for a short time after each of its records. Another node waits for that time plus the
minimum time between two holders, counted on its own clock from when it read the last
record. Both use clocks that advance while a VM is suspended.

Records expire. A node that finds that records have been deleted before it read them
doesn't know who wrote them, so it counts as a new candidate, as after a record of
another node: it waits, and takes a fence of its own.

A store that is restored from a copy may have lost the holder's records, and the
condition of a delayed append may hold once more. So a record counts only in the era in
which its author read the topic, and after a restore all nodes but the last holder wait
as long as after a record of another node.
"""

from __future__ import annotations

from typing import Final

import msgspec

from toucanyard.log_entries import LogEntry
from toucanyard.log_position import START, LogPosition
from toucanyard.names import Incarnation, NodeId, NodeName
from toucanyard.relay_events import (
    AppendLease,
    LeaseAppended,
    LeaseRead,
    ReadLeases,
)
from toucanyard.store_era import StoreEra

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
FENCE_OFFSET_BITS: Final = 32
"""Low bits of a fence, for the offset; the bits above are the era's."""


class LeaseRecord(msgspec.Struct, frozen=True):
    """The node that acquires or renews the lease."""

    node: NodeName
    incarnation: Incarnation
    era: int = 0
    """Era of the store in which the author read the end of the topic."""


class Lease(msgspec.Struct, frozen=True):
    """A lease that this node holds."""

    fence: int
    until_ms: float


def compute_fence(position: LogPosition) -> int:
    """Return a fence that rises with the position, also when offsets are reused."""
    return (position.era << FENCE_OFFSET_BITS) + position.offset


class Leases:
    """The lease as known on one node.

    Invariant: at most one node is within ACTIVE_MS after its last record, and these
    periods of two holders are at least `lease_ms` apart. A later holder's fence is
    higher.
    """

    __slots__ = (
        "_end",
        "_era",
        "_fence",
        "_holder",
        "_identity",
        "_is_awaiting",
        "_known_era",
        "_lease_ms",
        "_requested_ms",
        "_reserved_until_ms",
        "_seen_end",
        "_seen_ms",
        "_until_ms",
    )

    def __init__(
        self, identity: NodeId, lease_ms: float, era: StoreEra | None = None
    ) -> None:
        self._identity = identity
        self._lease_ms = lease_ms
        self._era = StoreEra() if era is None else era
        self._known_era = 0
        """The era to which the fields below refer."""
        self._end: LogPosition | None = None
        self._holder: LeaseRecord | None = None
        self._seen_ms = float("-inf")
        """When the last record of any holder may have been written."""
        self._seen_end = START
        self._fence = -1
        self._until_ms = float("-inf")
        self._reserved_until_ms = float("-inf")
        """Until when no other node acquires the lease after this node's last record."""
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
        self._until_ms = self._reserved_until_ms = float("-inf")
        self._fence = -1
        self._end = None

    def apply_read(self, read: LeaseRead, now_ms: float) -> list[LogEntry]:
        """Apply records that were read; those of other nodes end this node's lease."""
        self._is_awaiting = False
        self._era.record(read.era, "leases", now_ms)
        self._update_era(now_ms)
        if read.era < self._known_era:
            return []
        entries = self._apply_deleted(read, now_ms)
        for offset, value in read.records:
            record = _decode(value)
            # A record that is read again still dates from when it was first read.
            is_old = LogPosition(read.era, offset) < self._seen_end
            if record is None or is_old or record.era < read.era:
                continue
            self._holder = record
            self._seen_ms = now_ms
            if not self._is_own(record):
                self._fence = -1
                self._reserved_until_ms = float("-inf")
        self._end = LogPosition(read.era, read.end)
        self._seen_end = max(self._seen_end, self._end)
        return entries

    def _apply_deleted(self, read: LeaseRead, now_ms: float) -> list[LogEntry]:
        """Account for records that were deleted unread, perhaps those of a holder."""
        begin = read.records[0][0] if read.records else read.end
        if LogPosition(read.era, begin) <= self._seen_end:
            return []
        self._seen_ms = now_ms
        fields: dict[str, object] = {
            "seen_end": self._seen_end.offset,
            "begin": begin,
            "holder": self.find_holder() or "",
            "fence": self._fence,
            "is_reserved": now_ms < self._reserved_until_ms,
        }
        self._forget_past_holder(now_ms)
        return [LogEntry("lease_records_missed", fields)]

    def apply_append(self, appended: LeaseAppended, now_ms: float) -> None:
        """Apply the result of an append."""
        self._is_awaiting = False
        self._era.record(appended.era, "leases", now_ms)
        self._update_era(now_ms)
        is_current = appended.era == appended.condition_era == self._known_era
        if appended.offset is None or not is_current:
            # The append may have succeeded, or may do so later: only a read shows it.
            self._end = None
            return
        position = LogPosition(appended.era, appended.offset)
        if self._fence < 0:
            self._fence = compute_fence(position)
        self._end = self._seen_end = LogPosition(appended.era, appended.offset + 1)
        self._holder = self._build_record()
        self._seen_ms = appended.sent_ms
        self._until_ms = appended.sent_ms + ACTIVE_MS
        self._reserved_until_ms = self._until_ms + self._lease_ms

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
        self._update_era(now_ms)
        if self._is_awaiting and now_ms - self._requested_ms < REQUEST_TIMEOUT_MS:
            return None
        if now_ms < self._until_ms - RENEW_MS:
            return None
        waited_ms = now_ms - work_since_ms
        is_last = self._is_last_holder(now_ms)
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
        value = msgspec.json.encode(self._build_record())
        return AppendLease(value, self._end.offset, self._end.era)

    def _update_era(self, now_ms: float) -> None:
        """Discard what was read of the topic before the store was restored."""
        if self._known_era == self._era.era:
            return
        self._known_era = self._era.era
        self._end = None
        self._seen_end = LogPosition(self._known_era, 0)
        self._is_awaiting = False
        self._forget_past_holder(now_ms)
        # Whoever held the lease wrote its last record before the restore.
        self._seen_ms = max(self._seen_ms, self._era.since_ms)

    def _forget_past_holder(self, now_ms: float) -> None:
        """Forget who held the lease, unless no other node can have acquired it."""
        if now_ms >= self._reserved_until_ms:
            self._holder = None
            self._fence = -1

    def _is_last_holder(self, now_ms: float) -> bool:
        """Return whether no other node has acquired the lease since this one had it."""
        if self._holder is None or not self._is_own(self._holder):
            return False
        is_current = self._holder.era == self._known_era
        return is_current or now_ms < self._reserved_until_ms

    def _read_as_standby(self, rank: int, now_ms: float) -> ReadLeases | None:
        is_due = now_ms - self._requested_ms >= FOLLOWER_READ_MS
        if rank >= MAX_FOLLOWERS or not is_due:
            return None
        self._record_request(now_ms)
        return ReadLeases(0 if self._end is None else self._end.offset)

    def _may_acquire(
        self, is_holder_alive: bool, waited_ms: float, now_ms: float
    ) -> bool:
        has_holder = self._holder is not None
        if has_holder and is_holder_alive and waited_ms < HOLDER_HEAD_START_MS:
            return False
        idle_ms = now_ms - self._seen_ms
        return idle_ms >= ACTIVE_MS + self._lease_ms + MARGIN_MS

    def _record_request(self, now_ms: float) -> None:
        self._is_awaiting = True
        self._requested_ms = now_ms

    def _build_record(self) -> LeaseRecord:
        own = self._identity
        return LeaseRecord(own.node, own.incarnation, self._known_era)

    def _is_own(self, record: LeaseRecord) -> bool:
        own = self._identity
        return record.node == own.node and record.incarnation == own.incarnation


def _decode(value: bytes) -> LeaseRecord | None:
    try:
        return msgspec.json.decode(value, type=LeaseRecord)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
