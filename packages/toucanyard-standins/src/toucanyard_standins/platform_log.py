"""Simulate the log service: append-only, with limited retention and rate."""

from __future__ import annotations

from collections import deque

import msgspec


class LogOptions(msgspec.Struct, frozen=True):
    """Rate and retention of the log service."""

    appends_per_s: float = 400.0
    burst: int = 100
    retention_ms: float = 3_600_000.0
    max_records: int = 200_000


class LogRecord(msgspec.Struct, frozen=True):
    """One record; `at_ms` is the time of the append by the service's clock."""

    offset: int
    at_ms: int
    data: str


class Appended(msgspec.Struct, frozen=True):
    """The offsets of appended records, from `first` up to but excluding `next`."""

    first: int
    next: int


class LogService:
    """Records in the order of their appends.

    Invariants: an offset is assigned once; only the oldest records are dropped.
    """

    __slots__ = ("_next", "_options", "_records", "_refilled_ms", "_tokens", "appends")

    def __init__(self, options: LogOptions, now_ms: float) -> None:
        self._options = options
        self._records: deque[LogRecord] = deque()
        self._next = 0
        self._tokens = float(options.burst)
        self._refilled_ms = now_ms
        self.appends = 0

    def find_next(self) -> int:
        """Return the offset of the next record."""
        return self._next

    def find_oldest(self) -> int:
        """Return the lowest retained offset."""
        return self._records[0].offset if self._records else self._next

    def consume_token(self, now_ms: float) -> bool:
        """Consume one append of the rate limit; return whether one was available."""
        options = self._options
        refill = (now_ms - self._refilled_ms) * options.appends_per_s / 1000
        self._tokens = min(float(options.burst), self._tokens + refill)
        self._refilled_ms = now_ms
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def append(self, data: tuple[str, ...], now_ms: float) -> Appended:
        """Append records together."""
        first = self._next
        for text in data:
            self._records.append(LogRecord(self._next, int(now_ms), text))
            self._next += 1
        self.appends += 1
        self.drop_expired(now_ms)
        return Appended(first, self._next)

    def drop_expired(self, now_ms: float) -> None:
        """Drop records that exceed the retention time or the maximum number."""
        options = self._options
        self.drop_before(self._next - options.max_records)
        oldest_ms = now_ms - options.retention_ms
        while self._records and self._records[0].at_ms < oldest_ms:
            self._records.popleft()

    def age(self, by_ms: int) -> None:
        """Move the append times of all records into the past."""
        self._records = deque(
            msgspec.structs.replace(each, at_ms=each.at_ms - by_ms)
            for each in self._records
        )

    def drop_before(self, offset: int) -> None:
        """Drop the records before an offset."""
        while self._records and self._records[0].offset < offset:
            self._records.popleft()

    def find_records(self, first: int, limit: int) -> tuple[LogRecord, ...]:
        """Return up to `limit` records from an offset on."""
        start = first - self.find_oldest()
        stop = min(start + limit, len(self._records))
        return tuple(self._records[index] for index in range(start, stop))
