"""Track the rate limits that overloaded replicas announce, in requests per second.

A limit applies to all nodes together, for as long as the replica's responses announce
it. The latest response decides, whichever node received it.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator
from typing import Final

from toucanyard.link_messages import ReplicaLimitUpdate
from toucanyard.log_entries import LogEntry
from toucanyard.log_rate_limit import LogRateLimit
from toucanyard.names import EndpointName
from toucanyard.seen_updates import SeenUpdates, new_update_id

UPDATE_TTL_MS: Final = 2_000.0
"""Time for which a change is sent to peers: several status messages and hops."""
MAX_SEEN: Final = 10_000
"""Number of update ids remembered: one change of each replica of a large fleet."""


class _KnownLimit:
    """The known limit of one replica."""

    __slots__ = ("changed_ms", "rate_per_s", "seen_ms", "update_id")

    def __init__(self, rate_per_s: float | None, seen_ms: float) -> None:
        self.rate_per_s = rate_per_s
        """None once its responses no longer announce a limit."""
        self.seen_ms = seen_ms
        """When the newest response with this limit arrived, in this node's time."""
        self.changed_ms = seen_ms
        """When this node learned of the limit; it is sent to peers for a while."""
        self.update_id = 0


class ReplicaLimits:
    """The limits of replicas as this node knows them.

    Invariant: a response never overrides a later response of the same replica.
    """

    __slots__ = ("_changes", "_known", "_rng", "_seen", "change_count")

    def __init__(
        self, rng: random.Random, event: str = "replica_limit_changed"
    ) -> None:
        """`event` names the log line about a change."""
        self._known: dict[EndpointName, _KnownLimit] = {}
        self.change_count = 0
        """Number of changes of limits so far."""
        self._rng = rng
        self._seen = SeenUpdates(MAX_SEEN)
        self._changes = LogRateLimit(event)

    def find_rate(self, replica: EndpointName) -> float | None:
        """Return a replica's limit in requests per second; None if it has none."""
        known = self._known.get(replica)
        return None if known is None else known.rate_per_s

    def has_limits(self) -> bool:
        """Return whether any replica may have announced a limit."""
        return bool(self._known)

    def list_limited(self) -> list[tuple[EndpointName, float]]:
        """Return the replicas that announce a limit, with their rates."""
        return [
            (name, each.rate_per_s)
            for name, each in self._known.items()
            if each.rate_per_s is not None
        ]

    def on_answer(
        self, replica: EndpointName, rate_per_s: float | None, now_ms: float
    ) -> Iterator[LogEntry]:
        """Apply the limit that a response announces; None if it announces none."""
        known = self._known.get(replica)
        before = None if known is None else known.rate_per_s
        if known is not None:
            known.seen_ms = max(known.seen_ms, now_ms)
        if rate_per_s == before:
            return
        known = self._known[replica] = _KnownLimit(rate_per_s, now_ms)
        known.update_id = new_update_id(self._rng)
        self._seen.add(known.update_id)
        yield from self._build_change_entry(replica, before, rate_per_s, "", now_ms)

    def list_updates(self, now_ms: float) -> Iterator[ReplicaLimitUpdate]:
        """Return the updates for peers, and drop limits that ended a while ago."""
        for name, known in list(self._known.items()):
            if now_ms - known.changed_ms <= UPDATE_TTL_MS:
                age_ms = now_ms - known.seen_ms
                yield ReplicaLimitUpdate(
                    name, known.rate_per_s, age_ms, known.update_id
                )
            elif known.rate_per_s is None:
                del self._known[name]

    def apply(
        self, updates: Iterable[ReplicaLimitUpdate], source: str, now_ms: float
    ) -> Iterator[LogEntry]:
        """Apply a peer's updates."""
        for update in updates:
            if update.update_id in self._seen:
                continue
            self._seen.add(update.update_id)
            seen_ms = now_ms - update.age_ms
            known = self._known.get(update.replica)
            if known is not None and known.seen_ms >= seen_ms:
                continue
            before = None if known is None else known.rate_per_s
            known = self._known[update.replica] = _KnownLimit(
                update.rate_per_s, seen_ms
            )
            known.changed_ms = now_ms
            known.update_id = update.update_id
            if update.rate_per_s != before:
                rate_per_s = update.rate_per_s
                yield from self._build_change_entry(
                    update.replica, before, rate_per_s, source, now_ms
                )

    def share_all(self, now_ms: float) -> None:
        """Send all limits to peers again, as a new peer may know none."""
        for known in self._known.values():
            known.changed_ms = now_ms

    def retain(self, replicas: Iterable[EndpointName]) -> None:
        """Drop the limits of replicas that have been removed."""
        for name in self._known.keys() - set(replicas):
            del self._known[name]
            self.change_count += 1

    def _build_change_entry(
        self,
        replica: EndpointName,
        before: float | None,
        rate_per_s: float | None,
        source: str,
        now_ms: float,
    ) -> Iterator[LogEntry]:
        self.change_count += 1
        fields: dict[str, object] = {
            "replica": replica,
            "limit_per_s": rate_per_s,
            "before_per_s": before,
            "source": source or "answer",
        }
        yield from self._changes.log(fields, now_ms)
