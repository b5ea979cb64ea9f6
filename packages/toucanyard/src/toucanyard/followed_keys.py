"""Follow a key that only another node may dispatch, until that one tells its end."""

from __future__ import annotations

from collections.abc import Iterator

from toucanyard.claim_messages import (
    AskKey,
    ClaimAction,
    KeyedArrived,
    KeyName,
    KeyStatus,
    KeyTold,
    LedgerStatus,
    NodeId,
    SealAnswered,
    SealKey,
)
from toucanyard.errorcodes import ErrorKind
from toucanyard.issued_keys import IssuedKey
from toucanyard.key_answers import refuse, refuse_unclaimed, tell_status
from toucanyard.key_book import KeyBook
from toucanyard.key_entries import KeyEntry, Phase


class FollowedKeys:
    """Ask claimers and issuers, and the witness of an issuer that is silent.

    Invariant: nothing here ever allows a dispatch.
    """

    __slots__ = ("_book",)

    def __init__(self, book: KeyBook) -> None:
        self._book = book

    def arrive_issued(
        self, event: KeyedArrived, name: KeyName, issued: IssuedKey, now_ms: float
    ) -> Iterator[ClaimAction]:
        """Take in a key that another node, or an earlier incarnation, issued."""
        book = self._book
        if book.is_full(event.customer):
            yield refuse_unclaimed(event, ErrorKind.OVERLOADED, book.rng)
            return
        yield from self._follow(event, name, issued.issuer, "", now_ms, issued)

    def arrive_claimed(
        self, event: KeyedArrived, name: KeyName, now_ms: float
    ) -> Iterator[ClaimAction]:
        """Take in a key whose winning claim has been read from the log."""
        book = self._book
        claim = book.index.find(name)
        assert claim is not None
        if claim.digest != event.body_digest:
            yield refuse(event, ErrorKind.KEY_REUSED, book.rng)
        elif claim.is_abandoned:
            yield refuse(event, ErrorKind.KEY_SEALED, book.rng)
        elif claim.claimer == book.identity or book.is_replaced(claim.claimer):
            yield refuse(event, ErrorKind.OUTCOME_UNKNOWN, book.rng)
        else:
            claimer, claim_id = claim.claimer, claim.claim_id
            yield from self._follow(event, name, claimer, claim_id, now_ms, None)

    def take_told(
        self, sender: NodeId, message: KeyTold, now_ms: float
    ) -> Iterator[ClaimAction]:
        """Pass on what the only node that may dispatch a key says about it."""
        entry = self._find_followed(message.name)
        if entry is None or sender != entry.target:
            return
        if message.claim_id != entry.claim_id:
            return
        if message.status is KeyStatus.RUNNING:
            entry.is_target_running = True
            entry.heard_ms = now_ms
        else:
            yield from self._resolve(entry, message)

    def take_seal(self, sender: NodeId, message: SealAnswered) -> Iterator[ClaimAction]:
        """Tell the tries of a key that its witness has sealed."""
        entry = self._find_followed(message.name)
        if entry is None or entry.issued is None:
            return
        if sender != entry.issued.witness:
            return
        if message.status is LedgerStatus.SEALED:
            yield from self._resolve_as(entry, KeyStatus.NOT_RUN)
        else:
            entry.is_seal_refused = True

    def tick(self, entry: KeyEntry, now_ms: float) -> Iterator[ClaimAction]:
        """Ask again, or give up when nobody is left who could know."""
        claim = self._book.index.find(entry.name)
        if claim is not None and claim.is_abandoned:
            yield from self._resolve_as(entry, KeyStatus.NOT_RUN)
        elif self._is_hopeless(entry):
            yield from self._resolve_as(entry, KeyStatus.UNKNOWN)
        elif now_ms - entry.sent_ms >= self._book.limits.resend_ms:
            yield from self._ask(entry, now_ms)

    def _find_followed(self, name: KeyName) -> KeyEntry | None:
        entry = self._book.find_entry(name)
        if entry is None or entry.phase is not Phase.FOLLOWING:
            return None
        return entry

    def _follow(
        self,
        event: KeyedArrived,
        name: KeyName,
        target: NodeId,
        claim_id: str,
        now_ms: float,
        issued: IssuedKey | None,
    ) -> Iterator[ClaimAction]:
        entry = KeyEntry(
            name,
            Phase.FOLLOWING,
            event.body_digest,
            now_ms,
            claim_id,
            issued,
            target,
        )
        self._book.add(entry, event)
        yield from self._ask(entry, now_ms)

    def _ask(self, entry: KeyEntry, now_ms: float) -> Iterator[ClaimAction]:
        assert entry.target is not None
        entry.sent_ms = now_ms
        ask = AskKey(entry.target.incarnation, entry.name, entry.claim_id)
        yield from self._book.send(entry.target, ask)
        if entry.issued is not None and self._wants_seal(entry, now_ms):
            yield from self._ask_seal(entry, entry.issued)

    def _wants_seal(self, entry: KeyEntry, now_ms: float) -> bool:
        assert entry.target is not None
        if entry.is_seal_refused:
            return False
        silent_ms = now_ms - entry.heard_ms
        if silent_ms >= self._book.limits.ask_patience_ms:
            return True
        return self._book.is_replaced(entry.target)

    def _ask_seal(self, entry: KeyEntry, issued: IssuedKey) -> Iterator[ClaimAction]:
        witness = issued.witness
        if witness is None or self._book.is_replaced(witness):
            entry.is_seal_refused = True
            return
        seal = SealKey(witness.incarnation, issued.ledger, issued.issuer, entry.name)
        yield from self._book.send(witness, seal)

    def _is_hopeless(self, entry: KeyEntry) -> bool:
        assert entry.target is not None
        if not self._book.is_replaced(entry.target):
            return False
        return entry.issued is None or entry.is_seal_refused

    def _resolve_as(self, entry: KeyEntry, status: KeyStatus) -> Iterator[ClaimAction]:
        to = self._book.identity.incarnation
        told = KeyTold(to, entry.name, entry.claim_id, status, b"")
        yield from self._resolve(entry, told)

    def _resolve(self, entry: KeyEntry, told: KeyTold) -> Iterator[ClaimAction]:
        book = self._book
        book.remove(entry)
        for waiting in entry.waiting.values():
            yield tell_status(waiting, told.status, told.digest, told.answer, book.rng)
        for asker, claim_id in entry.askers.items():
            passed_on = KeyTold(
                asker.incarnation,
                entry.name,
                claim_id,
                told.status,
                told.digest,
                told.answer,
            )
            yield from book.send(asker, passed_on)
