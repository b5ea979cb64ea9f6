"""Decide who may dispatch a keyed request, and what every other try is told.

A caller-chosen key belongs to the first claim in the log, an issued key to the node
incarnation that issued it. Nobody ever takes a key over, so a node that was paused
at any point finds on waking that nobody else ran what it may still run.

`AtMostOnce` takes events with the present time and returns actions; it has no
sockets, clock or tasks of its own.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from typing import Final

from toucanyard.claim_messages import (
    AbandonRecord,
    AllowDispatch,
    AppendRecord,
    AppendResult,
    AskKey,
    CallerLeft,
    ClaimAction,
    ClaimEvent,
    ClaimRecord,
    ClaimRecordsRead,
    DispatchEnded,
    DispatchStarted,
    KeyedArrived,
    KeyMessage,
    KeyName,
    KeyNoted,
    KeyStatus,
    KeyTold,
    LedgerOpened,
    LedgerStatus,
    LogState,
    NodeId,
    NoteKey,
    OpenLedger,
    PeerMessageArrived,
    PeersChanged,
    PeerView,
    RecordsSettled,
    SealAnswered,
    SealKey,
    SendToPeer,
    Ticked,
    encode_record,
)
from toucanyard.claims import Claim, ClaimIndex
from toucanyard.errorcodes import ErrorKind
from toucanyard.issued_keys import (
    IssuedKey,
    KeyIssuer,
    WitnessLedgers,
    parse_issued_key,
)
from toucanyard.kept_answers import KeptAnswers
from toucanyard.key_answers import refuse, refuse_unclaimed, tell_status
from toucanyard.key_entries import EndedKey, KeyEntry, Phase
from toucanyard.names import Incarnation, NodeName, RequestId
from toucanyard.options import ClaimLimits
from toucanyard.requests import EndingSeen

_MAX_OWED_RECORDS: Final = 10_000
_NEVER_RAN: Final = frozenset({EndingSeen.NOT_SENT, EndingSeen.REFUSED})
_HAS_ANSWER: Final = frozenset({EndingSeen.COMPLETED, EndingSeen.FAILED})


class AtMostOnce:
    """The at-most-once decisions of one node incarnation.

    Invariants: a key is in at most one of `_entries` and `_ended`; what `_ended`
    says of a key never changes; a claim that was given up is never dispatched.
    """

    __slots__ = (
        "_ended",
        "_entries",
        "_identity",
        "_index",
        "_is_log_up",
        "_issuer",
        "_kept",
        "_last_claim",
        "_ledgers",
        "_limits",
        "_loopback",
        "_name_by_request",
        "_owed",
        "_peers",
        "_rng",
    )

    def __init__(
        self,
        node: NodeName,
        incarnation: Incarnation,
        limits: ClaimLimits,
        rng: random.Random,
    ) -> None:
        self._identity = NodeId(node, incarnation)
        self._limits = limits
        self._rng = rng
        self._index = ClaimIndex(limits.window_ms, limits.max_keys)
        self._kept = KeptAnswers(limits.kept_answers_bytes)
        self._ledgers = WitnessLedgers(2 * limits.window_ms, limits.max_keys)
        self._issuer = KeyIssuer(self._identity, limits.ledger_ms)
        self._entries: dict[KeyName, KeyEntry] = {}
        self._ended: dict[KeyName, EndedKey] = {}
        self._name_by_request: dict[RequestId, KeyName] = {}
        self._owed: dict[str, str] = {}
        self._peers: tuple[PeerView, ...] = ()
        self._loopback: list[KeyMessage] = []
        self._is_log_up = False
        self._last_claim = 0

    def issue_prefix(self, now_ms: float) -> str:
        """Return a new key prefix for a caller to put before its own part."""
        return self._issuer.issue(now_ms, self._rng)

    def count_remembered(self) -> int:
        """Return how many keys this node remembers as executor or from the log."""
        return len(self._entries) + len(self._ended) + len(self._index)

    def find_next_offset(self) -> int | None:
        """Return the log offset up to which claims were read."""
        return self._index.next_offset

    def handle(self, event: ClaimEvent, now_ms: float) -> list[ClaimAction]:
        """Take one event in and return what must be done now, in this order."""
        actions = list(self._handle_one(event, now_ms))
        while self._loopback:
            message = self._loopback.pop(0)
            actions += self._handle_message(self._identity, message, now_ms)
        return actions

    def _handle_one(self, event: ClaimEvent, now_ms: float) -> Iterator[ClaimAction]:
        match event:
            case KeyedArrived():
                yield from self._arrive(event, now_ms)
            case DispatchStarted(request_id=request_id):
                self._start(request_id)
            case DispatchEnded():
                yield from self._end_dispatch(event, now_ms)
            case CallerLeft(request_id=request_id):
                yield from self._leave(request_id, now_ms)
            case ClaimRecordsRead() | RecordsSettled() | LogState():
                yield from self._handle_log(event, now_ms)
            case PeersChanged(peers=peers):
                self._peers = peers
                yield from self._renew_ledger(now_ms)
            case PeerMessageArrived(sender=sender, message=message):
                yield from self._handle_message(sender, message, now_ms)
            case Ticked():
                yield from self._tick(now_ms)

    # Arrival

    def _arrive(self, event: KeyedArrived, now_ms: float) -> Iterator[ClaimAction]:
        name = KeyName(event.customer, event.key)
        age_ms = event.key_age_ms
        if age_ms is not None and age_ms >= self._limits.window_ms:
            yield refuse(event, ErrorKind.KEY_EXPIRED, self._rng)
            return
        if name in self._ended:
            yield self._tell_ended(event, self._ended[name])
            return
        entry = self._entries.get(name)
        if entry is not None:
            yield from self._join(entry, event)
            return
        issued = parse_issued_key(event.key)
        if issued is None:
            yield from self._arrive_chosen(event, name, now_ms)
        elif issued.issuer == self._identity:
            yield from self._arrive_issued_here(event, name, issued, now_ms)
        else:
            yield from self._arrive_issued_elsewhere(event, name, issued, now_ms)

    def _join(self, entry: KeyEntry, event: KeyedArrived) -> Iterator[ClaimAction]:
        """Let a try wait for the end of a key that is under way here."""
        if entry.phase is Phase.ALLOWED and event.body_digest != entry.digest:
            yield refuse(event, ErrorKind.KEY_REUSED, self._rng)
        else:
            self._wait(entry, event)

    def _arrive_chosen(
        self, event: KeyedArrived, name: KeyName, now_ms: float
    ) -> Iterator[ClaimAction]:
        claim = self._index.find(name)
        if claim is not None:
            yield from self._arrive_claimed(event, name, claim, now_ms)
        elif event.deadline_ms <= now_ms:
            yield refuse_unclaimed(event, ErrorKind.DEADLINE_EXCEEDED, self._rng)
        elif not self._is_log_up:
            yield refuse_unclaimed(event, ErrorKind.LOG_UNAVAILABLE, self._rng)
        elif self._is_full() or not self._index.is_complete():
            yield refuse_unclaimed(event, ErrorKind.OVERLOADED, self._rng)
        else:
            self._last_claim += 1
            claim_id = f"{self._identity.incarnation}-{self._last_claim}"
            entry = KeyEntry(name, Phase.CLAIMING, event.body_digest, now_ms, claim_id)
            self._add(entry, event)
            record = ClaimRecord(claim_id, name, event.body_digest, self._identity)
            yield AppendRecord(claim_id, encode_record(record), is_urgent=True)

    def _arrive_claimed(
        self, event: KeyedArrived, name: KeyName, claim: Claim, now_ms: float
    ) -> Iterator[ClaimAction]:
        if claim.digest != event.body_digest:
            yield refuse(event, ErrorKind.KEY_REUSED, self._rng)
        elif claim.is_abandoned:
            yield refuse(event, ErrorKind.KEY_SEALED, self._rng)
        elif self._is_replaced(claim.claimer) or claim.claimer == self._identity:
            yield refuse(event, ErrorKind.OUTCOME_UNKNOWN, self._rng)
        else:
            entry = KeyEntry(name, Phase.FOLLOWING, claim.digest, now_ms)
            self._add(entry, event)
            yield from self._follow(entry, claim.claimer, claim.claim_id, now_ms)

    def _arrive_issued_here(
        self, event: KeyedArrived, name: KeyName, issued: IssuedKey, now_ms: float
    ) -> Iterator[ClaimAction]:
        if not self._is_in_window(issued, now_ms):
            yield refuse(event, ErrorKind.KEY_EXPIRED, self._rng)
            return
        if self._is_full():
            yield refuse_unclaimed(event, ErrorKind.OVERLOADED, self._rng)
            return
        entry = KeyEntry(
            name, Phase.NOTING, event.body_digest, now_ms, "", issued, issued.witness
        )
        self._add(entry, event)
        if issued.witness is None:
            yield from self._allow(entry, now_ms)
        elif self._is_replaced(issued.witness):
            yield from self._seal_entry(entry, now_ms)
        else:
            yield from self._ask(entry, now_ms)

    def _arrive_issued_elsewhere(
        self, event: KeyedArrived, name: KeyName, issued: IssuedKey, now_ms: float
    ) -> Iterator[ClaimAction]:
        if self._is_full():
            yield refuse_unclaimed(event, ErrorKind.OVERLOADED, self._rng)
            return
        entry = KeyEntry(
            name, Phase.FOLLOWING, event.body_digest, now_ms, issued=issued
        )
        self._add(entry, event)
        yield from self._follow(entry, issued.issuer, "", now_ms)

    # Dispatch

    def _allow(self, entry: KeyEntry, now_ms: float) -> Iterator[ClaimAction]:
        chosen = entry.find_first_live(now_ms)
        if chosen is None:
            yield from self._seal_entry(entry, now_ms)
            return
        entry.phase = Phase.ALLOWED
        entry.running = chosen.request_id
        del entry.waiting[chosen.request_id]
        yield AllowDispatch(chosen.request_id)
        for other in list(entry.waiting.values()):
            if other.body_digest != entry.digest:
                self._forget_try(entry, other.request_id)
                yield refuse(other, ErrorKind.KEY_REUSED, self._rng)

    def _start(self, request_id: RequestId) -> None:
        entry = self._find_running(request_id)
        if entry is not None:
            entry.is_started = True

    def _end_dispatch(
        self, event: DispatchEnded, now_ms: float
    ) -> Iterator[ClaimAction]:
        entry = self._find_running(event.request_id)
        if entry is None:
            return
        is_cancelled_before = (
            event.ending is EndingSeen.CANCELLED and not entry.is_started
        )
        if event.ending in _NEVER_RAN or is_cancelled_before:
            yield from self._seal_entry(entry, now_ms)
        elif event.ending in _HAS_ANSWER and event.answer is not None:
            self._kept.keep(entry.name, event.answer)
            yield from self._finish(entry, KeyStatus.ANSWERED, now_ms)
        else:
            yield from self._finish(entry, KeyStatus.UNKNOWN, now_ms)

    def _seal_entry(self, entry: KeyEntry, now_ms: float) -> Iterator[ClaimAction]:
        """End a key that this node alone might dispatch and never will."""
        if entry.claim_id:
            yield from self._abandon_claim(entry.claim_id, entry.name)
        yield from self._finish(entry, KeyStatus.NOT_RUN, now_ms)

    def _abandon_claim(self, claim_id: str, name: KeyName) -> Iterator[ClaimAction]:
        """Tell the log that the winning claim of a key is never dispatched."""
        self._index.abandon(claim_id, name)
        record_id = f"abandon-{claim_id}"
        self._owed[record_id] = encode_record(AbandonRecord(claim_id, name))
        if len(self._owed) > _MAX_OWED_RECORDS:
            del self._owed[next(iter(self._owed))]
        if self._is_log_up:
            yield AppendRecord(record_id, self._owed[record_id], is_urgent=False)

    def _finish(
        self, entry: KeyEntry, status: KeyStatus, now_ms: float
    ) -> Iterator[ClaimAction]:
        """Record how a key ended here and tell everyone who waits for it."""
        ended = EndedKey(status, entry.digest, now_ms)
        self._ended[entry.name] = ended
        self._remove(entry)
        for waiting in entry.waiting.values():
            yield self._tell_ended(waiting, ended)
        for asker in entry.askers:
            yield from self._send(asker, self._compose_told(asker, entry.name, ended))

    # The log

    def _handle_log(
        self, event: ClaimRecordsRead | RecordsSettled | LogState, now_ms: float
    ) -> Iterator[ClaimAction]:
        match event:
            case ClaimRecordsRead():
                yield from self._read(event, now_ms)
            case RecordsSettled():
                yield from self._settle_records(event, now_ms)
            case LogState(is_up=is_up):
                yield from self._set_log_state(is_up, now_ms)

    def _read(self, event: ClaimRecordsRead, now_ms: float) -> Iterator[ClaimAction]:
        if self._index.has_gap_before(event):
            # A claim that would have beaten ours may have expired unread; without
            # this our own claim, read next, would look like the first one.
            yield from self._give_up_claiming(ErrorKind.LOG_UNAVAILABLE, now_ms)
        for record in self._index.read(event, now_ms):
            if self._index.is_given_up(record.claim_id):
                yield from self._abandon_if_won(record)
            entry = self._entries.get(record.name)
            if entry is not None and entry.phase is Phase.CLAIMING:
                yield from self._settle_claim(entry, now_ms)

    def _abandon_if_won(self, record: ClaimRecord) -> Iterator[ClaimAction]:
        # A claim that lost is nothing to tell: the key may have run elsewhere.
        winner = self._index.find(record.name)
        if winner is not None and winner.claim_id == record.claim_id:
            yield from self._abandon_claim(record.claim_id, record.name)

    def _settle_claim(self, entry: KeyEntry, now_ms: float) -> Iterator[ClaimAction]:
        """Act on the winner of a key that this node has claimed too."""
        claim = self._index.find(entry.name)
        if claim is None:
            yield from self._give_up(entry, ErrorKind.OVERLOADED, now_ms)
        elif claim.claim_id == entry.claim_id:
            yield from self._allow(entry, now_ms)
        else:
            waiting = list(entry.waiting.values())
            self._remove(entry)
            for each in waiting:
                yield from self._arrive(each, now_ms)

    def _settle_records(
        self, event: RecordsSettled, now_ms: float
    ) -> Iterator[ClaimAction]:
        for record_id in event.record_ids:
            if event.result is AppendResult.DONE:
                self._owed.pop(record_id, None)
        if event.result is not AppendResult.REFUSED:
            return
        refused = set(event.record_ids)
        for entry in self._find_claiming():
            if entry.claim_id in refused:
                yield from self._give_up(entry, ErrorKind.LOG_UNAVAILABLE, now_ms)

    def _set_log_state(self, is_up: bool, now_ms: float) -> Iterator[ClaimAction]:
        self._is_log_up = is_up
        if not is_up:
            yield from self._give_up_claiming(ErrorKind.LOG_UNAVAILABLE, now_ms)
            return
        for record_id, text in self._owed.items():
            yield AppendRecord(record_id, text, is_urgent=False)

    def _give_up_claiming(
        self, kind: ErrorKind, now_ms: float
    ) -> Iterator[ClaimAction]:
        for entry in self._find_claiming():
            yield from self._give_up(entry, kind, now_ms)

    def _give_up(
        self, entry: KeyEntry, kind: ErrorKind, now_ms: float
    ) -> Iterator[ClaimAction]:
        """Never dispatch this claim, whose place in the log isn't known."""
        self._index.give_up(entry.claim_id, now_ms)
        self._remove(entry)
        for waiting in entry.waiting.values():
            yield refuse_unclaimed(waiting, kind, self._rng)

    # Peers

    def _handle_message(
        self, sender: NodeId, message: KeyMessage, now_ms: float
    ) -> Iterator[ClaimAction]:
        # A message for an earlier incarnation of this node, which knew other keys.
        if message.to != self._identity.incarnation:
            return
        match message:
            case AskKey(name=name, claim_id=claim_id):
                yield from self._answer_ask(sender, name, claim_id, now_ms)
            case KeyTold():
                yield from self._take_told(sender, message, now_ms)
            case OpenLedger(request=request):
                ledger = self._ledgers.open(sender, request, now_ms)
                opened = LedgerOpened(sender.incarnation, request, ledger)
                yield from self._send(sender, opened)
            case LedgerOpened():
                self._issuer.take_ledger(sender, message, now_ms)
            case NoteKey(ledger=ledger, name=name):
                status = self._ledgers.note(sender, ledger, name)
                noted = KeyNoted(sender.incarnation, ledger, name, status)
                yield from self._send(sender, noted)
            case KeyNoted():
                yield from self._take_noted(sender, message, now_ms)
            case SealKey(ledger=ledger, issuer=issuer, name=name):
                status = self._ledgers.seal(issuer, ledger, name)
                sealed = SealAnswered(sender.incarnation, ledger, name, status)
                yield from self._send(sender, sealed)
            case SealAnswered():
                yield from self._take_seal(sender, message, now_ms)

    def _answer_ask(
        self, sender: NodeId, name: KeyName, claim_id: str, now_ms: float
    ) -> Iterator[ClaimAction]:
        ended = self._ended.get(name)
        entry = self._entries.get(name)
        claim = self._index.find(name)
        is_own = claim is not None and claim.claim_id == claim_id
        if claim is not None and is_own and claim.is_abandoned:
            ended = EndedKey(KeyStatus.NOT_RUN, claim.digest, now_ms)
        elif self._index.is_given_up(claim_id):
            # Not read yet: whether it won, and so whether the key ran, is open.
            ended = EndedKey(KeyStatus.RUNNING, b"", now_ms)
        elif entry is not None:
            entry.askers[sender] = None
            ended = EndedKey(KeyStatus.RUNNING, entry.digest, now_ms)
        elif ended is None and not claim_id:
            ended = self._seal_unseen(name, now_ms)
        if ended is None:
            ended = EndedKey(KeyStatus.UNKNOWN, b"", now_ms)
        yield from self._send(sender, self._compose_told(sender, name, ended))

    def _seal_unseen(self, name: KeyName, now_ms: float) -> EndedKey | None:
        """Seal an issued key that never arrived here, so that it never will run."""
        issued = parse_issued_key(name.key)
        if issued is None or issued.issuer != self._identity:
            return None
        if not self._is_in_window(issued, now_ms) or self._is_full():
            return None
        self._ended[name] = EndedKey(KeyStatus.NOT_RUN, b"", now_ms)
        return self._ended[name]

    def _compose_told(self, to: NodeId, name: KeyName, ended: EndedKey) -> KeyTold:
        answer = None
        status = ended.status
        if status is KeyStatus.ANSWERED:
            answer = self._kept.find(name)
            status = KeyStatus.UNKNOWN if answer is None else status
        return KeyTold(to.incarnation, name, status, ended.digest, answer)

    def _take_told(
        self, sender: NodeId, message: KeyTold, now_ms: float
    ) -> Iterator[ClaimAction]:
        entry = self._entries.get(message.name)
        if entry is None or entry.phase is not Phase.FOLLOWING:
            return
        if sender != entry.target:
            return
        if message.status is KeyStatus.RUNNING:
            entry.is_target_running = True
            return
        self._remove(entry)
        told = message.status, message.digest, message.answer
        for waiting in entry.waiting.values():
            yield tell_status(waiting, *told, self._rng)
        for asker in entry.askers:
            yield from self._send(asker, KeyTold(asker.incarnation, entry.name, *told))

    def _take_noted(
        self, sender: NodeId, message: KeyNoted, now_ms: float
    ) -> Iterator[ClaimAction]:
        entry = self._entries.get(message.name)
        if entry is None or entry.phase is not Phase.NOTING or sender != entry.target:
            return
        if message.status is LedgerStatus.NOTED:
            yield from self._allow(entry, now_ms)
        else:
            yield from self._seal_entry(entry, now_ms)

    def _take_seal(
        self, sender: NodeId, message: SealAnswered, now_ms: float
    ) -> Iterator[ClaimAction]:
        entry = self._entries.get(message.name)
        if entry is None or entry.phase is not Phase.FOLLOWING:
            return
        if entry.issued is None or sender != entry.issued.witness:
            return
        if message.status is LedgerStatus.SEALED:
            self._remove(entry)
            for waiting in entry.waiting.values():
                yield refuse(waiting, ErrorKind.KEY_SEALED, self._rng)
            return
        entry.is_seal_refused = True

    def _follow(
        self, entry: KeyEntry, target: NodeId, claim_id: str, now_ms: float
    ) -> Iterator[ClaimAction]:
        entry.target = target
        entry.claim_id = claim_id
        yield from self._ask(entry, now_ms)

    def _ask(self, entry: KeyEntry, now_ms: float) -> Iterator[ClaimAction]:
        """Send, or send again, the question that an entry waits for."""
        entry.sent_ms = now_ms
        assert entry.target is not None
        to = entry.target.incarnation
        if entry.phase is Phase.NOTING:
            assert entry.issued is not None
            note = NoteKey(to, entry.issued.ledger, entry.name)
            yield from self._send(entry.target, note)
            return
        yield from self._send(entry.target, AskKey(to, entry.name, entry.claim_id))
        if entry.issued is not None and self._wants_seal(entry, now_ms):
            yield from self._ask_seal(entry, entry.issued)

    def _wants_seal(self, entry: KeyEntry, now_ms: float) -> bool:
        if entry.is_seal_refused or entry.is_target_running:
            return False
        assert entry.target is not None
        is_silent = now_ms - entry.started_ms >= self._limits.ask_patience_ms
        return is_silent or self._is_replaced(entry.target)

    def _ask_seal(self, entry: KeyEntry, issued: IssuedKey) -> Iterator[ClaimAction]:
        witness = issued.witness
        if witness is None or self._is_replaced(witness):
            entry.is_seal_refused = True
            return
        to = witness.incarnation
        seal = SealKey(to, issued.ledger, issued.issuer, entry.name)
        yield from self._send(witness, seal)

    def _send(self, to: NodeId, message: KeyMessage) -> Iterator[ClaimAction]:
        if to == self._identity:
            self._loopback.append(message)
        else:
            yield SendToPeer(to.node, message)

    def _renew_ledger(self, now_ms: float) -> Iterator[ClaimAction]:
        yield from self._issuer.renew(
            self._peers, now_ms, self._limits.resend_ms, self._rng
        )

    # Time

    def _tick(self, now_ms: float) -> Iterator[ClaimAction]:
        for entry in list(self._entries.values()):
            yield from self._tick_entry(entry, now_ms)
        self._forget_old(now_ms)
        yield from self._renew_ledger(now_ms)

    def _tick_entry(self, entry: KeyEntry, now_ms: float) -> Iterator[ClaimAction]:
        for expired in entry.find_expired(now_ms):
            yield from self._expire(entry, expired, now_ms)
        if entry.name not in self._entries:
            return
        if entry.phase is Phase.FOLLOWING and self._is_hopeless(entry):
            self._remove(entry)
            for waiting in entry.waiting.values():
                yield refuse(waiting, ErrorKind.OUTCOME_UNKNOWN, self._rng)
        elif self._is_question_due(entry, now_ms):
            yield from self._ask(entry, now_ms)

    def _is_question_due(self, entry: KeyEntry, now_ms: float) -> bool:
        if entry.phase not in (Phase.FOLLOWING, Phase.NOTING):
            return False
        return now_ms - entry.sent_ms >= self._limits.resend_ms

    def _is_hopeless(self, entry: KeyEntry) -> bool:
        assert entry.target is not None
        if not self._is_replaced(entry.target):
            return False
        return entry.issued is None or entry.is_seal_refused

    def _expire(
        self, entry: KeyEntry, expired: KeyedArrived, now_ms: float
    ) -> Iterator[ClaimAction]:
        """Answer a try whose deadline has passed while its key is undecided."""
        is_last = len(entry.waiting) == 1
        if entry.phase is Phase.NOTING and is_last:
            yield from self._seal_entry(entry, now_ms)
        elif entry.phase is Phase.CLAIMING and is_last:
            yield from self._give_up(entry, ErrorKind.DEADLINE_EXCEEDED, now_ms)
        else:
            self._forget_try(entry, expired.request_id)
            is_known = entry.phase is not Phase.FOLLOWING or entry.is_target_running
            kind = ErrorKind.KEY_IN_PROGRESS if is_known else ErrorKind.OUTCOME_UNKNOWN
            yield refuse(expired, kind, self._rng)
            if entry.phase is Phase.FOLLOWING and not entry.waiting:
                self._remove(entry)

    def _leave(self, request_id: RequestId, now_ms: float) -> Iterator[ClaimAction]:
        name = self._name_by_request.get(request_id)
        entry = None if name is None else self._entries.get(name)
        if entry is None or request_id not in entry.waiting:
            return
        self._forget_try(entry, request_id)
        if entry.waiting:
            return
        if entry.phase is Phase.NOTING:
            yield from self._seal_entry(entry, now_ms)
        elif entry.phase is Phase.CLAIMING:
            yield from self._give_up(entry, ErrorKind.CALLER_GONE, now_ms)
        elif entry.phase is Phase.FOLLOWING:
            self._remove(entry)

    def _forget_old(self, now_ms: float) -> None:
        self._index.forget_old(now_ms)
        self._ledgers.forget_old(now_ms)
        for name in list(self._ended):
            if now_ms - self._ended[name].ended_ms < self._limits.window_ms:
                break
            del self._ended[name]
            self._kept.drop(name)

    # Bookkeeping

    def _add(self, entry: KeyEntry, event: KeyedArrived) -> None:
        self._entries[entry.name] = entry
        self._wait(entry, event)

    def _wait(self, entry: KeyEntry, event: KeyedArrived) -> None:
        entry.waiting[event.request_id] = event
        self._name_by_request[event.request_id] = entry.name

    def _forget_try(self, entry: KeyEntry, request_id: RequestId) -> None:
        entry.waiting.pop(request_id, None)
        self._name_by_request.pop(request_id, None)

    def _remove(self, entry: KeyEntry) -> None:
        self._entries.pop(entry.name, None)
        for request_id in entry.waiting:
            self._name_by_request.pop(request_id, None)
        if entry.running is not None:
            self._name_by_request.pop(entry.running, None)

    def _find_running(self, request_id: RequestId) -> KeyEntry | None:
        name = self._name_by_request.get(request_id)
        entry = None if name is None else self._entries.get(name)
        return entry if entry is not None and entry.running == request_id else None

    def _find_claiming(self) -> list[KeyEntry]:
        entries = self._entries.values()
        return [entry for entry in entries if entry.phase is Phase.CLAIMING]

    def _is_full(self) -> bool:
        return len(self._entries) + len(self._ended) >= self._limits.max_keys

    def _is_in_window(self, issued: IssuedKey, now_ms: float) -> bool:
        return 0 <= now_ms - issued.issued_ms < self._limits.window_ms

    def _is_replaced(self, node: NodeId) -> bool:
        """Tell whether another incarnation is known under this node's name."""
        if node.node == self._identity.node:
            return node != self._identity
        for peer in self._peers:
            if peer.node == node.node:
                return peer.incarnation != node.incarnation
        return False

    def _tell_ended(self, event: KeyedArrived, ended: EndedKey) -> ClaimAction:
        answer = self._kept.find(KeyName(event.customer, event.key))
        return tell_status(event, ended.status, ended.digest, answer, self._rng)
