"""Define the records read from the platform's log and the results of appends."""

from __future__ import annotations

import enum

import msgspec


class LogRecord(msgspec.Struct, frozen=True):
    """One record read from the log; `at_ms` is the log's time of the append."""

    offset: int
    at_ms: float
    text: str


class AppendResult(enum.StrEnum):
    """The known result of an append."""

    DONE = "done"
    REFUSED = "refused"
    """Had no effect, provably."""
    UNKNOWN = "unknown"
    """May have taken effect, or may yet do so."""
