"""Decide which attempt of a keyed request may be dispatched, and answer the others.

A caller-chosen key is owned by the first claim in the log, an issued key by the node
incarnation that issued it. Ownership is never transferred, so a node that resumes
after a pause can rely on no other node having run what it may still run.

`AtMostOnce` maps events and the current time to actions; it has no sockets, clock or
tasks of its own.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from typing import Final

from toucanyard.claim_events import (
    CallerLeft,
    ClaimAction,
    ClaimEvent,
    ClaimRecordsRead,
    DispatchEnded,
    DispatchStarted,
    HandoverBegun,
    KeyedRequestArrived,
    LogState,
    PeerMessageArrived,
    PeersChanged,
    RecordsSettled,
    Ticked,
)
from toucanyard.claimed_keys import ClaimedKeys
from toucanyard.errorcodes import ErrorKind
from toucanyard.followed_keys import FollowedKeys
from toucanyard.issued_keys import parse_issued_key
from toucanyard.key_answers import refuse, refuse_unclaimed
from toucanyard.key_entries import KeyEntry, Phase
from toucanyard.key_handover import KeyHandover
from toucanyard.key_issuer import KeyIssuer
from toucanyard.key_messages import (
    HandoverAnnounced,
    KeyMessage,
    KeyReport,
    KeysAccepted,
    KeysRecorded,
    KeyStatus,
    LedgerOpened,
    OpenLedger,
    QueryKey,
    QueryTransferredKey,
    RecordKeys,
    RevocationAnswered,
    RevokeKey,
    TransferKeys,
)
from toucanyard.key_query_handler import KeyQueryHandler
from toucanyard.key_records import (
    KeyName,
)
from toucanyard.key_table import KeyTable
from toucanyard.names import (
    Incarnation,
    NodeId,
    NodeName,
    RequestId,
)
from toucanyard.options import ClaimLimits
from toucanyard.recorded_keys import RecordedKeys
from toucanyard.requests import PROVEN_NOT_RUN, DispatchEnding

_HAS_ANSWER: Final = frozenset({DispatchEnding.COMPLETED, DispatchEnding.FAILED})

MAX_KEY_CHARS: Final = 255


class AtMostOnce:
    """The at-most-once decisions of one node incarnation.

    Invariant: over all nodes, a key is allowed at most once in its window, and a
    NOT_RUN result returned for a key stays true for ever.
    """

    __slots__ = (
        "_table",
        "_claimed",
        "_followed",
        "_handover",
        "_issuer",
        "_recorded",
        "_queries",
    )

    def __init__(
        self,
        node: NodeName,
        incarnation: Incarnation,
        limits: ClaimLimits,
        rng: random.Random,
    ) -> None:
        identity = NodeId(node, incarnation)
        self._table = KeyTable(identity, limits, rng)
        self._followed = FollowedKeys(self._table)
        self._claimed = ClaimedKeys(self._table, self._followed)
        self._recorded = RecordedKeys(self._table)
        self._issuer = KeyIssuer(
            identity, limits.ledger_ms, max_age_ms=limits.window_ms / 2
        )
        self._queries = KeyQueryHandler(self._table, self._recorded)
        self._handover = KeyHandover(self._table)

    def issue_prefix(self, now_ms: float) -> str:
        """Return a new key prefix, to which the caller appends its own suffix."""
        return self._issuer.issue(now_ms, self._table.rng)

    def may_dispatch(self, event: KeyedRequestArrived) -> bool:
        """Return whether this node may dispatch this attempt.

        If not, `handle` yields a refusal or the answer to another attempt, so the
        request need not be queued for an endpoint first.
        """
        table = self._table
        name = KeyName(event.customer, event.key)
        if len(event.key) > MAX_KEY_CHARS:
            return False
        if table.find_ended(name) is not None or table.find_entry(name) is not None:
            return False
        if self._handover.is_begun():
            return False
        issued = parse_issued_key(event.key)
        if issued is not None:
            return issued.issuer == table.identity
        return table.is_log_up and table.index.find(name) is None

    def is_handover_done(self) -> bool:
        """Return whether the key handover of a planned stop is complete."""
        return self._handover.is_done

    def count_not_transferred(self) -> int:
        """Return how many ended keys a planned stop has not transferred yet."""
        return self._handover.count_left()

    def count_transferred(self) -> int:
        """Return how many ended keys are held on behalf of stopped nodes."""
        return len(self._table.transferred)

    def count_keys(self) -> int:
        """Return how many keys are in progress or ended on this node."""
        return len(self._table)

    def count_claims(self) -> int:
        """Return how many claims, of all nodes, the index holds."""
        return len(self._table.index)

    def find_next_offset(self) -> int | None:
        """Return the offset of the next log record to read."""
        return self._table.index.next_offset

    def handle(self, event: ClaimEvent, now_ms: float) -> list[ClaimAction]:
        """Process one event and return the actions to carry out, in order."""
        actions = list(self._handle_one(event, now_ms))
        while messages := self._table.pop_loopback():
            for message in messages:
                sender = self._table.identity
                actions += self._handle_message(sender, message, now_ms)
        return actions

    def _handle_one(self, event: ClaimEvent, now_ms: float) -> Iterator[ClaimAction]:
        match event:
            case KeyedRequestArrived():
                yield from self._handle_arrival(event, now_ms)
            case DispatchStarted(request_id=request_id):
                self._handle_start(request_id)
            case DispatchEnded():
                yield from self._end_dispatch(event, now_ms)
            case CallerLeft(request_id=request_id):
                yield from self._handle_caller_left(request_id, now_ms)
            case ClaimRecordsRead() | RecordsSettled() | LogState():
                yield from self._handle_log(event, now_ms)
            case PeersChanged(peers=peers):
                self._table.peers = peers
                yield from self._renew_ledger(now_ms)
            case PeerMessageArrived(sender=sender, message=message):
                yield from self._handle_message(sender, message, now_ms)
            case Ticked():
                yield from self._tick(now_ms)
            case HandoverBegun():
                yield from self._begin_handover(now_ms)

    def _handle_log(
        self, event: ClaimRecordsRead | RecordsSettled | LogState, now_ms: float
    ) -> Iterator[ClaimAction]:
        match event:
            case ClaimRecordsRead():
                yield from self._claimed.read(event, now_ms)
            case RecordsSettled():
                yield from self._claimed.settle_records(event, now_ms)
            case LogState(is_up=is_up):
                yield from self._claimed.set_log_state(is_up, now_ms)

    def _handle_arrival(
        self, event: KeyedRequestArrived, now_ms: float
    ) -> Iterator[ClaimAction]:
        table = self._table
        name = KeyName(event.customer, event.key)
        ended = table.find_ended(name)
        entry = table.find_entry(name)
        issued = parse_issued_key(event.key)
        age_ms = event.key_age_ms
        if len(event.key) > MAX_KEY_CHARS:
            # Bounds the memory used by `max_keys` keys. Every node rejects such a key.
            yield refuse(event, ErrorKind.BAD_REQUEST, table.rng)
        elif age_ms is not None and self._may_outlive_window(event, age_ms, now_ms):
            # By the time the key is claimed, the claim of an earlier attempt may have
            # expired on every node, and the key would run again.
            yield refuse(event, ErrorKind.KEY_EXPIRED, table.rng)
        elif ended is not None:
            yield table.compose_ended_reply(event, ended, now_ms)
        elif entry is not None:
            yield from self._join(entry, event, now_ms)
        elif self._handover.is_begun():
            yield refuse_unclaimed(event, ErrorKind.DRAINING, table.rng)
        elif issued is None:
            yield from self._claimed.handle_arrival(event, name, now_ms)
        elif issued.issuer == table.identity:
            yield from self._recorded.handle_arrival(event, name, issued, now_ms)
        else:
            yield from self._followed.handle_issued(event, name, issued, now_ms)

    def _may_outlive_window(
        self, event: KeyedRequestArrived, age_ms: float, now_ms: float
    ) -> bool:
        left_ms = max(event.deadline_ms - now_ms, 0)
        return age_ms + left_ms >= self._table.limits.window_ms

    def _join(
        self, entry: KeyEntry, event: KeyedRequestArrived, now_ms: float
    ) -> Iterator[ClaimAction]:
        """Make an attempt wait for the result of a key in progress on this node."""
        if entry.phase is Phase.ALLOWED and event.body_digest != entry.digest:
            yield self._table.compose_running_reply(event, entry, now_ms)
        else:
            self._table.add_waiting(entry, event)

    def _handle_start(self, request_id: RequestId) -> None:
        entry = self._table.find_entry_of(request_id)
        if entry is not None and entry.running == request_id:
            entry.is_started = True

    def _end_dispatch(
        self, event: DispatchEnded, now_ms: float
    ) -> Iterator[ClaimAction]:
        table = self._table
        entry = table.find_entry_of(event.request_id)
        if entry is None or entry.running != event.request_id:
            return
        is_cancelled = event.ending is DispatchEnding.CANCELLED
        if event.ending in PROVEN_NOT_RUN or (is_cancelled and not entry.is_started):
            yield from table.revoke(entry, now_ms)
        elif event.ending in _HAS_ANSWER and event.answer is not None:
            table.store_answer(entry, event.answer)
            yield from table.finish(entry, KeyStatus.ANSWERED, now_ms)
        else:
            yield from table.finish(entry, KeyStatus.UNKNOWN, now_ms)

    def _handle_caller_left(
        self, request_id: RequestId, now_ms: float
    ) -> Iterator[ClaimAction]:
        table = self._table
        entry = table.find_entry_of(request_id)
        if entry is None:
            return
        if entry.running == request_id:
            # The caller is gone, so no DispatchEnded event will follow.
            ended = DispatchEnded(request_id, DispatchEnding.CANCELLED)
            yield from self._end_dispatch(ended, now_ms)
            return
        table.remove_waiting(entry, request_id)
        if not entry.waiting:
            yield from self._drop_unawaited(entry, ErrorKind.CALLER_GONE, now_ms)

    def _drop_unawaited(
        self, entry: KeyEntry, kind: ErrorKind, now_ms: float
    ) -> Iterator[ClaimAction]:
        """End a key for which at most one expired attempt is waiting."""
        match entry.phase:
            case Phase.RECORDING:
                yield from self._table.revoke(entry, now_ms)
            case Phase.CLAIMING:
                yield from self._claimed.give_up(entry, kind, now_ms)
            case Phase.FOLLOWING:
                self._table.remove(entry)
            case Phase.ALLOWED:
                pass

    def _handle_message(
        self, sender: NodeId, message: KeyMessage, now_ms: float
    ) -> Iterator[ClaimAction]:
        # Ignore a message to an earlier incarnation of this node: its keys differ.
        if message.to != self._table.identity.incarnation:
            return
        match message:
            case KeyReport():
                yield from self._followed.handle_report(sender, message, now_ms)
            case KeysRecorded():
                yield from self._recorded.handle_recorded(sender, message, now_ms)
            case RevocationAnswered():
                yield from self._followed.handle_revocation(sender, message, now_ms)
            case LedgerOpened():
                self._issuer.accept_ledger(sender, message)
            case TransferKeys():
                yield from self._accept_transfer(sender, message, now_ms)
            case KeysAccepted():
                yield from self._handover.handle_ack(sender, message, now_ms)
            case HandoverAnnounced(holders=holders):
                self._table.record_stopped(sender, holders, now_ms)
            case (
                QueryKey()
                | QueryTransferredKey()
                | OpenLedger()
                | RecordKeys()
                | RevokeKey()
            ):
                yield from self._queries.answer(sender, message, now_ms)

    def _begin_handover(self, now_ms: float) -> Iterator[ClaimAction]:
        """End all undecided keys and start to transfer the ended ones."""
        if self._handover.is_begun():
            return
        for entry in self._table.find_entries(Phase.RECORDING):
            yield from self._table.revoke(entry, now_ms)
        yield from self._claimed.give_up_all(ErrorKind.DRAINING, now_ms)
        yield from self._handover.begin(now_ms)

    def _accept_transfer(
        self, sender: NodeId, message: TransferKeys, now_ms: float
    ) -> Iterator[ClaimAction]:
        # Keys accepted after this node's own handover has begun would be lost with it.
        has_room = self._table.transferred.has_room(message.keys)
        is_taken = has_room and not self._handover.is_begun()
        if is_taken:
            self._table.transferred.accept(message.keys, now_ms)
            for key in message.keys:
                yield from self._followed.handle_transferred(key, now_ms)
        ack = KeysAccepted(sender.incarnation, message.batch, is_taken)
        yield from self._table.send(sender, ack)

    def _tick(self, now_ms: float) -> Iterator[ClaimAction]:
        for entry in self._table.find_entries():
            yield from self._tick_entry(entry, now_ms)
        yield from self._recorded.send_waiting(now_ms)
        self._table.forget_old(now_ms)
        self._queries.forget_old(now_ms)
        yield from self._renew_ledger(now_ms)
        yield from self._handover.tick(now_ms)

    def _tick_entry(self, entry: KeyEntry, now_ms: float) -> Iterator[ClaimAction]:
        for expired in entry.find_expired(now_ms):
            yield from self._expire(entry, expired, now_ms)
        if self._table.find_entry(entry.name) is not entry:
            return
        if entry.phase is Phase.FOLLOWING:
            yield from self._followed.tick(entry, now_ms)
        elif entry.phase is Phase.RECORDING:
            yield from self._recorded.tick(entry, now_ms)

    def _expire(
        self, entry: KeyEntry, expired: KeyedRequestArrived, now_ms: float
    ) -> Iterator[ClaimAction]:
        """Refuse an attempt whose deadline passed while its key is undecided."""
        is_own = entry.phase in (Phase.RECORDING, Phase.CLAIMING)
        if is_own and len(entry.waiting) == 1:
            # Giving up the key determines the result of its last attempt.
            yield from self._drop_unawaited(entry, ErrorKind.DEADLINE_EXCEEDED, now_ms)
            return
        self._table.remove_waiting(entry, expired.request_id)
        is_known = entry.phase is not Phase.FOLLOWING or entry.is_target_running
        kind = ErrorKind.KEY_IN_PROGRESS if is_known else ErrorKind.OUTCOME_UNKNOWN
        yield refuse(expired, kind, self._table.rng)
        if not entry.waiting:
            yield from self._drop_unawaited(entry, kind, now_ms)

    def _renew_ledger(self, now_ms: float) -> Iterator[ClaimAction]:
        table = self._table
        yield from self._issuer.renew(
            table.peers, now_ms, table.limits.resend_ms, table.rng
        )
