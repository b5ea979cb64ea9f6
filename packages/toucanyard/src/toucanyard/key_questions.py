"""Answer what peers ask about keys: as executor, as witness and as holder."""

from __future__ import annotations

from collections.abc import Iterator

from toucanyard.claim_events import (
    ClaimAction,
)
from toucanyard.key_book import KeyBook
from toucanyard.key_entries import EndedKey
from toucanyard.key_messages import (
    AskHanded,
    AskKey,
    KeyMessage,
    KeysNoted,
    KeyStatus,
    KeyTold,
    LedgerOpened,
    LedgerStatus,
    NoteKeys,
    OpenLedger,
    SealAnswered,
    SealKey,
)
from toucanyard.large_answers import LargeAnswers
from toucanyard.names import (
    NodeId,
)
from toucanyard.noted_keys import NotedKeys
from toucanyard.witness_ledgers import WitnessLedgers


class KeyQuestions:
    """What this node tells its peers about keys.

    Invariant: "not run" is said only of a key that this node alone might dispatch and
    never will, of one that it sealed as witness, or of one handed over as such.
    """

    __slots__ = ("_book", "_large", "_noted", "_witness")

    def __init__(self, book: KeyBook, noted: NotedKeys) -> None:
        self._book = book
        self._noted = noted
        self._large = LargeAnswers()
        limits = book.limits
        self._witness = WitnessLedgers(2 * limits.window_ms, limits.max_keys)

    def answer(
        self,
        sender: NodeId,
        message: AskKey | AskHanded | OpenLedger | NoteKeys | SealKey,
        now_ms: float,
    ) -> Iterator[ClaimAction]:
        """Answer one question of a peer."""
        match message:
            case AskKey():
                yield from self._answer_ask(sender, message, now_ms)
            case AskHanded():
                yield from self._answer_handed(sender, message, now_ms)
            case OpenLedger() | NoteKeys() | SealKey():
                yield from self._witness_for(sender, message, now_ms)

    def forget_old(self, now_ms: float) -> None:
        """Forget what was witnessed for keys past the window."""
        self._witness.forget_old(now_ms)
        self._large.forget_old(now_ms)

    def _witness_for(
        self, sender: NodeId, message: OpenLedger | NoteKeys | SealKey, now_ms: float
    ) -> Iterator[ClaimAction]:
        to = sender.incarnation
        answer: KeyMessage
        match message:
            case OpenLedger(request=request):
                ledger = self._witness.open(sender, request, now_ms)
                answer = LedgerOpened(to, request, ledger)
            case NoteKeys(batch=batch):
                answer = KeysNoted(to, batch, self._note(sender, message))
            case SealKey(ledger=ledger, issuer=issuer, name=name):
                status = self._witness.seal(issuer, ledger, name)
                answer = SealAnswered(to, ledger, name, status)
        yield from self._book.send(sender, answer)

    def _note(self, sender: NodeId, message: NoteKeys) -> tuple[int, ...]:
        """Note the keys of a batch; return the places of those that can't be."""
        ledger = message.ledger
        statuses = [self._witness.note(sender, ledger, each) for each in message.marks]
        return tuple(
            place
            for place, status in enumerate(statuses)
            if status is not LedgerStatus.NOTED
        )

    def _answer_ask(
        self, sender: NodeId, ask: AskKey, now_ms: float
    ) -> Iterator[ClaimAction]:
        ended = self._find_status(sender, ask, now_ms)
        told = self._book.compose_told(sender, ask.name, ask.claim_id, ended)
        yield from self._tell(sender, told, now_ms)

    def _find_status(self, sender: NodeId, ask: AskKey, now_ms: float) -> EndedKey:
        book = self._book
        name, claim_id = ask.name, ask.claim_id
        claim = book.index.find(name)
        entry = book.find_entry(name)
        ended = book.find_ended(name)
        if claim is not None and claim.is_abandoned_as(claim_id):
            return EndedKey(KeyStatus.NOT_RUN, claim.digest, now_ms)
        if book.index.is_given_up(claim_id):
            # Whether that claim won, and so whether the key ran, may be open here.
            return EndedKey(KeyStatus.RUNNING, b"", now_ms)
        if entry is not None and entry.claim_id == claim_id:
            entry.askers[sender] = claim_id
            return EndedKey(KeyStatus.RUNNING, entry.digest, now_ms)
        if ended is None and not claim_id:
            ended = self._noted.seal_unseen(name, now_ms)
        # A later claim of a key that is used anew says nothing of the earlier one,
        # which a node that forgets later may ask about.
        if ended is None or ended.claim_id != claim_id:
            return EndedKey(KeyStatus.UNKNOWN, b"", now_ms)
        return ended

    def _answer_handed(
        self, sender: NodeId, ask: AskHanded, now_ms: float
    ) -> Iterator[ClaimAction]:
        name, claim_id, to = ask.name, ask.claim_id, sender.incarnation
        told = KeyTold(to, name, claim_id, KeyStatus.UNKNOWN, b"")
        held = self._book.handed.find(name, claim_id)
        if held is not None:
            status, digest, answer = held.status, held.digest, held.answer
            told = KeyTold(to, name, claim_id, status, digest, answer)
        yield from self._tell(sender, told, now_ms)

    def _tell(
        self, sender: NodeId, told: KeyTold, now_ms: float
    ) -> Iterator[ClaimAction]:
        if self._large.is_under_way(sender, told.name, told.answer, now_ms):
            return
        self._large.note(sender, told.name, told.answer, now_ms)
        yield from self._book.send(sender, told)
