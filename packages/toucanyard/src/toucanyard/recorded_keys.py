"""Allow keys that this node issued, once their backup node has recorded them."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from toucanyard.claim_events import (
    ClaimAction,
    KeyedRequestArrived,
)
from toucanyard.errorcodes import ErrorKind
from toucanyard.issued_keys import IssuedKey, parse_issued_key
from toucanyard.key_answers import refuse, refuse_unclaimed
from toucanyard.key_entries import EndedKey, KeyEntry, Phase
from toucanyard.key_messages import (
    KeysRecorded,
    KeyStatus,
)
from toucanyard.key_records import (
    KeyName,
)
from toucanyard.key_table import KeyTable
from toucanyard.names import (
    NodeId,
)
from toucanyard.recording_batches import RecordingBatches

_ANSWER_TIMEOUT_RESENDS: Final = 10
"""How long the answer to a batch is accepted; its keys are resent meanwhile."""


class RecordedKeys:
    """The keys that this node issued.

    Invariant: a key with a backup node is allowed only after that node has recorded
    it, so a key that the backup node revoked has not run and never will.
    """

    __slots__ = ("_batches", "_table")

    def __init__(self, table: KeyTable) -> None:
        self._table = table
        limits = table.limits
        keep_ms = limits.resend_ms * _ANSWER_TIMEOUT_RESENDS
        self._batches = RecordingBatches(limits.note_gather_ms, keep_ms)

    def handle_arrival(
        self,
        event: KeyedRequestArrived,
        name: KeyName,
        issued: IssuedKey,
        now_ms: float,
    ) -> Iterator[ClaimAction]:
        """Process an attempt with a key that this incarnation issued."""
        table = self._table
        if not table.is_in_window(issued, now_ms):
            yield refuse(event, ErrorKind.KEY_EXPIRED, table.rng)
            return
        if table.is_full(event.customer):
            yield refuse_unclaimed(event, ErrorKind.OVERLOADED, table.rng)
            return
        digest, backup = event.body_digest, issued.backup
        entry = KeyEntry(name, Phase.RECORDING, digest, now_ms, "", issued, backup)
        table.add(entry, event)
        if backup is None:
            yield from table.allow(entry, now_ms)
        elif table.is_gone(backup):
            yield from table.revoke(entry, now_ms)
        else:
            self._enqueue(entry, now_ms)
            if self._batches.is_due(now_ms):
                yield from self.send_waiting(now_ms)

    def send_waiting(self, now_ms: float) -> Iterator[ClaimAction]:
        """Send the queued keys to their backup nodes."""
        self._batches.forget_old(now_ms)
        for backup, message in self._batches.pop_batches(self._is_recording, now_ms):
            yield from self._table.send(backup, message)

    def handle_recorded(
        self, sender: NodeId, message: KeysRecorded, now_ms: float
    ) -> Iterator[ClaimAction]:
        """Allow the keys that were recorded and revoke the others."""
        batch = self._batches.match_answer(sender, message)
        if batch is None:
            return
        for position, name in enumerate(batch.names):
            entry = self._table.find_entry(name)
            if entry is None or entry.phase is not Phase.RECORDING:
                continue
            if position in message.refused:
                yield from self._table.revoke(entry, now_ms)
            else:
                yield from self._table.allow(entry, now_ms)
        if self._batches.is_due(now_ms):
            yield from self.send_waiting(now_ms)

    def revoke_unseen(self, name: KeyName, now_ms: float) -> EndedKey | None:
        """Revoke a key that never arrived here, so that it never will run."""
        table = self._table
        issued = parse_issued_key(name.key)
        if issued is None or issued.issuer != table.identity:
            return None
        if not table.is_in_window(issued, now_ms) or table.is_full(name.customer):
            return None
        revoked = EndedKey(KeyStatus.NOT_RUN, b"", now_ms)
        table.store_ended(name, revoked)
        return revoked

    def tick(self, entry: KeyEntry, now_ms: float) -> Iterator[ClaimAction]:
        """Send the key to the backup node again; revoke it if that node is gone."""
        assert entry.target is not None
        if self._table.is_gone(entry.target):
            yield from self._table.revoke(entry, now_ms)
        elif now_ms - entry.sent_ms >= self._table.limits.resend_ms:
            self._enqueue(entry, now_ms)

    def _enqueue(self, entry: KeyEntry, now_ms: float) -> None:
        assert entry.target is not None
        assert entry.issued is not None
        entry.sent_ms = now_ms
        self._batches.add(entry.target, entry.issued.ledger, entry.name)

    def _is_recording(self, name: KeyName) -> bool:
        entry = self._table.find_entry(name)
        return entry is not None and entry.phase is Phase.RECORDING
