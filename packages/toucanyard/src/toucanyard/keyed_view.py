"""Hold the newest record of each key of one topic of the platform's log.

Records come from the log, from its list of newest records and from other nodes, in any
order and more than once. Offsets decide which of two is newer, so a stale page or a
peer that lags never undoes what is known.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable, Sequence
from typing import Final

import msgspec

from toucanyard.store_availability import AnsweredRead, StoreAvailability

MAX_TOMBSTONES: Final = 1_000
"""Removed keys that are remembered, to tell a peer that lags of the removal."""


class Topic(enum.StrEnum):
    """What is kept in the platform's log, by who writes it."""

    OPERATOR = "operator"
    """Routes and wanted weights."""
    REPLICAS = "replicas"
    """What each replica says of itself."""
    NODES = "nodes"
    """Where each node can be reached."""


class KeyedRecord(msgspec.Struct, frozen=True, array_like=True):
    """One record; without a value, its key has been removed."""

    key: str
    offset: int
    value: bytes | None


class Change(msgspec.Struct, frozen=True):
    """A key whose fact has changed; None after its removal."""

    key: str
    fact: object | None
    before: object | None


class InvalidRecord(msgspec.Struct, frozen=True):
    """A record that can't be read or says what can't be: another writer's."""

    topic: Topic
    reason: str


class _Entry(msgspec.Struct, frozen=True):
    record: KeyedRecord
    fact: object | None


Decode = Callable[[Topic, str, bytes], object | None]
"""Turns a value into a typed fact; an InvalidRecord for what can't be read, None for
what isn't wanted."""


class KeyedView:
    """The newest fact of each key of one topic.

    Invariants: every record below `end` is in the view, or a newer one of its key;
    `end` never falls; a key's offset never falls.
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
        """When the store, asked by any node, had nothing beyond `end`."""
        self._decode = decode
        self._entries: dict[str, _Entry] = {}
        self._unreadable_keys: set[str] = set()
        """Keys whose only record that came can't be read."""
        self._complete_from = 0

    @property
    def confirmed_ms(self) -> float:
        """Return when the store, asked by any node, last had nothing beyond `end`."""
        return self.availability.asked_ms

    def list_facts(self) -> list[object]:
        """Return the facts of all keys."""
        return [
            entry.fact for entry in self._entries.values() if entry.fact is not None
        ]

    def find_reported_end(self) -> int:
        """Return up to where peers needn't tell this node anything.

        A record that can't be read may have taken the place of one that peers hold.
        """
        return 0 if self._unreadable_keys else self.end

    def list_since(self, offset: int) -> tuple[bool, list[KeyedRecord]]:
        """Return whether the records are all there are, and those from an offset on."""
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
        """Take in records that reach up to `end`; return what has changed.

        `is_whole` tells that keys without a record have been removed.
        """
        changes = [change for each in records if (change := self._apply_one(each))]
        if is_whole:
            changes += self._drop_missing({each.key for each in records}, end)
            self._complete_from = max(self._complete_from, end)
        self.end = max(self.end, end)
        self._trim()
        return changes

    def confirm(self, end: int, answered: AnsweredRead, away_ms: float) -> None:
        """Note that the store, when it was asked, had nothing beyond `end`.

        It was away if no answer is known for `away_ms`.
        """
        if end <= self.end:
            self.availability.record_read(answered, away_ms)

    def _apply_one(self, record: KeyedRecord) -> Change | None:
        entry = self._entries.get(record.key)
        if entry is not None and entry.record.offset >= record.offset:
            return None
        before = None if entry is None else entry.fact
        fact = None
        if record.value is not None:
            fact = self._decode(self.topic, record.key, record.value)
        if isinstance(fact, InvalidRecord) and self.topic is not Topic.REPLICAS:
            # The value before stays in force and is sent to peers that start. One bad
            # record would otherwise leave every restarted node without routes.
            if entry is None:
                self._unreadable_keys.add(record.key)
            return Change(record.key, fact, before)
        self._unreadable_keys.discard(record.key)
        # A heartbeat that says nothing new keeps the older record: passed on, each
        # would cost every link between nodes its bytes.
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
