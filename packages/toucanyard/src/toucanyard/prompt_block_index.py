"""Track which replica or store holds which prompt blocks.

A prompt is a chain of named blocks, shared ones first. A block is valid only within its
scope (model, weights version and, for an isolated customer, the customer), so a block
read under other weights or for an isolated customer is never found by others. Replicas
evict the least recently used blocks, and so does the index.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

import msgspec

from toucanyard.names import EndpointName

FILL_SHARE: Final = 0.9
"""Share of a replica's memory that the index counts as usable, since the replica's
fixed-size memory blocks round up."""

PromptBlockKey = tuple[str, str]
"""Scope and name of a prompt block."""


class PromptBlock(msgspec.Struct, frozen=True):
    """One named block of a prompt."""

    name: str
    tokens: int


class _HeldBlock(msgspec.Struct):
    tokens: int
    ready_ms: float


class _HolderContents:
    """Prompt blocks of one holder, the least recently used first."""

    __slots__ = ("entries", "tokens")

    def __init__(self) -> None:
        self.entries: dict[PromptBlockKey, _HeldBlock] = {}
        self.tokens = 0


class PromptBlockIndex:
    """Prompt blocks that each holder is believed to have; owned by one task."""

    __slots__ = ("_contents",)

    def __init__(self) -> None:
        self._contents: dict[EndpointName, _HolderContents] = {}

    def record(
        self,
        replica: EndpointName,
        scope: str,
        blocks: Sequence[PromptBlock],
        ready_ms: float,
        max_tokens: int,
    ) -> None:
        """Record that a replica holds blocks, or will from `ready_ms` on."""
        contents = self._contents.setdefault(replica, _HolderContents())
        # The last block of a chain is evicted first, so it is inserted first.
        for block in reversed(blocks):
            key = (scope, block.name)
            held = contents.entries.pop(key, None)
            if held is None:
                held = _HeldBlock(block.tokens, ready_ms)
                contents.tokens += block.tokens
            else:
                held.ready_ms = min(held.ready_ms, ready_ms)
                contents.tokens += block.tokens - held.tokens
                held.tokens = block.tokens
            contents.entries[key] = held
        self._trim(contents, int(max_tokens * FILL_SHARE))

    def record_stored(
        self, holder: EndpointName, scope: str, block: str, tokens: int, now_ms: float
    ) -> None:
        """Record the tokens that a holder reports for a block, 0 if it holds none."""
        if tokens <= 0:
            self.record_dropped(holder, scope, block)
            return
        contents = self._contents.setdefault(holder, _HolderContents())
        held = contents.entries.pop((scope, block), None)
        contents.tokens += tokens - (0 if held is None else held.tokens)
        contents.entries[(scope, block)] = _HeldBlock(tokens, now_ms)

    def record_dropped(self, replica: EndpointName, scope: str, block: str) -> None:
        """Record that a replica has evicted a block."""
        contents = self._contents.get(replica)
        held = None if contents is None else contents.entries.pop((scope, block), None)
        if contents is not None and held is not None:
            contents.tokens -= held.tokens

    def record_unread(
        self,
        replica: EndpointName,
        scope: str,
        blocks: Sequence[PromptBlock],
        now_ms: float,
    ) -> None:
        """Record that a replica did not read blocks that it was about to read."""
        for block in blocks:
            contents = self._contents.get(replica)
            held = (
                None if contents is None else contents.entries.get((scope, block.name))
            )
            if held is not None and held.ready_ms > now_ms:
                self.record_dropped(replica, scope, block.name)

    def forget(self, replica: EndpointName) -> None:
        """Forget all blocks of a replica that is gone or has loaded weights."""
        self._contents.pop(replica, None)

    def count_leading(
        self,
        replica: EndpointName,
        scope: str,
        blocks: Sequence[PromptBlock],
        ready_by_ms: float,
    ) -> int:
        """Return how many leading tokens of a prompt a replica holds at a time."""
        contents = self._contents.get(replica)
        if contents is None:
            return 0
        tokens = 0
        for block in blocks:
            held = contents.entries.get((scope, block.name))
            if held is None or held.ready_ms > ready_by_ms:
                break
            tokens += min(block.tokens, held.tokens)
            if held.tokens < block.tokens:
                break
        return tokens

    def is_being_read(
        self, replica: EndpointName, scope: str, block: PromptBlock, now_ms: float
    ) -> bool:
        """Return whether a replica is reading a block now."""
        contents = self._contents.get(replica)
        held = None if contents is None else contents.entries.get((scope, block.name))
        return held is not None and held.ready_ms > now_ms

    def _trim(self, contents: _HolderContents, max_tokens: int) -> None:
        while contents.tokens > max_tokens and contents.entries:
            key = next(iter(contents.entries))
            contents.tokens -= contents.entries.pop(key).tokens
