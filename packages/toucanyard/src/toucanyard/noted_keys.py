"""Run keys that this node issued, once their witness has noted them."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from toucanyard.claim_events import (
    ClaimAction,
    KeyedArrived,
)
from toucanyard.errorcodes import ErrorKind
from toucanyard.issued_keys import IssuedKey, parse_issued_key
from toucanyard.key_answers import refuse, refuse_unclaimed
from toucanyard.key_book import KeyBook
from toucanyard.key_entries import EndedKey, KeyEntry, Phase
from toucanyard.key_messages import (
    KeysNoted,
    KeyStatus,
)
from toucanyard.key_records import (
    KeyName,
)
from toucanyard.names import (
    NodeId,
)
from toucanyard.note_batches import NoteBatches

_KEEP_IN_RESENDS: Final = 10
"""How long the answer to a note counts; it is asked again all the while."""


class NotedKeys:
    """Keys of which this node is the issuer.

    Invariant: a key with a witness is allowed only after the witness has noted it,
    so a key that the witness sealed has not run and never will.
    """

    __slots__ = ("_batches", "_book")

    def __init__(self, book: KeyBook) -> None:
        self._book = book
        limits = book.limits
        keep_ms = limits.resend_ms * _KEEP_IN_RESENDS
        self._batches = NoteBatches(limits.note_gather_ms, keep_ms)

    def arrive(
        self, event: KeyedArrived, name: KeyName, issued: IssuedKey, now_ms: float
    ) -> Iterator[ClaimAction]:
        """Take in a key that this incarnation issued."""
        book = self._book
        if not book.is_in_window(issued, now_ms):
            yield refuse(event, ErrorKind.KEY_EXPIRED, book.rng)
            return
        if book.is_full(event.customer):
            yield refuse_unclaimed(event, ErrorKind.OVERLOADED, book.rng)
            return
        digest, witness = event.body_digest, issued.witness
        entry = KeyEntry(name, Phase.NOTING, digest, now_ms, "", issued, witness)
        book.add(entry, event)
        if witness is None:
            yield from book.allow(entry, now_ms)
        elif book.is_gone(witness):
            yield from book.seal(entry, now_ms)
        else:
            self._ask(entry, now_ms)
            if self._batches.is_due(now_ms):
                yield from self.send_waiting(now_ms)

    def send_waiting(self, now_ms: float) -> Iterator[ClaimAction]:
        """Send the notes that were gathered."""
        self._batches.forget_old(now_ms)
        for witness, message in self._batches.take(self._is_noting, now_ms):
            yield from self._book.send(witness, message)

    def take_noted(
        self, sender: NodeId, message: KeysNoted, now_ms: float
    ) -> Iterator[ClaimAction]:
        """Allow the keys that were noted, seal the others."""
        batch = self._batches.take_answer(sender, message)
        if batch is None:
            return
        for place, name in enumerate(batch.names):
            entry = self._book.find_entry(name)
            if entry is None or entry.phase is not Phase.NOTING:
                continue
            if place in message.refused:
                yield from self._book.seal(entry, now_ms)
            else:
                yield from self._book.allow(entry, now_ms)
        if self._batches.is_due(now_ms):
            yield from self.send_waiting(now_ms)

    def seal_unseen(self, name: KeyName, now_ms: float) -> EndedKey | None:
        """Seal a key that never arrived here, so that it never will run."""
        book = self._book
        issued = parse_issued_key(name.key)
        if issued is None or issued.issuer != book.identity:
            return None
        if not book.is_in_window(issued, now_ms) or book.is_full(name.customer):
            return None
        sealed = EndedKey(KeyStatus.NOT_RUN, b"", now_ms)
        book.keep_ended(name, sealed)
        return sealed

    def tick(self, entry: KeyEntry, now_ms: float) -> Iterator[ClaimAction]:
        """Ask the witness again; seal when it is gone."""
        assert entry.target is not None
        if self._book.is_gone(entry.target):
            yield from self._book.seal(entry, now_ms)
        elif now_ms - entry.sent_ms >= self._book.limits.resend_ms:
            self._ask(entry, now_ms)

    def _ask(self, entry: KeyEntry, now_ms: float) -> None:
        assert entry.target is not None
        assert entry.issued is not None
        entry.sent_ms = now_ms
        self._batches.add(entry.target, entry.issued.ledger, entry.name)

    def _is_noting(self, name: KeyName) -> bool:
        entry = self._book.find_entry(name)
        return entry is not None and entry.phase is Phase.NOTING
