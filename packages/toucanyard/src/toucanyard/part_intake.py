"""Bring what holders of prompt parts and peers say into the book of parts."""

from __future__ import annotations

from collections.abc import Iterable

from toucanyard.known_facts import KnownFacts
from toucanyard.link_messages import ReadPart
from toucanyard.names import EndpointName
from toucanyard.part_book import Part, PartBook
from toucanyard.part_sources import PartSources, name_store
from toucanyard.relay_events import HolderLost, PartsChanged
from toucanyard.replicas import ReplicaDirectory


class PartIntake:
    """Updates of one node's book of parts.

    Invariant: nothing that an ended life of a replica kept enters the book.
    """

    __slots__ = ("_book", "_directory", "_facts", "_sources")

    def __init__(
        self,
        book: PartBook,
        sources: PartSources,
        directory: ReplicaDirectory,
        facts: KnownFacts,
    ) -> None:
        self._book = book
        self._sources = sources
        self._directory = directory
        self._facts = facts

    def on_change(self, event: PartsChanged | HolderLost, now_ms: float) -> None:
        """Apply what a holder keeps now, or that it tells no more."""
        if isinstance(event, HolderLost):
            self._sources.note_lost(event.holder)
            return
        if self._directory.is_superseded(event.holder):
            # Told by the life before the present one; the replica has lost it all.
            return
        is_new = self._sources.note_heard(event.holder, now_ms, event.epoch)
        if event.is_reset or is_new:
            self._book.forget(event.holder)
        for change in event.changes:
            self._book.note_stored(
                event.holder, change.scope, change.part, change.tokens, now_ms
            )

    def apply_read(self, parts: Iterable[ReadPart], now_ms: float) -> None:
        """Apply what peers have replicas read."""
        for each in parts:
            memory_tokens = self._find_memory(each.replica)
            if memory_tokens:
                self._book.note(
                    each.replica,
                    each.scope,
                    (Part(each.part, each.tokens),),
                    now_ms + each.ready_in_ms,
                    memory_tokens,
                )

    def _find_memory(self, name: EndpointName) -> int:
        index = self._facts.index
        known = self._directory.find(name)
        if known is None:
            stores = index.table.stores
            return sum(e.memory_tokens for e in stores if name_store(e) == name)
        service = index.find_service(known.replica.service)
        if service is None or service.engine is None:
            return 0
        return service.engine.memory_tokens
