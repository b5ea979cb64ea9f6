"""Hold the newest record of each key of one topic of the platform's log.

Records come from the log, from its list of newest records and from other nodes, in any
order and more than once. Offsets decide which of two records is newer, so a stale page
or a lagging peer never reverts a newer record.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable, Sequence
from typing import Final

import msgspec

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


class Change(msgspec.Struct, frozen=True):
    """A key whose fact has changed; the fact is None after a removal."""

    key: str
    fact: object | None
    before: object | None


class InvalidRecord(msgspec.Struct, frozen=True):
    """A record, from another writer, that can't be decoded or is inconsistent."""

    topic: Topic
    reason: str


class _Entry(msgspec.Struct, frozen=True):
    record: KeyedRecord
    fact: object | None


Decode = Callable[[Topic, str, bytes], object | None]
"""Decodes a value into a typed fact; returns an InvalidRecord if it can't be decoded,
None if the record is not needed."""


class KeyedView:
    """The newest fact of each key of one topic.

    Invariants: every record below `end` is in the view, or a newer one of its key;
    `end` never decreases; a key's offset never decreases.
    """

    __slots__ = (
        "_complete_from",
        "_decode",
        "_entries",
        "_unreadable_keys",
        "availability",
        "end",
        "topic",
    )

    def __init__(self, topic: Topic, decode: Decode) -> None:
        self.topic = topic
        self.end = 0
        self.availability = StoreAvailability()
        """Reads by any node to which the store returned nothing beyond `end`."""
        self._decode = decode
        self._entries: dict[str, _Entry] = {}
        self._unreadable_keys: set[str] = set()
        """Keys of which only a record that can't be decoded was received."""
        self._complete_from = 0

    @property
    def confirmed_ms(self) -> float:
        """Return when any node last sent a read that returned nothing beyond `end`."""
        return self.availability.asked_ms

    def list_facts(self) -> list[object]:
        """Return the facts of all keys."""
        return [
            entry.fact for entry in self._entries.values() if entry.fact is not None
        ]

    def find_reported_end(self) -> int:
        """Return the offset before which peers need not send records to this node.

        It is 0 while a key has no readable record: a record that can't be decoded may
        have replaced one that peers still hold.
        """
        return 0 if self._unreadable_keys else self.end

    def list_since(self, offset: int) -> tuple[bool, list[KeyedRecord]]:
        """Return whether all records are included, and those from `offset` on."""
        is_whole = offset < self._complete_from
        records = [
            entry.record
            for entry in self._entries.values()
            if is_whole or entry.record.offset >= offset
        ]
        if is_whole:
            records = [each for each in records if each.value is not None]
        return is_whole, records

    def apply(
        self, records: Sequence[KeyedRecord], end: int, *, is_whole: bool
    ) -> list[Change]:
        """Apply records that cover the topic up to `end`; return the changes.

        If `is_whole` is true, keys without a record have been removed.
        """
        changes = [change for each in records if (change := self._apply_one(each))]
        if is_whole:
            changes += self._drop_missing({each.key for each in records}, end)
            self._complete_from = max(self._complete_from, end)
        self.end = max(self.end, end)
        self._trim()
        return changes

    def confirm(self, end: int, read: AnsweredRead, away_ms: float) -> None:
        """Record a read to which the store returned nothing beyond `end`.

        The store was unavailable if no answered read is known for `away_ms`.
        """
        if end <= self.end:
            self.availability.record_read(read, away_ms)

    def _apply_one(self, record: KeyedRecord) -> Change | None:
        entry = self._entries.get(record.key)
        if entry is not None and entry.record.offset >= record.offset:
            return None
        before = None if entry is None else entry.fact
        fact = None
        if record.value is not None:
            fact = self._decode(self.topic, record.key, record.value)
        if isinstance(fact, InvalidRecord) and self.topic is not Topic.REPLICAS:
            # The previous value stays in force and is sent to starting peers.
            # Otherwise one bad record would leave every restarted node without routes.
            if entry is None:
                self._unreadable_keys.add(record.key)
            return Change(record.key, fact, before)
        self._unreadable_keys.discard(record.key)
        # A heartbeat without a change keeps the older record: forwarding each one would
        # use bandwidth on every link between nodes.
        if fact is not None and fact == before:
            return None
        self._entries[record.key] = _Entry(record, fact)
        return Change(record.key, fact, before) if fact != before else None

    def _drop_missing(self, present: set[str], end: int) -> Iterable[Change]:
        removed = [
            key
            for key, entry in self._entries.items()
            if key not in present and entry.record.offset < end
        ]
        changes = []
        for key in removed:
            before = self._entries.pop(key).fact
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
