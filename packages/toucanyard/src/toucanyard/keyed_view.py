"""Hold the newest record of each key of one topic of the platform's log.

Records come from the log, from its list of newest records and from other nodes, in any
order and more than once. Positions decide which of two records is newer, so a stale
page or a lagging peer never reverts a newer record. When the store is restored from an
older copy, what it has lost stays in force until its writer has written it again.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable, Sequence
from typing import Final

import msgspec
import xxhash

from toucanyard.log_position import START, Era, LogPosition
from toucanyard.store_availability import AnsweredRead, StoreAvailability

MAX_TOMBSTONES: Final = 1_000
"""Maximum number of removed keys kept, to inform lagging peers of the removals."""


class Topic(enum.StrEnum):
    """Topics of the platform's log, by their writers."""

    OPERATOR = "operator"
    """Routes and wanted weights."""
    REPLICAS = "replicas"
    """The description that each replica publishes of itself."""
    NODES = "nodes"
    """The address of each node."""


class KeyedRecord(msgspec.Struct, frozen=True, array_like=True):
    """One record; None as its value means that the key was removed."""

    key: str
    offset: int
    value: bytes | None
    era: Era = 0
    """Era of the store in which it was read last."""


class Change(msgspec.Struct, frozen=True):
    """A key whose fact has changed; the fact is None after a removal."""

    key: str
    fact: object | None
    before: object | None
    is_lost: bool = False
    """Whether the store has lost the record, which stays in force."""


class InvalidRecord(msgspec.Struct, frozen=True):
    """A record, from another writer, that can't be decoded or is inconsistent."""

    topic: Topic
    reason: str


class _Entry(msgspec.Struct, frozen=True):
    record: KeyedRecord
    fact: object | None
    is_doubtful: bool = False
    """Whether a restored store lists a replica that is known to have been removed; then
    it has no fact until it is written again."""


Decode = Callable[[Topic, str, bytes], object | None]
"""Decodes a value into a typed fact; returns an InvalidRecord if it can't be decoded,
None if the record is not needed."""
FindRevision = Callable[[object], int | None]
"""Returns the number by which facts of one key supersede each other, if they have one.
"""
IsNeeded = Callable[[object], bool]
"""Returns whether a node can't serve without a fact; it is replaced, never removed."""


