"""Claim caller-chosen keys in the log and act on the winning claims."""

from __future__ import annotations

from collections.abc import Iterator

from toucanyard.claim_events import (
    AppendRecord,
    ClaimAction,
    ClaimRecordsRead,
    KeyedRequestArrived,
    RecordsSettled,
)
from toucanyard.errorcodes import ErrorKind
from toucanyard.followed_keys import FollowedKeys
from toucanyard.key_answers import refuse_unclaimed
from toucanyard.key_entries import KeyEntry, Phase
from toucanyard.key_records import (
    ClaimRecord,
    HandoverRecord,
    KeyName,
    encode_record,
)
from toucanyard.key_table import KeyTable
from toucanyard.platform_log import (
    AppendResult,
)


class ClaimedKeys:
    """The claims of this node that the log has not decided yet.

    Invariants: a claim is allowed only if it was read back as the first of its key
    with no record missed before it; a claim that was given up is never allowed.
    """

    __slots__ = ("_table", "_followed", "_last_claim")

    def __init__(self, table: KeyTable, followed: FollowedKeys) -> None:
        self._table = table
        self._followed = followed
        self._last_claim = 0

    def handle_arrival(
        self, event: KeyedRequestArrived, name: KeyName, now_ms: float
    ) -> Iterator[ClaimAction]:
        """Process an attempt with a caller-chosen key."""
        table = self._table
        if table.index.find(name) is not None:
            yield from self._followed.handle_claimed(event, name, now_ms)
        elif event.deadline_ms <= now_ms:
            yield refuse_unclaimed(event, ErrorKind.DEADLINE_EXCEEDED, table.rng)
        elif not table.is_log_up:
            yield refuse_unclaimed(event, ErrorKind.LOG_UNAVAILABLE, table.rng)
        elif table.is_full(event.customer) or not table.index.is_complete():
            yield refuse_unclaimed(event, ErrorKind.OVERLOADED, table.rng)
        else:
            yield from self._claim(event, name, now_ms)

    def read(self, event: ClaimRecordsRead, now_ms: float) -> Iterator[ClaimAction]:
        """Process log records and resolve the keys that they decide."""
        index = self._table.index
        if index.has_gap_before(event):
            # An earlier claim of another node may have expired unread; without this,
            # our own claim, read next, would look like the first one.
            yield from self.give_up_all(ErrorKind.LOG_UNAVAILABLE, now_ms)
        for record in index.read(event, now_ms):
            match record:
                case ClaimRecord():
                    yield from self._read_claim(record, now_ms)
                case HandoverRecord():
                    self._table.record_stopped(record.stopped, record.holders, now_ms)

    def settle_records(
        self, event: RecordsSettled, now_ms: float
    ) -> Iterator[ClaimAction]:
        """Process the result of an append.

        An unknown result needs no action: reading the log resolves it.
        """
        for record_id in event.record_ids:
            if event.result is AppendResult.DONE:
                self._table.confirm_record(record_id)
        if event.result is not AppendResult.REFUSED:
            return
        refused = set(event.record_ids)
        for entry in self._table.find_entries(Phase.CLAIMING):
            if entry.claim_id in refused:
                yield from self.give_up(entry, ErrorKind.LOG_UNAVAILABLE, now_ms)

    def set_log_state(self, is_up: bool, now_ms: float) -> Iterator[ClaimAction]:
        """Set whether the log is available; refuse pending claims if it is not."""
        self._table.is_log_up = is_up
        if is_up:
            yield from self._table.append_unconfirmed()
        else:
            yield from self.give_up_all(ErrorKind.LOG_UNAVAILABLE, now_ms)

    def give_up_all(self, kind: ErrorKind, now_ms: float) -> Iterator[ClaimAction]:
        """Give up every claim that the log has not decided."""
        for entry in self._table.find_entries(Phase.CLAIMING):
            yield from self.give_up(entry, kind, now_ms)

    def give_up(
        self, entry: KeyEntry, kind: ErrorKind, now_ms: float
    ) -> Iterator[ClaimAction]:
        """Give up a claim whose offset in the log is unknown; it is never dispatched.

        The append may still take effect. If the claim is then read as the winner, an
        abandon record is appended.
        """
        table = self._table
        table.index.give_up(entry.claim_id, now_ms)
        table.remove(entry)
        for waiting in entry.waiting.values():
            yield refuse_unclaimed(waiting, kind, table.rng)

    def _claim(
        self, event: KeyedRequestArrived, name: KeyName, now_ms: float
    ) -> Iterator[ClaimAction]:
        table = self._table
        self._last_claim += 1
        claim_id = f"{table.identity.incarnation}-{self._last_claim}"
        digest = event.body_digest
        table.add(KeyEntry(name, Phase.CLAIMING, digest, now_ms, claim_id), event)
        record = ClaimRecord(claim_id, name, digest, table.identity)
        yield AppendRecord(claim_id, encode_record(record), is_urgent=True)

    def _read_claim(self, record: ClaimRecord, now_ms: float) -> Iterator[ClaimAction]:
        if self._table.index.is_given_up(record.claim_id):
            yield from self._abandon_if_won(record)
        entry = self._table.find_entry(record.name)
        if entry is not None and entry.phase is Phase.CLAIMING:
            yield from self._settle(entry, now_ms)

    def _abandon_if_won(self, record: ClaimRecord) -> Iterator[ClaimAction]:
        # A claim that lost proves nothing: the key may have run on another node.
        if self._table.index.is_winner(record.claim_id, record.name):
            yield from self._table.abandon(record.claim_id, record.name)

    def _settle(self, entry: KeyEntry, now_ms: float) -> Iterator[ClaimAction]:
        """Resolve a key that this node has claimed, now that its winner is known."""
        table = self._table
        claim = table.index.find(entry.name)
        if claim is None or not claim.is_certain:
            yield from self.give_up(entry, ErrorKind.OVERLOADED, now_ms)
        elif claim.claim_id == entry.claim_id:
            yield from table.allow(entry, now_ms)
        else:
            table.remove(entry)
            for waiting in entry.waiting.values():
                yield from self._handle_arrival_again(waiting, now_ms)

    def _handle_arrival_again(
        self, event: KeyedRequestArrived, now_ms: float
    ) -> Iterator[ClaimAction]:
        name = KeyName(event.customer, event.key)
        entry = self._table.find_entry(name)
        if entry is None:
            yield from self._followed.handle_claimed(event, name, now_ms)
        else:
            self._table.add_waiting(entry, event)
