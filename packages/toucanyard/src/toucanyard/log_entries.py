"""Log entries requested by decisions about relayed calls."""

from __future__ import annotations

import msgspec


class LogEntry(msgspec.Struct, frozen=True):
    """Action that writes a log line about a change of this node's state."""

    event: str
    fields: dict[str, object]
