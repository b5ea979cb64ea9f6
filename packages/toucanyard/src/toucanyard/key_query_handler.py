"""Answer the queries of peers about keys: as executor, backup node and holder."""

from __future__ import annotations

from collections.abc import Iterator

from toucanyard.backup_ledgers import BackupLedgers
from toucanyard.claim_events import (
    ClaimAction,
)
from toucanyard.key_entries import EndedKey
from toucanyard.key_messages import (
    KeyMessage,
    KeyReport,
    KeysRecorded,
    KeyStatus,
    LedgerOpened,
    LedgerStatus,
    OpenLedger,
    QueryKey,
    QueryTransferredKey,
    RecordKeys,
    RevocationAnswered,
    RevokeKey,
)
from toucanyard.key_table import KeyTable
from toucanyard.large_answer_throttle import LargeAnswerThrottle
from toucanyard.names import (
    NodeId,
)
from toucanyard.recorded_keys import RecordedKeys


class KeyQueryHandler:
    """Answers queries of peers about keys.

    Invariant: NOT_RUN is reported only for a key that only this node might dispatch
    and never will, that it revoked as backup node, or that was transferred as such.
    """

    __slots__ = ("_table", "_large", "_recorded", "_ledgers")

    def __init__(self, table: KeyTable, recorded: RecordedKeys) -> None:
        self._table = table
        self._recorded = recorded
        self._large = LargeAnswerThrottle()
        limits = table.limits
        self._ledgers = BackupLedgers(2 * limits.window_ms, limits.max_keys)

    def answer(
        self,
        sender: NodeId,
        message: QueryKey | QueryTransferredKey | OpenLedger | RecordKeys | RevokeKey,
        now_ms: float,
    ) -> Iterator[ClaimAction]:
        """Answer one query of a peer."""
        match message:
            case QueryKey():
                yield from self._answer_query(sender, message, now_ms)
            case QueryTransferredKey():
                yield from self._answer_transferred(sender, message, now_ms)
            case OpenLedger() | RecordKeys() | RevokeKey():
                yield from self._answer_ledger_request(sender, message, now_ms)

    def forget_old(self, now_ms: float) -> None:
        """Remove the ledgers of keys that are past the window."""
        self._ledgers.forget_old(now_ms)
        self._large.forget_old(now_ms)

    def _answer_ledger_request(
        self,
        sender: NodeId,
        message: OpenLedger | RecordKeys | RevokeKey,
        now_ms: float,
    ) -> Iterator[ClaimAction]:
        to = sender.incarnation
        answer: KeyMessage
        match message:
            case OpenLedger(request=request):
                ledger = self._ledgers.open(sender, request, now_ms)
                answer = LedgerOpened(to, request, ledger)
            case RecordKeys(batch=batch):
                answer = KeysRecorded(to, batch, self._record_batch(sender, message))
            case RevokeKey(ledger=ledger, issuer=issuer, name=name):
                status = self._ledgers.revoke(issuer, ledger, name)
                answer = RevocationAnswered(to, ledger, name, status)
        yield from self._table.send(sender, answer)

    def _record_batch(self, sender: NodeId, message: RecordKeys) -> tuple[int, ...]:
        """Record the keys of a batch; return the indexes of those refused."""
        ledger = message.ledger
        statuses = [
            self._ledgers.record_key(sender, ledger, each)
            for each in message.key_fingerprints
        ]
        return tuple(
            position
            for position, status in enumerate(statuses)
            if status is not LedgerStatus.RECORDED
        )

    def _answer_query(
        self, sender: NodeId, query: QueryKey, now_ms: float
    ) -> Iterator[ClaimAction]:
        ended = self._find_status(sender, query, now_ms)
        report = self._table.compose_report(sender, query.name, query.claim_id, ended)
        yield from self._send_report(sender, report, now_ms)

    def _find_status(self, sender: NodeId, query: QueryKey, now_ms: float) -> EndedKey:
        table = self._table
        name, claim_id = query.name, query.claim_id
        claim = table.index.find(name)
        entry = table.find_entry(name)
        ended = table.find_ended(name)
        if claim is not None and claim.is_abandoned_as(claim_id):
            return EndedKey(KeyStatus.NOT_RUN, claim.digest, now_ms)
        if table.index.is_given_up(claim_id):
            # Whether that claim won, and so whether the key ran, may be undecided here.
            return EndedKey(KeyStatus.RUNNING, b"", now_ms)
        if entry is not None and entry.claim_id == claim_id:
            entry.askers[sender] = claim_id
            return EndedKey(KeyStatus.RUNNING, entry.digest, now_ms)
        if ended is None and not claim_id:
            ended = self._recorded.revoke_unseen(name, now_ms)
        # If the key was claimed again, the later claim proves nothing about the earlier
        # one, which a node that has not expired it yet may ask about.
        if ended is None or ended.claim_id != claim_id:
            return EndedKey(KeyStatus.UNKNOWN, b"", now_ms)
        return ended

    def _answer_transferred(
        self, sender: NodeId, query: QueryTransferredKey, now_ms: float
    ) -> Iterator[ClaimAction]:
        name, claim_id, to = query.name, query.claim_id, sender.incarnation
        report = KeyReport(to, name, claim_id, KeyStatus.UNKNOWN, b"")
        found = self._table.transferred.find(name, claim_id)
        if found is not None:
            status, digest, answer = found.status, found.digest, found.answer
            report = KeyReport(to, name, claim_id, status, digest, answer)
        yield from self._send_report(sender, report, now_ms)

    def _send_report(
        self, sender: NodeId, report: KeyReport, now_ms: float
    ) -> Iterator[ClaimAction]:
        if self._large.was_sent_recently(sender, report.name, report.answer, now_ms):
            return
        self._large.record_sent(sender, report.name, report.answer, now_ms)
        yield from self._table.send(sender, report)
