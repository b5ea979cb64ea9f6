"""Emulate the platform's store: keyed topics and the log of leases."""

from __future__ import annotations

from collections.abc import Callable

from toucanyard.keyed_view import KeyedRecord, Topic


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
        records = self._records[topic]
        records.append(KeyedRecord(key, len(records), value))
        if topic is Topic.OPERATOR:
            waiting, self._waiting = self._waiting, []
            for callback in waiting:
                callback()

    def read(self, topic: Topic, since: int) -> tuple[tuple[KeyedRecord, ...], int]:
        """Return the records from an offset on, and the end offset."""
        records = self._records[topic]
        return tuple(records[since:]), len(records)

    def wait(self, callback: Callable[[], None]) -> None:
        """Invoke a callback at the next write to the operator topic."""
        self._waiting.append(callback)

    def read_leases(self, since: int) -> tuple[tuple[tuple[int, bytes], ...], int]:
        """Return the lease records from an offset on, and the end offset."""
        numbered = tuple(enumerate(self._leases))
        return numbered[since:], len(self._leases)

    def append_lease(self, value: bytes, at: int) -> int | None:
        """Append if the log ends at an offset; return the offset, or None otherwise."""
        if at != len(self._leases):
            return None
        self._leases.append(value)
        return at
