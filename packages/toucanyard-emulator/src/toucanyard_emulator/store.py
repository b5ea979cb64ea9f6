"""Emulate the platform's store: topics with a newest record of each key, and turns."""

from __future__ import annotations

from collections.abc import Callable

from toucanyard.keyed_view import KeyedRecord, Topic


class EmulatedStore:
    """What nodes read and write; `calls` are counted.

    Values are numbers of facts, so that nothing has to be encoded.
    """

    def __init__(self) -> None:
        self.calls = 0
        self.down_nodes: set[int] = set()
        """Nodes that get no answer."""
        self._payloads: list[object] = []
        self._records: dict[Topic, list[KeyedRecord]] = {topic: [] for topic in Topic}
        self._leases: list[bytes] = []
        self._waiting: list[Callable[[], None]] = []

    def decode(self, _: Topic, __: str, value: bytes) -> object:
        """Return the fact behind a value."""
        return self._payloads[int(value)]

    def put(self, topic: Topic, key: str, payload: object | None) -> None:
        """Append a record, one without a value if there is no fact."""
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
        """Return the records from an offset on, and the end."""
        records = self._records[topic]
        return tuple(records[since:]), len(records)

    def wait(self, callback: Callable[[], None]) -> None:
        """Call back once operators have written something."""
        self._waiting.append(callback)

    def read_leases(self, since: int) -> tuple[tuple[tuple[int, bytes], ...], int]:
        """Return the turns from an offset on, and their end."""
        numbered = tuple(enumerate(self._leases))
        return numbered[since:], len(self._leases)

    def append_lease(self, value: bytes, at: int) -> int | None:
        """Append if the turns end there; return the offset, None if they don't."""
        if at != len(self._leases):
            return None
        self._leases.append(value)
        return at
