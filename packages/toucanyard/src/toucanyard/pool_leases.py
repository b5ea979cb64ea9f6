"""Determine by records in the log which node brings a pool to its desired state.

The right to send a pool's orders is a lease. A claim is valid if there is no valid
record of the pool within the lease time before it, by the log's clock, and its offset
is the fencing number of the holder's orders. The holder measures its lease on its own
clock from before it sent the append, so it stops before the log permits another holder.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Final

import msgspec

from toucanyard.core_events import AppendToLog
from toucanyard.names import (
    NodeId,
    NodeName,
    PoolName,
)
from toucanyard.vm_view import compute_rank

POOL_LEASE_PREFIX: Final = "duty-"
LEASE_MS: Final = 10_000.0
RENEW_MS: Final = 3_000.0
_DRIFT_SHARE: Final = 0.1
"""Share by which the holder shortens its lease, to allow for clock drift."""
_APPEND_RETRY_MS: Final = 2_000.0
_CANDIDATE_DELAY_MS: Final = 1_000.0
"""Additional wait of each further candidate before it sends a claim."""
_MAX_RECORD_CHARACTERS: Final = 2_048
_MANY_LEASES: Final = 1_024


class PoolLeaseRecord(msgspec.Struct, frozen=True, tag_field="kind", tag="duty"):
    """Claim, renew or release the lease of a pool.

    `fence` is None in a claim, whose own offset becomes the fence; otherwise it is the
    fence that is renewed or, with `is_release`, released. By `record_id` the author
    recognizes its own records.
    """

    pool: PoolName
    node: NodeId
    record_id: str
    fence: int | None = None
    is_release: bool = False


class PoolLease(msgspec.Struct, frozen=True):
    """A lease that this node holds until a time on its own clock."""

    pool: PoolName
    fence: int
    until_ms: float


class _Lease(msgspec.Struct):
    """The state of one pool's lease, by the records read.

    While `is_known` is false, records before the first one read may be missing, and
    only the times of records are stored.
    """

    is_known: bool
    holder: NodeId | None = None
    fence: int = -1
    last_at_ms: float | None = None
    seen_ms: float | None = None
    until_ms: float = float("-inf")
    """End of the lease by this node's clock, if this node holds it."""


class _PendingAppend(msgspec.Struct, frozen=True):
    pool: PoolName
    sent_ms: float


