"""Exchange what nodes know of replicas before the store says it.

A replica that is to load weights turns calls away, and one that has loaded them is
wanted at once; the store shows both about half a second late.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator, Set
from typing import Final

import msgspec

from toucanyard.link_messages import LifeNews, ReplicaNews
from toucanyard.names import EndpointName
from toucanyard.prompt_block_index import PromptBlockIndex
from toucanyard.replicas import KnownReplica, ReplicaDirectory
from toucanyard.seen_updates import SeenUpdates, new_update_id

UPDATE_TTL_MS: Final = 5_000.0
"""How long weights that a replica has taken are sent to peers; by then the store says
the same."""

SAME_PAUSE_MS: Final = 300.0
"""A pause that ends this much later is another one; holders renew theirs for longer."""
MAX_SEEN: Final = 1_000
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
        self, directory: ReplicaDirectory, book: PromptBlockIndex, rng: random.Random
    ) -> None:
        self._directory = directory
        self._book = book
        self._rng = rng
        self._pauses: dict[EndpointName, _Pause] = {}
        self._seen = SeenUpdates(MAX_SEEN)
        self._changing: set[EndpointName] = set()
        self._changed_ms: dict[EndpointName, float] = {}

    def note(self, name: EndpointName, now_ms: float) -> None:
        """Note that this node has seen what peers should know of a replica."""
        self._changed_ms[name] = now_ms

    def note_changing(self, names: Set[EndpointName], now_ms: float) -> bool:
        """Take over which replicas this node changes; return whether that is news."""
        if names == self._changing:
            return False
        for name in names | self._changing:
            self.note(name, now_ms)
        self._changing = set(names)
        return True

    def list_news(self, now_ms: float) -> Iterator[ReplicaNews]:
        """Return what to tell peers, and forget what is old."""
        for name, changed_ms in list(self._changed_ms.items()):
            known = self._directory.find(name)
            is_old = now_ms - changed_ms > UPDATE_TTL_MS and name not in self._changing
            if known is None or is_old:
                del self._changed_ms[name]
                self._pauses.pop(name, None)
                continue
            yield self._build(known, now_ms)

    def _build(self, known: KnownReplica, now_ms: float) -> ReplicaNews:
        name, weights = known.replica.name, tuple(known.weights.items())
        until_ms = known.loading_until_ms
        if until_ms <= now_ms:
            return ReplicaNews(name, 0.0, weights)
        pause = self._pauses.get(name)
        if pause is None or pause.until_ms != until_ms:
            # Begun or renewed by this node since it last told or heard of it.
            pause = self._pauses[name] = _Pause(new_update_id(self._rng), until_ms)
            self._seen.add(pause.pause_id)
        return ReplicaNews(name, until_ms - now_ms, weights, pause.pause_id)

    def list_lives(self, now_ms: float) -> Iterable[LifeNews]:
        """Return which replicas have started again lately."""
        return self._directory.list_restarted(now_ms)

    def apply_lives(self, all_news: Iterable[LifeNews], now_ms: float) -> None:
        """Take in which replicas have started again, as a peer knows them."""
        for news in all_news:
            self._directory.note_life(news.listed_as, news.born_ms, now_ms)

    def apply(self, all_news: Iterable[ReplicaNews], now_ms: float) -> bool:
        """Take in what a peer knows; return whether others should be told of it."""
        is_news = False
        for news in all_news:
            known = self._directory.find(news.replica)
            if known is not None and self._apply_one(known, news, now_ms):
                self._changed_ms[news.replica] = now_ms
                is_news = True
        return is_news

    def _apply_one(self, known: KnownReplica, news: ReplicaNews, now_ms: float) -> bool:
        is_news = False
        is_old = any(
            version < known.weights.get(model, 0) for model, version in news.weights
        )
        until_ms = now_ms + news.loading_left_ms
        # A peer may not know yet, so what it doesn't say doesn't end a pause, and what
        # it says from before new weights were in place doesn't begin one. Passed on
        # from node to node a pause must not grow by the time on the way.
        is_longer = until_ms > known.loading_until_ms + SAME_PAUSE_MS
        is_new = news.pause_id not in self._seen
        if news.loading_left_ms > 0 and is_longer and is_new and not is_old:
            known.loading_until_ms = until_ms
            self._pauses[news.replica] = _Pause(news.pause_id, until_ms)
            self._seen.add(news.pause_id)
            is_news = True
        for model, version in news.weights:
            if known.note_weights(model, version):
                self._book.forget(news.replica)
                is_news = True
        return is_news
