"""Quarantine requests that crash replicas, so that no replica runs them.

An entry is stored in the platform's log, so that it outlives the nodes and reaches
those that start later. It ends when the request has not arrived for the entry's
lifetime, when an operator releases it, or when a replica has survived the request.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Iterable, Iterator
from typing import Final

import msgspec

from toucanyard.names import CustomerName, EndpointName, Fingerprint, RequestId

TTL_MS: Final = 3_600_000.0
"""Lifetime of an entry after the request last arrived, by the record in the log."""
RENEW_MS: Final = TTL_MS / 4
"""Age of a record after which a node that receives the request writes it again."""
MAX_ENTRIES: Final = 1_024
"""Entries of one node; the one whose request arrived longest ago is evicted first."""
WRITE_DELAY_MS: Final = 250.0
"""Delay before an entry is written, in which a survival may still be reported."""
RANK_DELAY_MS: Final = 500.0
"""Additional delay per rank before a node writes what the log lacks."""
MAX_RANK: Final = 4
TICK_MS: Final = 100.0
"""Minimum time between two scans of all entries."""
RETRY_MS: Final = 2_000.0
"""Time between two attempts to write one record."""
ID_BITS: Final = 32
NEVER: Final = float("-inf")


class QuarantinedRequest(msgspec.Struct, frozen=True):
    """One entry as stored in the log."""

    fingerprint: Fingerprint
    entry_id: str
    """Differs for each quarantine of the same request."""
    customer: CustomerName
    route: str
    replicas: tuple[EndpointName, ...]
    """Incarnations of replicas that crashed while they ran the request."""


class Release(msgspec.Struct, frozen=True):
    """An operator's order to end an entry."""

    fingerprint: Fingerprint
    entry_id: str


class WriteQuarantine(msgspec.Struct, frozen=True):
    """Write an entry to the log; answered by one QuarantineWritten."""

    request: QuarantinedRequest


class EraseQuarantine(msgspec.Struct, frozen=True):
    """Remove an entry from the log; answered by one QuarantineErased."""

    fingerprint: Fingerprint


class Entry(msgspec.Struct):
    """One entry as a node holds it."""

    request: QuarantinedRequest
    begun_ms: float
    asked_ms: float
    """When the request last arrived, or when the entry was received."""
    stored_ms: float | None = None
    """When its record was written or read; None before that."""
    written_ms: float = NEVER
    """When this node last tried to write it."""
    lost_ms: float | None = None
    """When the record was found to be lost by the store, unless written again."""
    refused: int = 0
    trial_id: RequestId | None = None
    """The call that is let through, to find out whether the verdict was wrong."""
    is_tried: bool = False


FindRank = Callable[[str, float], int]


