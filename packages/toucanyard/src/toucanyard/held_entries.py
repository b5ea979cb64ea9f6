"""Hold back entries of replicas that another writer may have written.

An entry that names another service than the one before it is held: as long as that
service is not configured, and else for a while, since a replica that runs writes its
own entry again within that time. A held entry says nothing of its replica, not even
when it started; otherwise the replica's own entries would count as those of an earlier
incarnation.
"""

from __future__ import annotations

import enum
from collections.abc import Iterator
from typing import Final

import msgspec

from toucanyard.log_rate_limit import LogRateLimit
from toucanyard.names import ReplicaId
from toucanyard.relay_events import LogEntry
from toucanyard.replicas import Replica, ReplicaDirectory

OTHER_SERVICE_MS: Final = 5_000.0
"""How long an entry with another service is held: longer than the three heartbeats
after which the entry of a silent replica is removed."""


class HeldReason(enum.StrEnum):
    """Why an entry is held."""

    UNKNOWN_SERVICE = "unknown_service"
    OTHER_SERVICE = "other_service"


class _HeldEntry(msgspec.Struct, frozen=True):
    replica: Replica
    reason: HeldReason
    since_ms: float


class HeldEntries:
    """The newest entry of each replica whose entry is held."""

    __slots__ = ("_directory", "_entries", "_log")

    def __init__(self, directory: ReplicaDirectory) -> None:
        self._directory = directory
        self._entries: dict[ReplicaId, _HeldEntry] = {}
        self._log = LogRateLimit("replica_held")

    def check(self, replica: Replica, now_ms: float) -> HeldReason | None:
        """Hold an entry and return why; return None if it may be applied."""
        self.drop(replica.listed_as)
        reason = self._find_reason(replica)
        if reason is not None:
            self._entries[replica.listed_as] = _HeldEntry(replica, reason, now_ms)
        return reason

    def drop(self, listed_as: ReplicaId) -> bool:
        """Discard a held entry; return whether there was one."""
        return self._entries.pop(listed_as, None) is not None

    def take_due(self, now_ms: float) -> list[Replica]:
        """Remove and return the entries that need not be held any longer."""
        due = [
            each.replica
            for each in self._entries.values()
            if not self._is_still_held(each, now_ms)
        ]
        for replica in due:
            self.drop(replica.listed_as)
        return due

    def log_entry(self, fields: dict[str, object], now_ms: float) -> Iterator[LogEntry]:
        """Return the log entry of a held entry, unless there were too many."""
        return self._log.log(fields, now_ms)

    def _find_reason(self, replica: Replica) -> HeldReason | None:
        current = self._directory.find_current(replica.listed_as)
        if current is None or current.replica.service == replica.service:
            return None
        configured = self._directory.list_services()
        if replica.service not in configured:
            return HeldReason.UNKNOWN_SERVICE
        is_other = current.replica.service in configured
        return HeldReason.OTHER_SERVICE if is_other else None

    def _is_still_held(self, entry: _HeldEntry, now_ms: float) -> bool:
        match self._find_reason(entry.replica):
            case HeldReason.UNKNOWN_SERVICE:
                return True
            case HeldReason.OTHER_SERVICE:
                return now_ms - entry.since_ms < OTHER_SERVICE_MS
            case None:
                return False
