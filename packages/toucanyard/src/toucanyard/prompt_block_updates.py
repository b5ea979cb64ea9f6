"""Apply reports of holders and peers to the index of prompt blocks."""

from __future__ import annotations

from collections.abc import Iterable

from toucanyard.known_facts import KnownFacts
from toucanyard.link_messages import PromptBlockRead
from toucanyard.names import EndpointName
from toucanyard.prompt_block_index import PromptBlock, PromptBlockIndex
from toucanyard.prompt_block_sources import PromptBlockSources, compute_store_name
from toucanyard.relay_events import HolderLost, PromptBlocksChanged
from toucanyard.replicas import ReplicaDirectory


class PromptBlockUpdates:
    """Applies updates to one node's index of prompt blocks.

    Invariant: blocks held by an ended incarnation of a replica never enter the index.
    """

    __slots__ = ("_block_index", "_directory", "_facts", "_sources")

    def __init__(
        self,
        block_index: PromptBlockIndex,
        sources: PromptBlockSources,
        directory: ReplicaDirectory,
        facts: KnownFacts,
    ) -> None:
        self._block_index = block_index
        self._sources = sources
        self._directory = directory
        self._facts = facts

    def on_change(self, event: PromptBlocksChanged | HolderLost, now_ms: float) -> None:
        """Apply a holder's changes, or the end of its reports."""
        if isinstance(event, HolderLost):
            self._sources.record_lost(event.holder)
            return
        if self._directory.is_superseded(event.holder):
            # Sent by the previous incarnation of the replica, whose blocks are all
            # lost.
            return
        is_new = self._sources.record_answer(event.holder, now_ms, event.epoch)
        if event.is_reset or is_new:
            self._block_index.forget(event.holder)
        for change in event.changes:
            self._block_index.record_stored(
                event.holder, change.scope, change.part, change.tokens, now_ms
            )

    def apply_read(self, blocks: Iterable[PromptBlockRead], now_ms: float) -> None:
        """Apply the blocks that peers have sent replicas to read."""
        for each in blocks:
            memory_tokens = self._find_memory(each.replica)
            if memory_tokens:
                self._block_index.record(
                    each.replica,
                    each.scope,
                    (PromptBlock(each.part, each.tokens),),
                    now_ms + each.ready_in_ms,
                    memory_tokens,
                )

    def _find_memory(self, name: EndpointName) -> int:
        index = self._facts.index
        known = self._directory.find(name)
        if known is None:
            stores = index.table.stores
            return sum(e.memory_tokens for e in stores if compute_store_name(e) == name)
        service = index.find_service(known.replica.service)
        if service is None or service.engine is None:
            return 0
        return service.engine.memory_tokens
