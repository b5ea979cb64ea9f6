"""Exchange what nodes know of replicas before the store says it.

A replica that is to load weights turns calls away, and one that has loaded them is
wanted at once; the store shows both about half a second late.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator, Set
from typing import Final

import msgspec

from toucanyard.link_messages import ReplicaRestart, ReplicaUpdate
from toucanyard.names import EndpointName
from toucanyard.part_book import PartBook
from toucanyard.replicas import KnownReplica, ReplicaDirectory
from toucanyard.seen_updates import SeenUpdates, new_update_id

UPDATE_TTL_MS: Final = 5_000.0
"""How long weights that a replica has taken are sent to peers; by then the store says
the same."""

PAUSE_TOLERANCE_MS: Final = 300.0
"""A pause that ends this much later is another one; holders renew theirs for longer."""
MAX_SEEN_UPDATES: Final = 1_000
"""Updates that are remembered: some seconds of a roll-out among 70 replicas."""


class _Pause(msgspec.Struct, frozen=True):
    pause_id: int
    until_ms: float
    """In this node's time, when it was told or heard of."""


class ReplicaGossip:
    """News of replicas, from this node and from its peers."""

    __slots__ = (
        "_book",
        "_changed_ms",
        "_changing",
        "_directory",
        "_pauses",
        "_rng",
        "_seen",
    )

    def __init__(
        self, directory: ReplicaDirectory, book: PartBook, rng: random.Random
    ) -> None:
        self._directory = directory
        self._book = book
        self._rng = rng
        self._pauses: dict[EndpointName, _Pause] = {}
        self._seen = SeenUpdates(MAX_SEEN_UPDATES)
        self._changing: set[EndpointName] = set()
        self._changed_ms: dict[EndpointName, float] = {}

    def record_change(self, name: EndpointName, now_ms: float) -> None:
        """Note that this node has seen what peers should know of a replica."""
        self._changed_ms[name] = now_ms

    def record_changing(self, names: Set[EndpointName], now_ms: float) -> bool:
        """Take over which replicas this node changes; return whether that is news."""
        if names == self._changing:
            return False
        for name in names | self._changing:
            self.record_change(name, now_ms)
        self._changing = set(names)
        return True

    def list_updates(self, now_ms: float) -> Iterator[ReplicaUpdate]:
        """Return what to tell peers, and forget what is old."""
        for name, changed_ms in list(self._changed_ms.items()):
            known = self._directory.find(name)
            is_old = now_ms - changed_ms > UPDATE_TTL_MS and name not in self._changing
            if known is None or is_old:
                del self._changed_ms[name]
                self._pauses.pop(name, None)
                continue
            yield self._build(known, now_ms)

    def _build(self, known: KnownReplica, now_ms: float) -> ReplicaUpdate:
        name, weights = known.replica.name, tuple(known.weights.items())
        until_ms = known.loading_until_ms
        if until_ms <= now_ms:
            return ReplicaUpdate(name, 0.0, weights)
        pause = self._pauses.get(name)
        if pause is None or pause.until_ms != until_ms:
            # Begun or renewed by this node since it last told or heard of it.
            pause = self._pauses[name] = _Pause(new_update_id(self._rng), until_ms)
            self._seen.add(pause.pause_id)
        return ReplicaUpdate(name, until_ms - now_ms, weights, pause.pause_id)

    def list_restarts(self, now_ms: float) -> Iterable[ReplicaRestart]:
        """Return which replicas have started again lately."""
        return self._directory.list_restarted(now_ms)

    def apply_restarts(self, received: Iterable[ReplicaRestart], now_ms: float) -> None:
        """Take in which replicas have started again, as a peer knows them."""
        for updates in received:
            self._directory.record_incarnation(
                updates.listed_as, updates.born_ms, now_ms
            )

    def apply(self, received: Iterable[ReplicaUpdate], now_ms: float) -> bool:
        """Take in what a peer knows; return whether others should be told of it."""
        has_changed = False
        for updates in received:
            known = self._directory.find(updates.replica)
            if known is not None and self._apply_one(known, updates, now_ms):
                self._changed_ms[updates.replica] = now_ms
                has_changed = True
        return has_changed

    def _apply_one(
        self, known: KnownReplica, updates: ReplicaUpdate, now_ms: float
    ) -> bool:
        has_changed = False
        is_old = any(
            version < known.weights.get(model, 0) for model, version in updates.weights
        )
        until_ms = now_ms + updates.loading_left_ms
        # A peer may not know yet, so what it doesn't say doesn't end a pause, and what
        # it says from before new weights were in place doesn't begin one. Passed on
        # from node to node a pause must not grow by the time on the way.
        is_longer = until_ms > known.loading_until_ms + PAUSE_TOLERANCE_MS
        is_new = updates.pause_id not in self._seen
        if updates.loading_left_ms > 0 and is_longer and is_new and not is_old:
            known.loading_until_ms = until_ms
            self._pauses[updates.replica] = _Pause(updates.pause_id, until_ms)
            self._seen.add(updates.pause_id)
            has_changed = True
        for model, version in updates.weights:
            if known.record_weights(model, version):
                self._book.forget(updates.replica)
                has_changed = True
        return has_changed