class KeyedView:
    """The newest fact of each key of one topic.

    Invariants: every record below `end` is in the view, or a newer one of its key;
    `end` never decreases; within one era a key's offset never decreases; the revision
    of a key's fact never decreases across eras.

    A record that a restored store has lost stays in the view, if nobody but its writer
    can tell that it is void, until the key is written again.
    """

    __slots__ = (
        "_complete_from",
        "_decode",
        "_entries",
        "_find_revision",
        "_is_needed",
        "_restored_end",
        "_unconfirmed",
        "_unreadable_keys",
        "availability",
        "end",
        "topic",
    )

    def __init__(
        self,
        topic: Topic,
        decode: Decode,
        find_revision: FindRevision = lambda _: None,
        is_needed: IsNeeded | None = None,
    ) -> None:
        self.topic = topic
        self.end = START
        self.availability = StoreAvailability()
        """Reads by any node to which the store returned nothing beyond `end`."""
        self._decode = decode
        self._find_revision = find_revision
        self._is_needed = is_needed
        self._entries: dict[str, _Entry] = {}
        self._unconfirmed: set[str] = set()
        """Keys whose record the store has lost, or lists although it was removed."""
        self._unreadable_keys: set[str] = set()
        """Keys of which only a record that can't be decoded was received."""
        self._complete_from = 0
        self._restored_end = 0
        """Offset before which records of this era may come from the copy."""

    @property
    def confirmed_ms(self) -> float:
        """Return when any node last sent a read that returned nothing beyond `end`."""
        return self.availability.asked_ms

    def list_facts(self) -> list[object]:
        """Return the facts of all keys."""
        return [
            entry.fact for entry in self._entries.values() if entry.fact is not None
        ]

    def list_stored(self) -> list[object]:
        """Return the facts of all keys whose records the store has."""
        return [
            entry.fact
            for entry in self._entries.values()
            if entry.fact is not None and entry.record.era == self.end.era
        ]

    def find_stored(self, key: str) -> object | None:
        """Return the fact of a key, unless the store has lost its record."""
        entry = self._entries.get(key)
        is_stored = entry is not None and entry.record.era == self.end.era
        return entry.fact if entry is not None and is_stored else None

    def find_reported_end(self) -> LogPosition:
        """Return the position before which peers need not send records to this node.

        Its offset is 0 while a key has no readable record, or while the fact that a
        node can't serve without is missing: a record that can't be decoded, or has no
        value, may have replaced one that peers still hold.
        """
        is_lacking = bool(self._unreadable_keys) or self._lacks_needed()
        return LogPosition(self.end.era, 0) if is_lacking else self.end

    def list_since(self, since: LogPosition) -> tuple[bool, list[KeyedRecord]]:
        """Return whether all records are included, and those from a position on."""
        is_whole = since.era < self.end.era or since.offset < self._complete_from
        records = [
            entry.record
            for entry in self._entries.values()
            if is_whole or self._is_from(entry, since)
        ]
        if is_whole:
            records = [each for each in records if each.value is not None]
        return is_whole, records

    def list_unconfirmed(self) -> list[KeyedRecord]:
        """Return what nodes know beyond the records of the restored store.

        A doubtful record is returned as the removal that the store has lost.
        """
        found = []
        for key in sorted(self._unconfirmed):
            entry = self._entries[key]
            if entry.is_doubtful:
                found.append(KeyedRecord(key, 0, None, self.end.era - 1))
            else:
                found.append(entry.record)
        return found

    def count_unconfirmed(self) -> int:
        """Return the number of keys that the restored store shows wrongly."""
        return len(self._unconfirmed)

    def compute_unconfirmed_digest(self) -> int:
        """Return a digest of the unconfirmed records, by which nodes compare them."""
        if not self._unconfirmed:
            return 0
        digest = xxhash.xxh32()
        for record in self.list_unconfirmed():
            digest.update(f"{record.key}/{record.era}/{record.offset};".encode())
        return int(digest.intdigest()) or 1

    def apply(
        self, records: Sequence[KeyedRecord], end: LogPosition, *, is_whole: bool
    ) -> list[Change]:
        """Apply records that cover the topic up to `end`; return the changes.

        If `is_whole` is true, keys without a record have been removed. Records of an
        earlier era than `end` are those that the store has lost.
        """
        if end.era < self.end.era:
            return []
        current = [each for each in records if each.era == end.era]
        if end.era > self.end.era:
            if not is_whole:
                return []
            changes = self._enter_era(current, end)
        else:
            changes = [change for each in current if (change := self._apply_one(each))]
            if is_whole:
                changes += self._drop_missing({each.key for each in current}, end)
                self._complete_from = max(self._complete_from, end.offset)
            self.end = max(self.end, end)
        lost = [each for each in records if each.era < end.era]
        changes += [change for each in lost if (change := self._apply_lost(each))]
        self._trim()
        return changes

    def confirm(self, end: LogPosition, read: AnsweredRead, away_ms: float) -> None:
        """Record a read to which the store returned nothing beyond `end`.

        The store was unavailable if no answered read is known for `away_ms`.
        """
        if end.era == self.end.era and end <= self.end:
            self.availability.record_read(read, away_ms)

    def _is_from(self, entry: _Entry, since: LogPosition) -> bool:
        """Return whether the store has an entry's record from a position on."""
        record = entry.record
        return record.era == since.era and record.offset >= since.offset

    def _enter_era(
        self, records: Sequence[KeyedRecord], end: LogPosition
    ) -> list[Change]:
        """Replace the view by that of a restored store, and keep what it has lost."""
        held, self._entries = self._entries, {}
        self.end = end
        self._complete_from = self._restored_end = end.offset
        self._unconfirmed.clear()
        self._unreadable_keys.clear()
        changes = []
        for record in records:
            before = held.pop(record.key, None)
            if change := self._apply_restored(record, before):
                changes.append(change)
        for key, entry in held.items():
            if entry.fact is None:
                continue
            is_kept = self._is_kept(entry.fact)
            if is_kept:
                self._keep_lost(entry)
            fact = entry.fact if is_kept else None
            changes.append(Change(key, fact, entry.fact, is_lost=is_kept))
        return changes

    def _apply_restored(
        self, record: KeyedRecord, before: _Entry | None
    ) -> Change | None:
        fact = self._decode_record(record)
        known = None if before is None else before.fact
        if self._is_ignored(fact):
            if before is None or known is None:
                self._unreadable_keys.add(record.key)
            else:
                self._keep_lost(before)
            return Change(record.key, fact, known)
        if before is not None and self._is_older(fact, known):
            self._keep_lost(before)
            return None
        if before is not None and self._was_removed_after(record, before):
            self._keep_removed(record)
            return None
        self._entries[record.key] = _Entry(record, fact)
        return None if fact == known else Change(record.key, fact, known)

    def _was_removed_after(self, record: KeyedRecord, before: _Entry) -> bool:
        """Return whether the store may have lost the removal of a key.

        A copy holds the first records of the log, so a record behind the removal's
        offset is newer. One before it may be either; a live replica writes again.
        """
        if self.topic is not Topic.REPLICAS:
            return False
        if before.is_doubtful:
            return record.offset <= before.record.offset
        return before.record.value is None and record.offset < before.record.offset

    def _keep_lost(self, entry: _Entry) -> None:
        self._entries[entry.record.key] = entry
        self._unconfirmed.add(entry.record.key)

    def _keep_removed(self, record: KeyedRecord) -> None:
        self._entries[record.key] = _Entry(record, None, is_doubtful=True)
        self._unconfirmed.add(record.key)

    def _is_kept(self, fact: object) -> bool:
        """Return whether a fact stays in force although the store has lost its record.

        Replicas write again by themselves; until then they count as removed during an
        outage.
        """
        match self.topic:
            case Topic.OPERATOR:
                return self._find_revision(fact) is not None
            case Topic.NODES:
                return True
            case Topic.REPLICAS:
                return False

    def _is_older(self, fact: object | None, known: object | None) -> bool:
        """Return whether a fact is an earlier revision of a known one."""
        if fact is None or known is None:
            return False
        revision, known_revision = self._find_revision(fact), self._find_revision(known)
        if revision is None or known_revision is None:
            return False
        return revision < known_revision

    def _is_ignored(self, fact: object | None) -> bool:
        """Return whether a record leaves the previous one of its key in force.

        Otherwise one bad record would leave every restarted node without routes. A
        replica whose record can't be decoded gets no calls.
        """
        return isinstance(fact, InvalidRecord) and self.topic is not Topic.REPLICAS

    def _lacks_needed(self) -> bool:
        if self._is_needed is None:
            return False
        return not any(self._is_needed(each.fact) for each in self._entries.values())

    def _is_irremovable(self, entry: _Entry) -> bool:
        """Return whether a removal leaves an entry in force.

        Nodes go on with it, so those that start later must learn of it from them.
        """
        return self._is_needed is not None and self._is_needed(entry.fact)

    def _decode_record(self, record: KeyedRecord) -> object | None:
        if record.value is None:
            return None
        return self._decode(self.topic, record.key, record.value)

    def _apply_one(self, record: KeyedRecord) -> Change | None:
        """Apply a record of the current era."""
        entry = self._entries.get(record.key)
        is_lost = entry is not None and entry.record.era < record.era
        if entry is not None and not is_lost and entry.record.offset >= record.offset:
            return None
        if record.value is None and entry is not None and self._is_irremovable(entry):
            return None
        before = None if entry is None else entry.fact
        fact = self._decode_record(record)
        if self._is_ignored(fact):
            # The previous value is also sent to starting peers.
            if entry is None:
                self._unreadable_keys.add(record.key)
            return Change(record.key, fact, before)
        if is_lost and self._is_older(fact, before):
            return None
        self._unreadable_keys.discard(record.key)
        is_confirmed = record.key in self._unconfirmed
        self._unconfirmed.discard(record.key)
        # A heartbeat without a change keeps the older record: forwarding each one would
        # use bandwidth on every link between nodes.
        if fact is not None and fact == before and not is_confirmed:
            return None
        self._entries[record.key] = _Entry(record, fact)
        is_changed = fact != before or is_confirmed
        return Change(record.key, fact, before) if is_changed else None

    def _apply_lost(self, record: KeyedRecord) -> Change | None:
        """Apply what a peer knows beyond the records of the restored store."""
        entry = self._entries.get(record.key)
        if record.value is None:
            return self._doubt(record.key, entry)
        fact = self._decode_record(record)
        if fact is None or isinstance(fact, InvalidRecord) or not self._is_kept(fact):
            return None
        if entry is not None and not self._is_superseded(entry, record, fact):
            return None
        before = None if entry is None else entry.fact
        self._keep_lost(_Entry(record, fact))
        return Change(record.key, fact, before, is_lost=True)

    def _is_superseded(self, entry: _Entry, lost: KeyedRecord, fact: object) -> bool:
        """Return whether a lost record is newer than what this node has of its key."""
        if self._find_revision(fact) is not None:
            return self._is_older(entry.fact, fact)
        known = LogPosition(entry.record.era, entry.record.offset)
        return known < LogPosition(lost.era, lost.offset)

    def _doubt(self, key: str, entry: _Entry | None) -> Change | None:
        """Take a key for removed until it is written again.

        A record from behind the end of the copy is newer than the removal.
        """
        if entry is None or entry.fact is None:
            return None
        if entry.record.offset >= self._restored_end:
            return None
        self._keep_removed(entry.record)
        return Change(key, None, entry.fact)

    def _drop_missing(self, present: set[str], end: LogPosition) -> Iterable[Change]:
        removed = [
            key
            for key, entry in self._entries.items()
            if key not in present
            and entry.record.era == end.era
            and entry.record.offset < end.offset
            and not self._is_irremovable(entry)
        ]
        changes = []
        for key in removed:
            before = self._entries.pop(key).fact
            self._unconfirmed.discard(key)
            if before is not None:
                changes.append(Change(key, None, before))
        return changes

    def _trim(self) -> None:
        tombstones = [
            entry.record
            for entry in self._entries.values()
            if entry.record.value is None
        ]
        if len(tombstones) <= MAX_TOMBSTONES:
            return
        tombstones.sort(key=lambda record: record.offset)
        for record in tombstones[: len(tombstones) // 2]:
            del self._entries[record.key]
            self._complete_from = max(self._complete_from, record.offset + 1)
