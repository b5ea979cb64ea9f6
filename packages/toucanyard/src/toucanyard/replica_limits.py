"""Know which replicas in need have named a limit: the requests a second that they take.

A limit holds for all nodes together and for as long as the replica's answers name it.
Whichever answer came last decides, at whatever node it was seen.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator
from typing import Final

from toucanyard.link_messages import ReplicaLimitUpdate
from toucanyard.names import EndpointName
from toucanyard.note_limit import NoteLimit
from toucanyard.relay_notes import Note
from toucanyard.seen_updates import SeenUpdates, new_update_id

UPDATE_TTL_MS: Final = 2_000.0
"""How long peers are told of a change: several statuses and hops."""
MAX_SEEN: Final = 10_000
"""Updates that are remembered: a change of each replica of a large fleet."""


class _Belief:
    """What is believed of one replica."""

    __slots__ = ("changed_ms", "rate_per_s", "seen_ms", "update_id")

    def __init__(self, rate_per_s: float | None, seen_ms: float) -> None:
        self.rate_per_s = rate_per_s
        """None once its answers name no limit any more."""
        self.seen_ms = seen_ms
        """When the newest answer was seen that says so, in this node's time."""
        self.changed_ms = seen_ms
        """When this node learned of it; peers are told for a while after."""
        self.update_id = 0


class ReplicaLimits:
    """The limits of replicas as this node knows them.

    Invariant: an answer never changes what a later answer of the same replica said.
    """

    __slots__ = ("_beliefs", "_changes", "_invalid", "_rng", "_seen", "change_count")

    def __init__(self, rng: random.Random) -> None:
        self._beliefs: dict[EndpointName, _Belief] = {}
        self.change_count = 0
        """Changes of limits so far."""
        self._rng = rng
        self._seen = SeenUpdates(MAX_SEEN)
        self._changes = NoteLimit("replica_limit_changed")
        self._invalid = NoteLimit("replica_limit_invalid")

    def find_rate(self, replica: EndpointName) -> float | None:
        """Return the requests a second that a replica takes; None without a limit."""
        belief = self._beliefs.get(replica)
        return None if belief is None else belief.rate_per_s

    def has_limits(self) -> bool:
        """Tell whether any replica may have named a limit."""
        return bool(self._beliefs)

    def list_limited(self) -> list[tuple[EndpointName, float]]:
        """Return the replicas that name a limit, with their rates."""
        return [
            (name, each.rate_per_s)
            for name, each in self._beliefs.items()
            if each.rate_per_s is not None
        ]

    def on_answer(
        self, replica: EndpointName, rate_per_s: float | None, now_ms: float
    ) -> Iterator[Note]:
        """Take in what an answer names; None if it names no limit."""
        belief = self._beliefs.get(replica)
        before = None if belief is None else belief.rate_per_s
        if belief is not None:
            belief.seen_ms = max(belief.seen_ms, now_ms)
        if rate_per_s == before:
            return
        belief = self._beliefs[replica] = _Belief(rate_per_s, now_ms)
        belief.update_id = new_update_id(self._rng)
        self._seen.add(belief.update_id)
        yield from self._note_change(replica, before, rate_per_s, "", now_ms)

    def on_invalid(
        self, replica: EndpointName, text: str, now_ms: float
    ) -> Iterator[Note]:
        """Log a limit that can't be read; what is believed stays."""
        yield from self._invalid.note({"replica": replica, "value": text}, now_ms)

    def list_updates(self, now_ms: float) -> Iterator[ReplicaLimitUpdate]:
        """Return what to tell peers, and drop limits that ended a while ago."""
        for name, belief in list(self._beliefs.items()):
            if now_ms - belief.changed_ms <= UPDATE_TTL_MS:
                age_ms = now_ms - belief.seen_ms
                yield ReplicaLimitUpdate(
                    name, belief.rate_per_s, age_ms, belief.update_id
                )
            elif belief.rate_per_s is None:
                del self._beliefs[name]

    def apply(
        self, all_news: Iterable[ReplicaLimitUpdate], source: str, now_ms: float
    ) -> Iterator[Note]:
        """Take in what a peer knows."""
        for news in all_news:
            if news.update_id in self._seen:
                continue
            self._seen.add(news.update_id)
            seen_ms = now_ms - news.age_ms
            belief = self._beliefs.get(news.replica)
            if belief is not None and belief.seen_ms >= seen_ms:
                continue
            before = None if belief is None else belief.rate_per_s
            belief = self._beliefs[news.replica] = _Belief(news.rate_per_s, seen_ms)
            belief.changed_ms = now_ms
            belief.update_id = news.update_id
            if news.rate_per_s != before:
                rate_per_s = news.rate_per_s
                yield from self._note_change(
                    news.replica, before, rate_per_s, source, now_ms
                )

    def share_all(self, now_ms: float) -> None:
        """Tell peers of all limits again: one of them may know none."""
        for belief in self._beliefs.values():
            belief.changed_ms = now_ms

    def retain(self, replicas: Iterable[EndpointName]) -> None:
        """Forget the limits of replicas that are gone."""
        for name in self._beliefs.keys() - set(replicas):
            del self._beliefs[name]
            self.change_count += 1

    def _note_change(
        self,
        replica: EndpointName,
        before: float | None,
        rate_per_s: float | None,
        source: str,
        now_ms: float,
    ) -> Iterator[Note]:
        self.change_count += 1
        fields: dict[str, object] = {
            "replica": replica,
            "limit_per_s": rate_per_s,
            "before_per_s": before,
            "source": source or "answer",
        }
        yield from self._changes.note(fields, now_ms)