class Quarantine:
    """The entries of one node. Invariant: never more than MAX_ENTRIES."""

    __slots__ = (
        "_ended",
        "_entries",
        "_erasing",
        "_find_rank",
        "_released",
        "_rng",
        "_ticked_ms",
    )

    def __init__(self, find_rank: FindRank, rng: random.Random) -> None:
        self._find_rank = find_rank
        self._rng = rng
        self._entries: dict[Fingerprint, Entry] = {}
        self._erasing: dict[Fingerprint, float] = {}
        """Records to remove, and when this node last tried."""
        self._released: set[Release] = set()
        self._ended: dict[Release, None] = {}
        """The last entries that have ended; a restored store may list them again."""
        self._ticked_ms = float("-inf")

    def find(self, fingerprint: Fingerprint) -> Entry | None:
        """Return the entry of a request."""
        return self._entries.get(fingerprint)

    def is_held(self, fingerprint: Fingerprint) -> bool:
        """Return whether a request or block is under quarantine."""
        return fingerprint in self._entries

    def is_empty(self) -> bool:
        """Return whether nothing is under quarantine."""
        return not self._entries

    def list_held(self) -> Iterable[Fingerprint]:
        """Return the requests and blocks under quarantine."""
        return self._entries

    def list_entries(self) -> Iterable[Entry]:
        """Return all entries."""
        return self._entries.values()

    def record_refusal(self, entry: Entry, now_ms: float) -> None:
        """Record that the request of an entry was refused again."""
        entry.asked_ms = now_ms
        entry.refused += 1

    def begin(
        self,
        fingerprint: Fingerprint,
        customer: CustomerName,
        route: str,
        replicas: Iterable[EndpointName],
        now_ms: float,
    ) -> Entry:
        """Quarantine a request."""
        entry_id = f"{self._rng.getrandbits(ID_BITS):08x}"
        request = QuarantinedRequest(
            fingerprint, entry_id, customer, route, tuple(replicas)
        )
        return self._add(Entry(request, now_ms, now_ms))

    def apply_record(self, request: QuarantinedRequest, now_ms: float) -> bool:
        """Apply a record from the log; return whether the entry is new."""
        entry = self._entries.get(request.fingerprint)
        if self._has_ended(request):
            if entry is None:
                self._erasing.setdefault(request.fingerprint, now_ms)
            else:
                # The record of an earlier entry has replaced that of the current one.
                self._mark_lost(entry, now_ms)
            return False
        if entry is None:
            self._add(Entry(request, now_ms, now_ms, stored_ms=now_ms))
            return True
        entry.request = request
        entry.stored_ms = now_ms
        entry.lost_ms = None
        return False

    def apply_lost(self, request: QuarantinedRequest, now_ms: float) -> bool:
        """Apply a record that the store has lost; return whether the entry is new."""
        if self._has_ended(request):
            return False
        entry = self._entries.get(request.fingerprint)
        is_new = entry is None
        if entry is None:
            entry = self._add(Entry(request, now_ms, now_ms))
        self._mark_lost(entry, now_ms)
        return is_new

    def retain_stored(
        self, stored: Collection[QuarantinedRequest], now_ms: float
    ) -> None:
        """Write and erase again what a restored store has lost."""
        for entry in self._entries.values():
            if entry.stored_ms is not None and entry.request not in stored:
                self._mark_lost(entry, now_ms)
        for request in stored:
            if self._has_ended(request) and request.fingerprint not in self._entries:
                self._erasing.setdefault(request.fingerprint, now_ms)

    def _mark_lost(self, entry: Entry, now_ms: float) -> None:
        entry.stored_ms = None
        entry.lost_ms = now_ms
        entry.written_ms = NEVER

    def _has_ended(self, request: QuarantinedRequest) -> bool:
        ended = Release(request.fingerprint, request.entry_id)
        return ended in self._released or ended in self._ended

    def _record_ended(self, request: QuarantinedRequest) -> None:
        self._ended[Release(request.fingerprint, request.entry_id)] = None
        if len(self._ended) > MAX_ENTRIES:
            del self._ended[next(iter(self._ended))]

    def on_record_removed(self, fingerprint: Fingerprint) -> bool:
        """Drop an entry whose record was removed; return whether there was one."""
        self._erasing.pop(fingerprint, None)
        entry = self._entries.pop(fingerprint, None)
        if entry is not None:
            self._record_ended(entry.request)
        return entry is not None

    def on_written(self, fingerprint: Fingerprint, now_ms: float) -> None:
        """Record that the log has stored this node's record."""
        entry = self._entries.get(fingerprint)
        if entry is not None:
            entry.stored_ms = now_ms
            entry.lost_ms = None

    def on_erased(self, fingerprint: Fingerprint) -> None:
        """Record that the log has accepted the removal of a record."""
        self._erasing.pop(fingerprint, None)

    def end(self, fingerprint: Fingerprint, now_ms: float) -> bool:
        """End an entry and schedule its removal; return whether there was one."""
        entry = self._entries.pop(fingerprint, None)
        if entry is None:
            return False
        self._record_ended(entry.request)
        is_written = entry.written_ms > NEVER or entry.lost_ms is not None
        if entry.stored_ms is not None or is_written:
            self._erasing[fingerprint] = now_ms
        return True

    def release(self, release: Release, now_ms: float) -> bool:
        """End the entry that an operator released; return whether there was one."""
        self._released.add(release)
        entry = self._entries.get(release.fingerprint)
        if entry is None or entry.request.entry_id != release.entry_id:
            return False
        return self.end(release.fingerprint, now_ms)

    def tick(self, now_ms: float) -> Iterator[WriteQuarantine | EraseQuarantine]:
        """Write entries that the log lacks, and remove those that have ended."""
        if now_ms - self._ticked_ms < TICK_MS:
            return
        self._ticked_ms = now_ms
        for fingerprint, entry in list(self._entries.items()):
            if now_ms - _find_lifetime_start(entry) >= TTL_MS:
                self.end(fingerprint, now_ms)
            elif self._is_write_due(entry, now_ms):
                entry.written_ms = now_ms
                yield WriteQuarantine(entry.request)
        for fingerprint, due_ms in list(self._erasing.items()):
            if now_ms >= due_ms + self._compute_delay(fingerprint, now_ms):
                self._erasing[fingerprint] = now_ms + RETRY_MS
                yield EraseQuarantine(fingerprint)

    def _add(self, entry: Entry) -> Entry:
        self._entries[entry.request.fingerprint] = entry
        self._erasing.pop(entry.request.fingerprint, None)
        if len(self._entries) > MAX_ENTRIES:
            oldest = min(self._entries.values(), key=lambda each: each.asked_ms)
            self.end(oldest.request.fingerprint, entry.begun_ms)
        return entry

    def _is_write_due(self, entry: Entry, now_ms: float) -> bool:
        if now_ms - entry.written_ms < RETRY_MS:
            return False
        if entry.stored_ms is not None:
            is_old = now_ms - entry.stored_ms >= RENEW_MS
            return is_old and entry.asked_ms > entry.stored_ms
        delay_ms = self._compute_delay(entry.request.fingerprint, now_ms)
        begun_ms = entry.begun_ms if entry.lost_ms is None else entry.lost_ms
        return now_ms - begun_ms >= delay_ms

    def _compute_delay(self, fingerprint: Fingerprint, now_ms: float) -> float:
        rank = min(self._find_rank(fingerprint, now_ms), MAX_RANK)
        return WRITE_DELAY_MS + rank * RANK_DELAY_MS


def _find_lifetime_start(entry: Entry) -> float:
    """Return the start of an entry's lifetime, which is the same on all nodes."""
    return entry.begun_ms if entry.stored_ms is None else entry.stored_ms
