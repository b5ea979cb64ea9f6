"""Emulate the platform's store: keyed topics and the log of leases."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

from toucanyard.keyed_view import KeyedRecord, Topic
from toucanyard.log_position import START, LogPosition
from toucanyard.relay_events import LeaseRead, TopicRead


class LostRecord(msgspec.Struct, frozen=True):
    """A record that the store has lost by its return to a copy."""

    topic: Topic
    key: str
    value: bytes | None


class EmulatedStore:
    """The store as read and written by nodes; counts its `calls`.

    A value is the index of a Python object, so that nothing has to be encoded.
    """

    def __init__(self) -> None:
        self.calls = 0
        self.down_nodes: set[int] = set()
        """Nodes to which the store does not respond."""
        self._payloads: list[object] = []
        self._records: dict[Topic, list[KeyedRecord]] = {topic: [] for topic in Topic}
        self._leases: list[bytes] = []
        self.era = 0
        """Number of times that the store was restored from its copy."""
        self._copy: dict[Topic, int] = dict.fromkeys(Topic, 0)
        self._copied_leases = 0
        self._waiting: list[Callable[[], None]] = []

    def decode(self, _: Topic, __: str, value: bytes) -> object:
        """Return the object to which a value refers."""
        return self._payloads[int(value)]

    def put(self, topic: Topic, key: str, payload: object | None) -> None:
        """Append a record to a topic; None as payload writes a deletion."""
        value = None
        if payload is not None:
            value = str(len(self._payloads)).encode()
            self._payloads.append(payload)
        self._append(topic, key, value)

    def _append(self, topic: Topic, key: str, value: bytes | None) -> None:
        records = self._records[topic]
        records.append(KeyedRecord(key, len(records), value))
        if topic is Topic.OPERATOR:
            waiting, self._waiting = self._waiting, []
            for callback in waiting:
                callback()

    def read(self, topic: Topic, since: LogPosition) -> TopicRead:
        """Return the records from a position on, or all if it is of an earlier era."""
        records = self._records[topic]
        is_whole = since.era != self.era or since == START
        if is_whole:
            newest = {each.key: each for each in records}
            wanted = [each for each in newest.values() if each.value is not None]
        else:
            wanted = records[since.offset :]
        return TopicRead(
            topic,
            tuple(msgspec.structs.replace(each, era=self.era) for each in wanted),
            len(records),
            is_whole,
            0.0,
            era=self.era,
        )

    def take_copy(self) -> None:
        """Take the copy to which the next restore returns."""
        self._copy = {topic: len(records) for topic, records in self._records.items()}
        self._copied_leases = len(self._leases)

    def restore(self) -> list[LostRecord]:
        """Return to the copy; return the newest lost record of each key."""
        self.era += 1
        lost: dict[tuple[Topic, str], LostRecord] = {}
        for topic, records in self._records.items():
            for each in records[self._copy[topic] :]:
                lost[(topic, each.key)] = LostRecord(topic, each.key, each.value)
            del records[self._copy[topic] :]
        del self._leases[self._copied_leases :]
        return list(lost.values())

    def write_again(self, lost: Iterable[LostRecord]) -> None:
        """Write lost records of operators and replicas whose keys were not written."""
        for each in lost:
            written = self._records[each.topic][self._copy[each.topic] :]
            is_own = each.topic is Topic.NODES
            if not is_own and all(record.key != each.key for record in written):
                self._append(each.topic, each.key, each.value)

    def wait(self, callback: Callable[[], None]) -> None:
        """Invoke a callback at the next write to the operator topic."""
        self._waiting.append(callback)

    def read_leases(self, since: int) -> LeaseRead:
        """Return the lease records from an offset on."""
        numbered = tuple(enumerate(self._leases))
        return LeaseRead(numbered[since:], len(self._leases), self.era)

    def append_lease(self, value: bytes, at: int) -> int | None:
        """Append if the log ends at an offset; return the offset, or None otherwise."""
        if at != len(self._leases):
            return None
        self._leases.append(value)
        return at