class PoolLeases:
    """The leases of all pools as known on one node.

    Invariant: at any time at most one node holds a valid lease that has not expired on
    its own clock, unless clocks drift by more than a tenth of the lease.
    """

    def __init__(self, identity: NodeId, rng: random.Random) -> None:
        self._identity = identity
        self._rng = rng
        self._leases: dict[PoolName, _Lease] = {}
        self._pending: dict[str, _PendingAppend] = {}
        self._number = 0
        self._is_complete = False
        self._first_at_ms: float | None = None
        self._head_since_ms: float | None = None
        self._log_ms = float("-inf")

    def set_read_start(self, oldest: int, from_offset: int) -> None:
        """Record where reading starts, hence whether earlier records are missing."""
        self._is_complete = oldest == 0 and from_offset == 0

    def handle_expired(self) -> None:
        """Discard all state, since records expired before they were read."""
        self._is_complete = False
        self._first_at_ms = None
        self._head_since_ms = None
        self._leases.clear()

    def update_log_end(self, asked_ms: float) -> None:
        """Record that the log was read up to its end at `asked_ms`."""
        if self._head_since_ms is None:
            self._head_since_ms = asked_ms

    def find_held(self, now_ms: float) -> list[PoolLease]:
        """Return the leases under which this node may send orders now."""
        return [
            PoolLease(pool, lease.fence, lease.until_ms)
            for pool, lease in self._leases.items()
            if lease.holder == self._identity and now_ms < lease.until_ms
        ]

    def find_holder(self, pool: PoolName) -> NodeId | None:
        """Return the last holder of a pool's lease according to the log."""
        lease = self._leases.get(pool)
        return None if lease is None else lease.holder

    def apply_record(self, offset: int, at_ms: float, text: str, now_ms: float) -> None:
        """Replay one record of any kind; no text raises an exception."""
        at_ms = self._log_ms = max(at_ms, self._log_ms)
        if self._first_at_ms is None:
            self._first_at_ms = at_ms
        record = _decode(text)
        if record is None:
            return
        sent = self._pending.pop(record.record_id, None)
        is_mine = record.node == self._identity and sent is not None
        lease = self._leases.get(record.pool)
        if lease is None:
            self._drop_expired(at_ms)
            lease = self._leases[record.pool] = _Lease(self._is_complete)
        if not self._is_valid(lease, record, at_ms, now_ms):
            if not lease.is_known:
                lease.last_at_ms = at_ms
                lease.seen_ms = now_ms
            return
        lease.is_known = True
        lease.last_at_ms = at_ms
        lease.seen_ms = now_ms
        if record.is_release:
            lease.holder = None
            return
        lease.holder = record.node
        if record.fence is None:
            lease.fence = offset
            lease.until_ms = float("-inf")
        if is_mine and sent is not None:
            lease.until_ms = sent.sent_ms + LEASE_MS * (1 - _DRIFT_SHARE)

    def tick(
        self, pools: Sequence[PoolName], nodes: Sequence[NodeName], now_ms: float
    ) -> list[AppendToLog]:
        """Return records to append: renewals, and claims of leases that are free.

        Called only while the configuration is known to be current.
        """
        lost = [
            record_id
            for record_id, sent in self._pending.items()
            if now_ms - sent.sent_ms > LEASE_MS
        ]
        for record_id in lost:
            del self._pending[record_id]
        appends: list[AppendToLog] = []
        for pool in pools:
            if any(
                sent.pool == pool and now_ms - sent.sent_ms < _APPEND_RETRY_MS
                for sent in self._pending.values()
            ):
                continue
            lease = self._leases.get(pool)
            if lease is not None and self._is_to_renew(lease, now_ms):
                appends.append(self._append(pool, lease.fence, now_ms))
            elif self._is_to_claim(pool, lease, nodes, now_ms):
                appends.append(self._append(pool, None, now_ms))
        return appends

    def release(self, now_ms: float) -> list[AppendToLog]:
        """Release all leases, for a planned stop; none is held afterwards."""
        appends: list[AppendToLog] = []
        for held in self.find_held(now_ms):
            self._leases[held.pool].until_ms = float("-inf")
            append = self._append(held.pool, held.fence, now_ms, is_release=True)
            appends.append(append)
        return appends

    def give_up(self, pool: PoolName) -> None:
        """Stop using a lease at once, since an endpoint has a higher fence."""
        lease = self._leases.get(pool)
        if lease is not None:
            lease.until_ms = float("-inf")

    def _drop_expired(self, at_ms: float) -> None:
        """Delete expired leases once there are many.

        An expired lease is equivalent to none, and records that keep naming new pools
        would otherwise exhaust the memory.
        """
        if len(self._leases) < _MANY_LEASES:
            return
        for pool, lease in list(self._leases.items()):
            if lease.last_at_ms is None or at_ms - lease.last_at_ms >= LEASE_MS:
                del self._leases[pool]

    def _is_valid(
        self, lease: _Lease, record: PoolLeaseRecord, at_ms: float, now_ms: float
    ) -> bool:
        last_ms = lease.last_at_ms
        is_free = last_ms is None or at_ms - last_ms >= LEASE_MS
        if not lease.is_known:
            # An unread record may have made another node the holder. After the full
            # lease time without a record of the pool, any earlier lease has expired.
            return record.fence is None and is_free and self._covers(at_ms, now_ms)
        if record.fence is None:
            return is_free or lease.holder is None
        is_holder = record.node == lease.holder and record.fence == lease.fence
        return is_holder and not is_free

    def _covers(self, at_ms: float, now_ms: float) -> bool:
        """Return whether the log was read for the full lease time before a record."""
        if self._first_at_ms is not None and at_ms - self._first_at_ms >= LEASE_MS:
            return True
        since_ms = self._head_since_ms
        return (
            since_ms is not None and now_ms - since_ms >= self._compute_takeover_wait()
        )

    def _compute_takeover_wait(self) -> float:
        return LEASE_MS * (1 + _DRIFT_SHARE)

    def _is_to_renew(self, lease: _Lease, now_ms: float) -> bool:
        if lease.holder != self._identity or now_ms >= lease.until_ms:
            return False
        sent_ms = lease.until_ms - LEASE_MS * (1 - _DRIFT_SHARE)
        return now_ms - sent_ms >= RENEW_MS

    def _is_to_claim(
        self,
        pool: PoolName,
        lease: _Lease | None,
        nodes: Sequence[NodeName],
        now_ms: float,
    ) -> bool:
        if self._head_since_ms is None:
            return False
        own = self._identity.node
        rank = sum(
            compute_rank(pool, node) > compute_rank(pool, own)
            for node in nodes
            if node != own
        )
        wait_ms = min(rank, 8) * _CANDIDATE_DELAY_MS
        if lease is not None and lease.seen_ms is not None:
            is_released = lease.is_known and lease.holder is None
            start_ms = lease.seen_ms
            wait_ms += 0.0 if is_released else self._compute_takeover_wait()
        else:
            start_ms = self._head_since_ms
            wait_ms += 0.0 if self._is_complete else self._compute_takeover_wait()
        return now_ms - start_ms >= wait_ms

    def _append(
        self,
        pool: PoolName,
        fence: int | None,
        now_ms: float,
        *,
        is_release: bool = False,
    ) -> AppendToLog:
        self._number += 1
        identity = self._identity
        record_id = (
            f"{POOL_LEASE_PREFIX}{identity.node}-{identity.incarnation}-{self._number}"
        )
        self._pending[record_id] = _PendingAppend(pool, now_ms)
        record = PoolLeaseRecord(pool, identity, record_id, fence, is_release)
        text = msgspec.json.encode(record).decode()
        return AppendToLog(record_id, text, is_urgent=False)


def _decode(text: str) -> PoolLeaseRecord | None:
    if len(text) > _MAX_RECORD_CHARACTERS or '"duty"' not in text:
        return None
    try:
        return msgspec.json.decode(text.encode(), type=PoolLeaseRecord)
    except (msgspec.DecodeError, UnicodeEncodeError, RecursionError):
        return None
