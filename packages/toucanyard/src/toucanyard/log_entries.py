"""Log lines that decisions about relayed calls ask for."""

from __future__ import annotations

import msgspec


class LogEntry(msgspec.Struct, frozen=True):
    """Write a log line about a change of what this node believes."""

    event: str
    fields: dict[str, object]
