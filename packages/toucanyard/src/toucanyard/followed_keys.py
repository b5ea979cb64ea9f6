"""Track keys that only another node may dispatch until their result is known."""

from __future__ import annotations

from collections.abc import Iterator

from toucanyard.claim_events import (
    ClaimAction,
    KeyedRequestArrived,
)
from toucanyard.errorcodes import ErrorKind
from toucanyard.issued_keys import IssuedKey
from toucanyard.key_answers import refuse, refuse_unclaimed
from toucanyard.key_entries import KeyEntry, Phase
from toucanyard.key_messages import (
    KeyReport,
    KeyStatus,
    LedgerStatus,
    QueryKey,
    QueryTransferredKey,
    RevocationAnswered,
    RevokeKey,
    TransferredKey,
)
from toucanyard.key_records import (
    KeyName,
)
from toucanyard.key_table import KeyTable
from toucanyard.names import (
    NodeId,
)


class FollowedKeys:
    """Queries claimers and issuers, the holders of their keys, and backup nodes.

    Invariant: this class never allows a dispatch.
    """

    __slots__ = ("_table",)

    def __init__(self, table: KeyTable) -> None:
        self._table = table

    def handle_issued(
        self,
        event: KeyedRequestArrived,
        name: KeyName,
        issued: IssuedKey,
        now_ms: float,
    ) -> Iterator[ClaimAction]:
        """Process a key issued by another node or by an earlier incarnation."""
        table = self._table
        found = table.transferred.find(name, "")
        if found is not None:
            yield self._compose_transferred_reply(event, found, now_ms)
            return
        if table.is_full(event.customer):
            yield refuse_unclaimed(event, ErrorKind.OVERLOADED, table.rng)
            return
        yield from self._follow(event, name, issued.issuer, "", now_ms, issued)

    def handle_claimed(
        self, event: KeyedRequestArrived, name: KeyName, now_ms: float
    ) -> Iterator[ClaimAction]:
        """Process a key whose winning claim was read from the log."""
        table = self._table
        claim = table.index.find(name)
        assert claim is not None
        found = table.transferred.find(name, claim.claim_id)
        # The digest of a claim that may have lost proves nothing: the winner of the
        # key may have run with another body.
        is_reused = claim.is_certain and claim.digest != event.body_digest
        if is_reused or claim.is_abandoned:
            status, digest = KeyStatus.NOT_RUN, claim.digest
            yield table.compose_reply(
                event, claim.claim_id, status, digest, None, now_ms
            )
        elif found is not None:
            yield self._compose_transferred_reply(event, found, now_ms)
        elif claim.claimer == table.identity or self._is_lost(claim.claimer):
            yield refuse(event, ErrorKind.OUTCOME_UNKNOWN, table.rng)
        else:
            claimer, claim_id = claim.claimer, claim.claim_id
            yield from self._follow(event, name, claimer, claim_id, now_ms, None)

    def handle_report(
        self, sender: NodeId, message: KeyReport, now_ms: float
    ) -> Iterator[ClaimAction]:
        """Process a report by the only node that may dispatch a key, or by a holder."""
        entry = self._find_followed(message.name)
        if entry is None or message.claim_id != entry.claim_id:
            return
        if sender != entry.target:
            yield from self._handle_holder_report(entry, sender, message, now_ms)
        elif message.status is KeyStatus.RUNNING:
            entry.is_target_running = True
            entry.last_report_ms = now_ms
        else:
            yield from self._resolve(entry, message, now_ms)

    def handle_transferred(
        self, key: TransferredKey, now_ms: float
    ) -> Iterator[ClaimAction]:
        """Answer the attempts of a key that was just transferred to this node."""
        entry = self._find_followed(key.name)
        if entry is None or entry.claim_id != key.claim_id:
            return
        to = self._table.identity.incarnation
        report = KeyReport(
            to, key.name, key.claim_id, key.status, key.digest, key.answer
        )
        yield from self._resolve(entry, report, now_ms)

    def handle_revocation(
        self, sender: NodeId, message: RevocationAnswered, now_ms: float
    ) -> Iterator[ClaimAction]:
        """Answer the attempts of a key that its backup node has revoked."""
        entry = self._find_followed(message.name)
        if entry is None or entry.issued is None:
            return
        if sender != entry.issued.backup:
            return
        if message.status is LedgerStatus.REVOKED:
            yield from self._resolve_as(entry, KeyStatus.NOT_RUN, now_ms)
        else:
            entry.is_revocation_refused = True

    def tick(self, entry: KeyEntry, now_ms: float) -> Iterator[ClaimAction]:
        """Repeat the query, or give up if no node can know the result any more."""
        claim = self._table.index.find(entry.name)
        if claim is not None and claim.is_abandoned_as(entry.claim_id):
            yield from self._resolve_as(entry, KeyStatus.NOT_RUN, now_ms)
        elif self._is_unanswerable(entry):
            yield from self._resolve_as(entry, KeyStatus.UNKNOWN, now_ms)
        elif now_ms - entry.sent_ms >= self._table.limits.resend_ms:
            yield from self._send_query(entry, now_ms)

    def _handle_holder_report(
        self, entry: KeyEntry, sender: NodeId, message: KeyReport, now_ms: float
    ) -> Iterator[ClaimAction]:
        assert entry.target is not None
        if sender not in self._table.stopped.find_holders(entry.target):
            return
        has_answer = message.answer is not None
        if message.status is KeyStatus.NOT_RUN or has_answer:
            yield from self._resolve(entry, message, now_ms)
        else:
            # Another holder may have a result that this one had no room for.
            entry.uninformed_holders.add(sender)

    def _find_followed(self, name: KeyName) -> KeyEntry | None:
        entry = self._table.find_entry(name)
        if entry is None or entry.phase is not Phase.FOLLOWING:
            return None
        return entry

    def _follow(
        self,
        event: KeyedRequestArrived,
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
        self._table.add(entry, event)
        yield from self._send_query(entry, now_ms)

    def _send_query(self, entry: KeyEntry, now_ms: float) -> Iterator[ClaimAction]:
        assert entry.target is not None
        entry.sent_ms = now_ms
        if self._table.stopped.is_stopped(entry.target):
            yield from self._query_holders(entry, entry.target)
        else:
            query = QueryKey(entry.target.incarnation, entry.name, entry.claim_id)
            yield from self._table.send(entry.target, query)
        if entry.issued is not None and self._needs_revocation(entry, now_ms):
            yield from self._request_revocation(entry, entry.issued)

    def _query_holders(self, entry: KeyEntry, target: NodeId) -> Iterator[ClaimAction]:
        for holder in self._find_holders(target):
            if holder not in entry.uninformed_holders:
                query = QueryTransferredKey(
                    holder.incarnation, entry.name, entry.claim_id
                )
                yield from self._table.send(holder, query)

    def _find_holders(self, target: NodeId) -> list[NodeId]:
        """Return the other nodes that may hold the keys of a stopped node."""
        table = self._table
        return [
            holder
            for holder in table.stopped.find_holders(target)
            if holder != table.identity and not table.is_replaced(holder)
        ]

    def _is_lost(self, node: NodeId) -> bool:
        """Return whether a node and all holders of its keys are known to be gone."""
        return self._table.is_gone(node) and not self._find_holders(node)

    def _needs_revocation(self, entry: KeyEntry, now_ms: float) -> bool:
        assert entry.target is not None
        if entry.is_revocation_refused:
            return False
        silent_ms = now_ms - entry.last_report_ms
        if silent_ms >= self._table.limits.ask_patience_ms:
            return True
        return self._table.is_gone(entry.target)

    def _request_revocation(
        self, entry: KeyEntry, issued: IssuedKey
    ) -> Iterator[ClaimAction]:
        backup = issued.backup
        if backup is None or self._table.is_gone(backup):
            # Its ledgers were lost with it, so the key can't be revoked any more.
            entry.is_revocation_refused = True
            return
        revoke = RevokeKey(backup.incarnation, issued.ledger, issued.issuer, entry.name)
        yield from self._table.send(backup, revoke)

    def _is_unanswerable(self, entry: KeyEntry) -> bool:
        assert entry.target is not None
        if not self._table.is_gone(entry.target):
            return False
        if not set(self._find_holders(entry.target)) <= entry.uninformed_holders:
            return False
        return entry.issued is None or entry.is_revocation_refused

    def _resolve_as(
        self, entry: KeyEntry, status: KeyStatus, now_ms: float
    ) -> Iterator[ClaimAction]:
        to = self._table.identity.incarnation
        report = KeyReport(to, entry.name, entry.claim_id, status, b"")
        yield from self._resolve(entry, report, now_ms)

    def _resolve(
        self, entry: KeyEntry, report: KeyReport, now_ms: float
    ) -> Iterator[ClaimAction]:
        table = self._table
        table.remove(entry)
        for waiting in entry.waiting.values():
            yield table.compose_reply(
                waiting,
                entry.claim_id,
                report.status,
                report.digest,
                report.answer,
                now_ms,
            )
        for asker, claim_id in entry.askers.items():
            passed_on = KeyReport(
                asker.incarnation,
                entry.name,
                claim_id,
                report.status,
                report.digest,
                report.answer,
            )
            yield from table.send(asker, passed_on)

    def _compose_transferred_reply(
        self, event: KeyedRequestArrived, found: TransferredKey, now_ms: float
    ) -> ClaimAction:
        return self._table.compose_reply(
            event, found.claim_id, found.status, found.digest, found.answer, now_ms
        )
