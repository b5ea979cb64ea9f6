"""What is read from the platform's log, and what is known of an append to it."""

from __future__ import annotations

import enum

import msgspec


class LogRecord(msgspec.Struct, frozen=True):
    """One record as read from the log."""

    offset: int
    at_ms: float
    text: str


class AppendResult(enum.StrEnum):
    """What is known of an append."""

    DONE = "done"
    REFUSED = "refused"
    """Provably without effect."""
    UNKNOWN = "unknown"
    """May have taken effect, or may still."""
