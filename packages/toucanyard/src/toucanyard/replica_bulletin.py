"""Tell peers what this node knows of replicas before the store says it.

A replica that is to load weights turns calls away, and one that has loaded them is
wanted at once; the store tells both about half a second late.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Set
from typing import Final

from toucanyard.link_messages import ReplicaNews
from toucanyard.names import EndpointName
from toucanyard.part_book import PartBook
from toucanyard.replicas import ReplicaDirectory

NEWS_KEPT_MS: Final = 5_000.0
"""How long weights that a replica has taken are told to peers; by then the store says
the same."""


class ReplicaBulletin:
    """News of replicas, from this node and from its peers."""

    __slots__ = ("_book", "_changed_ms", "_changing", "_directory")

    def __init__(self, directory: ReplicaDirectory, book: PartBook) -> None:
        self._directory = directory
        self._book = book
        self._changing: set[EndpointName] = set()
        self._changed_ms: dict[EndpointName, float] = {}

    def note(self, name: EndpointName, now_ms: float) -> None:
        """Note that something has changed at a replica that peers should know."""
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
            is_old = now_ms - changed_ms > NEWS_KEPT_MS and name not in self._changing
            if known is None or is_old:
                del self._changed_ms[name]
                continue
            left_ms = max(known.loading_until_ms - now_ms, 0.0)
            yield ReplicaNews(name, left_ms, tuple(known.weights.items()))

    def apply(self, all_news: Iterable[ReplicaNews], now_ms: float) -> None:
        """Take in what a peer knows."""
        for news in all_news:
            known = self._directory.find(news.replica)
            if known is None:
                continue
            if news.loading_left_ms > 0:
                # A peer may not know yet, so what it doesn't say doesn't end a pause.
                until_ms = now_ms + news.loading_left_ms
                known.loading_until_ms = max(known.loading_until_ms, until_ms)
            for model, version in news.weights:
                if known.note_weights(model, version):
                    self._book.forget(news.replica)
