"""Index the claim records of the log: which node owns which caller-chosen key.

The first claim of a key in offset order wins for as long as it is retained. The index
must read the log without a gap, from its oldest record on or from a record that is
older than the retention time of claims (`log_start`).
"""

from __future__ import annotations

from typing import Final

import msgspec

from toucanyard.claim_events import (
    ClaimRecordsRead,
)
from toucanyard.key_records import (
    AbandonRecord,
    ClaimRecord,
    HandoverRecord,
    KeyName,
    decode_record,
)
from toucanyard.names import (
    NodeId,
)
from toucanyard.platform_log import (
    LogRecord,
)

_RETENTION_WINDOWS: Final = 1.25
"""Retention time of claims in windows. Longer than a key may be used, which tolerates
clock drift between nodes."""


class Claim(msgspec.Struct, gc=False):
    """The winning claim of one key.

    Exempt from garbage collection: it can be part of no reference cycle, and a scan of
    all claims of a window would pause every stream.
    """

    claim_id: str
    claimer: NodeId
    digest: bytes
    at_ms: float
    """When the log accepted it, by the log's clock."""
    read_ms: float
    is_abandoned: bool
    is_certain: bool
    """False if an earlier claim may have won: one that was dropped because the index
    was full, or one that is expired by the log's clock only."""

    def is_abandoned_as(self, claim_id: str) -> bool:
        """Return whether this is the given claim and it was never dispatched."""
        return self.is_abandoned and self.claim_id == claim_id


class ClaimIndex:
    """The winning claims of the window.

    Invariants: a claim expires only when it is older than the window both by the log's
    clock and by this node's, so that a jump of either clock can't make a key run
    again; a claim that another node may have allowed is never skipped, even though
    nodes expire claims at different times; while a claim is missing because the index
    was full, `is_complete` is false.
    """

    __slots__ = (
        "_given_up",
        "_claims",
        "_missed_at_ms",
        "_missed_read_ms",
        "_log_now_ms",
        "_max_keys",
        "_retention_ms",
        "_window_ms",
        "next_offset",
    )

    def __init__(self, window_ms: float, max_keys: int) -> None:
        self._window_ms = window_ms
        self._retention_ms = window_ms * _RETENTION_WINDOWS
        self._max_keys = max_keys
        self._claims: dict[KeyName, Claim] = {}
        self._given_up: dict[str, float] = {}
        self._log_now_ms = float("-inf")
        self._missed_at_ms: float | None = None
        self._missed_read_ms = 0.0
        self.next_offset: int | None = None

    def __len__(self) -> int:
        return len(self._claims)

    def find(self, name: KeyName) -> Claim | None:
        """Return the winning claim of a key."""
        return self._claims.get(name)

    def is_winner(self, claim_id: str, name: KeyName) -> bool:
        """Return whether this claim is known to be the first of its key."""
        claim = self._claims.get(name)
        return claim is not None and claim.claim_id == claim_id and claim.is_certain

    def is_fresh(self, name: KeyName, claim_id: str, now_ms: float) -> bool:
        """Return whether no node can have expired this claim of a key yet.

        Past the window another node may have claimed and run the key again, by a claim
        that this node has not read yet; this claim then no longer proves NOT_RUN.
        """
        claim = self._claims.get(name)
        if claim is None or claim.claim_id != claim_id:
            return False
        age_ms = max(now_ms - claim.read_ms, self._log_now_ms - claim.at_ms)
        return age_ms < self._window_ms

    def is_complete(self) -> bool:
        """Return whether the index holds every claim of the window."""
        return self._missed_at_ms is None

    def is_given_up(self, claim_id: str) -> bool:
        """Return whether this node gave up its claim before reading it back."""
        return claim_id in self._given_up

    def has_gap_before(self, event: ClaimRecordsRead) -> bool:
        """Return whether records were missed since the last read."""
        return self.next_offset is not None and event.from_offset > self.next_offset

    def read(
        self, event: ClaimRecordsRead, now_ms: float
    ) -> list[ClaimRecord | HandoverRecord]:
        """Apply records in offset order; return those that the caller must act on."""
        start = event.from_offset if self.next_offset is None else self.next_offset
        self.next_offset = max(start, event.next_offset)
        found: list[ClaimRecord | HandoverRecord] = []
        for record in event.records:
            # Skip records of an overlapping read, so that no claim is counted twice.
            if record.offset < start:
                continue
            self._log_now_ms = max(self._log_now_ms, record.at_ms)
            match decode_record(record.text):
                case ClaimRecord() as claim:
                    self._apply_claim(claim, record, now_ms)
                    found.append(claim)
                case AbandonRecord(claim_id=claim_id, name=name):
                    self.abandon(claim_id, name)
                case HandoverRecord() as handover:
                    found.append(handover)
        return found

    def give_up(self, claim_id: str, now_ms: float) -> None:
        """Mark a claim of this node that was not read back as never dispatched."""
        self._given_up[claim_id] = now_ms

    def abandon(self, claim_id: str, name: KeyName) -> None:
        """Mark the winning claim of a key as never dispatched."""
        if self.is_winner(claim_id, name):
            self._claims[name].is_abandoned = True

    def forget_old(self, now_ms: float) -> None:
        """Remove expired claims."""
        for name in self._find_old(now_ms):
            del self._claims[name]
        while self._given_up:
            claim_id = next(iter(self._given_up))
            if now_ms - self._given_up[claim_id] < 2 * self._retention_ms:
                break
            del self._given_up[claim_id]
        missed_at_ms = self._missed_at_ms
        if missed_at_ms is not None and self._is_old(
            missed_at_ms, self._missed_read_ms, now_ms
        ):
            self._missed_at_ms = None

    def _find_old(self, now_ms: float) -> list[KeyName]:
        old = []
        for name, claim in self._claims.items():
            if not self._is_old(claim.at_ms, claim.read_ms, now_ms):
                break
            old.append(name)
        return old

    def _is_old(self, at_ms: float, read_ms: float, now_ms: float) -> bool:
        if now_ms - read_ms < self._retention_ms:
            return False
        return self._log_now_ms - at_ms >= self._retention_ms

    def _apply_claim(
        self, claim: ClaimRecord, record: LogRecord, now_ms: float
    ) -> None:
        known = self._claims.get(claim.name)
        if known is None and len(self._claims) >= self._max_keys:
            self._missed_at_ms = record.at_ms
            self._missed_read_ms = now_ms
        elif known is None:
            self._add(claim, record, now_ms, is_certain=self.is_complete())
        elif self._log_now_ms - known.at_ms >= self._retention_ms:
            # Nodes expire claims at different times, so another node may already have
            # expired the earlier claim and run this one. If this one were skipped, it
            # would be missing here once the earlier one expires, and the key would run
            # again. As long as the earlier claim is not expired by this node's clock,
            # it is uncertain whether another node ran this one.
            is_old = self._is_old(known.at_ms, known.read_ms, now_ms)
            is_certain = is_old and self.is_complete()
            self._add(claim, record, now_ms, is_certain)

    def _add(
        self, claim: ClaimRecord, record: LogRecord, now_ms: float, is_certain: bool
    ) -> None:
        self._claims.pop(claim.name, None)
        self._claims[claim.name] = Claim(
            claim.claim_id,
            claim.claimer,
            claim.digest,
            record.at_ms,
            now_ms,
            is_abandoned=False,
            is_certain=is_certain,
        )
