"""Follow a key that only another node may dispatch, until that one tells its end."""

from __future__ import annotations

from collections.abc import Iterator

from toucanyard.claim_events import (
    ClaimAction,
    KeyedArrived,
)
from toucanyard.errorcodes import ErrorKind
from toucanyard.issued_keys import IssuedKey
from toucanyard.key_answers import refuse, refuse_unclaimed
from toucanyard.key_book import KeyBook
from toucanyard.key_entries import KeyEntry, Phase
from toucanyard.key_messages import (
    AskHanded,
    AskKey,
    HandedKey,
    KeyStatus,
    KeyTold,
    LedgerStatus,
    SealAnswered,
    SealKey,
)
from toucanyard.key_records import (
    KeyName,
)
from toucanyard.names import (
    NodeId,
)


class FollowedKeys:
    """Ask claimers and issuers, or whoever holds their keys, and witnesses.

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
        held = book.handed.find(name, "")
        if held is not None:
            yield self._tell_held(event, held, now_ms)
            return
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
        held = book.handed.find(name, claim.claim_id)
        # Of a claim that may have lost, the body says nothing: another may have run.
        is_reused = claim.is_sure and claim.digest != event.body_digest
        if is_reused or claim.is_abandoned:
            status, digest = KeyStatus.NOT_RUN, claim.digest
            yield book.tell(event, claim.claim_id, status, digest, None, now_ms)
        elif held is not None:
            yield self._tell_held(event, held, now_ms)
        elif claim.claimer == book.identity or self._is_lost(claim.claimer):
            yield refuse(event, ErrorKind.OUTCOME_UNKNOWN, book.rng)
        else:
            claimer, claim_id = claim.claimer, claim.claim_id
            yield from self._follow(event, name, claimer, claim_id, now_ms, None)

    def take_told(
        self, sender: NodeId, message: KeyTold, now_ms: float
    ) -> Iterator[ClaimAction]:
        """Pass on what the only node that may dispatch a key says about it."""
        entry = self._find_followed(message.name)
        if entry is None or message.claim_id != entry.claim_id:
            return
        if sender != entry.target:
            yield from self._take_told_by_holder(entry, sender, message, now_ms)
        elif message.status is KeyStatus.RUNNING:
            entry.is_target_running = True
            entry.heard_ms = now_ms
        else:
            yield from self._resolve(entry, message, now_ms)

    def take_held(self, key: HandedKey, now_ms: float) -> Iterator[ClaimAction]:
        """Tell the tries of a key that has just been handed over to this node."""
        entry = self._find_followed(key.name)
        if entry is None or entry.claim_id != key.claim_id:
            return
        to = self._book.identity.incarnation
        told = KeyTold(to, key.name, key.claim_id, key.status, key.digest, key.answer)
        yield from self._resolve(entry, told, now_ms)

    def take_seal(
        self, sender: NodeId, message: SealAnswered, now_ms: float
    ) -> Iterator[ClaimAction]:
        """Tell the tries of a key that its witness has sealed."""
        entry = self._find_followed(message.name)
        if entry is None or entry.issued is None:
            return
        if sender != entry.issued.witness:
            return
        if message.status is LedgerStatus.SEALED:
            yield from self._resolve_as(entry, KeyStatus.NOT_RUN, now_ms)
        else:
            entry.is_seal_refused = True

    def tick(self, entry: KeyEntry, now_ms: float) -> Iterator[ClaimAction]:
        """Ask again, or give up when nobody is left who could know."""
        claim = self._book.index.find(entry.name)
        if claim is not None and claim.is_abandoned_as(entry.claim_id):
            yield from self._resolve_as(entry, KeyStatus.NOT_RUN, now_ms)
        elif self._is_hopeless(entry):
            yield from self._resolve_as(entry, KeyStatus.UNKNOWN, now_ms)
        elif now_ms - entry.sent_ms >= self._book.limits.resend_ms:
            yield from self._ask(entry, now_ms)

    def _take_told_by_holder(
        self, entry: KeyEntry, sender: NodeId, message: KeyTold, now_ms: float
    ) -> Iterator[ClaimAction]:
        assert entry.target is not None
        if sender not in self._book.stopped.find_holders(entry.target):
            return
        has_answer = message.answer is not None
        if message.status is KeyStatus.NOT_RUN or has_answer:
            yield from self._resolve(entry, message, now_ms)
        else:
            # Another holder may still have what this one had no room for.
            entry.denied.add(sender)

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
        if self._book.stopped.is_stopped(entry.target):
            yield from self._ask_holders(entry, entry.target)
        else:
            ask = AskKey(entry.target.incarnation, entry.name, entry.claim_id)
            yield from self._book.send(entry.target, ask)
        if entry.issued is not None and self._wants_seal(entry, now_ms):
            yield from self._ask_seal(entry, entry.issued)

    def _ask_holders(self, entry: KeyEntry, target: NodeId) -> Iterator[ClaimAction]:
        for holder in self._find_holders(target):
            if holder not in entry.denied:
                ask = AskHanded(holder.incarnation, entry.name, entry.claim_id)
                yield from self._book.send(holder, ask)

    def _find_holders(self, target: NodeId) -> list[NodeId]:
        """Return the other nodes that may hold the keys of a stopped one."""
        book = self._book
        return [
            holder
            for holder in book.stopped.find_holders(target)
            if holder != book.identity and not book.is_replaced(holder)
        ]

    def _is_lost(self, node: NodeId) -> bool:
        """Tell whether a node and all that hold its keys are surely gone."""
        return self._book.is_gone(node) and not self._find_holders(node)

    def _wants_seal(self, entry: KeyEntry, now_ms: float) -> bool:
        assert entry.target is not None
        if entry.is_seal_refused:
            return False
        silent_ms = now_ms - entry.heard_ms
        if silent_ms >= self._book.limits.ask_patience_ms:
            return True
        return self._book.is_gone(entry.target)

    def _ask_seal(self, entry: KeyEntry, issued: IssuedKey) -> Iterator[ClaimAction]:
        witness = issued.witness
        if witness is None or self._book.is_gone(witness):
            # Its ledgers went with it, so nobody can seal the key any more.
            entry.is_seal_refused = True
            return
        seal = SealKey(witness.incarnation, issued.ledger, issued.issuer, entry.name)
        yield from self._book.send(witness, seal)

    def _is_hopeless(self, entry: KeyEntry) -> bool:
        assert entry.target is not None
        if not self._book.is_gone(entry.target):
            return False
        if not set(self._find_holders(entry.target)) <= entry.denied:
            return False
        return entry.issued is None or entry.is_seal_refused

    def _resolve_as(
        self, entry: KeyEntry, status: KeyStatus, now_ms: float
    ) -> Iterator[ClaimAction]:
        to = self._book.identity.incarnation
        told = KeyTold(to, entry.name, entry.claim_id, status, b"")
        yield from self._resolve(entry, told, now_ms)

    def _resolve(
        self, entry: KeyEntry, told: KeyTold, now_ms: float
    ) -> Iterator[ClaimAction]:
        book = self._book
        book.remove(entry)
        for waiting in entry.waiting.values():
            yield book.tell(
                waiting, entry.claim_id, told.status, told.digest, told.answer, now_ms
            )
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

    def _tell_held(
        self, event: KeyedArrived, held: HandedKey, now_ms: float
    ) -> ClaimAction:
        return self._book.tell(
            event, held.claim_id, held.status, held.digest, held.answer, now_ms
        )
