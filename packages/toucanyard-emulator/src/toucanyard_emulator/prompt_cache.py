"""Hold blocks of prompts in an engine or a store; those used longest ago yield."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from toucanyard.prompt_block_index import PromptBlock
from toucanyard.relay_events import PromptBlockChange

PromptBlockKey = tuple[str, str]


class PromptCache:
    """Parts that are kept, beside what running calls hold.

    Invariant: blocks that no call needs yield until all fits, so that what doesn't fit
    is what the running calls hold.
    """

    __slots__ = (
        "_blocks",
        "_evictable_tokens",
        "_held_tokens",
        "_holds",
        "changes",
        "size_tokens",
    )

    def __init__(self, size_tokens: int) -> None:
        self.size_tokens = size_tokens
        self.changes: list[tuple[float, PromptBlockChange]] = []
        """What was kept and dropped, with its time, for whoever follows."""
        self._held_tokens = 0
        """Of running calls: their own blocks, and shared ones, each once."""
        self._holds: dict[PromptBlockKey, int] = {}
        self._blocks: OrderedDict[PromptBlockKey, int] = OrderedDict()
        self._evictable_tokens = 0
        """Of the blocks that are kept and that no running call holds."""

    def count_cached_prefix(self, scope: str, blocks: Sequence[PromptBlock]) -> int:
        """Return how many tokens from a prompt's front are kept."""
        tokens = 0
        for block in blocks:
            held = self._blocks.get((scope, block.name))
            if held is None:
                break
            tokens += held
        return tokens

    def touch(self, scope: str, blocks: Sequence[PromptBlock]) -> None:
        """Note that blocks are used now."""
        for block in reversed(blocks):
            if (scope, block.name) in self._blocks:
                self._blocks.move_to_end((scope, block.name))

    def insert(self, scope: str, blocks: Sequence[PromptBlock], now_ms: float) -> None:
        """Keep blocks; the last of a chain yields first."""
        for block in reversed(blocks):
            key = (scope, block.name)
            if key in self._blocks:
                self._blocks.move_to_end(key)
                continue
            self._blocks[key] = block.tokens
            self._evictable_tokens += 0 if key in self._holds else block.tokens
            self.changes.append(
                (now_ms, PromptBlockChange(scope, block.name, block.tokens))
            )
        self._evict(now_ms)

    def has_room(
        self, scope: str, blocks: Sequence[PromptBlock], own_tokens: int
    ) -> bool:
        """Tell whether a call fits beside those that run."""
        needed = own_tokens + sum(
            block.tokens for block in blocks if (scope, block.name) not in self._holds
        )
        return self._held_tokens + needed <= self.size_tokens

    def hold(
        self, scope: str, blocks: Sequence[PromptBlock], own_tokens: int, now_ms: float
    ) -> None:
        """Hold what a running call needs."""
        self._held_tokens += own_tokens
        for block in blocks:
            key = (scope, block.name)
            if key not in self._holds:
                self._held_tokens += block.tokens
                self._evictable_tokens -= self._blocks.get(key, 0)
            self._holds[key] = self._holds.get(key, 0) + 1
        self._evict(now_ms)

    def release(
        self, scope: str, blocks: Sequence[PromptBlock], own_tokens: int
    ) -> None:
        """Free what a call held; its shared blocks stay, and may yield."""
        self._held_tokens -= own_tokens
        for block in blocks:
            key = (scope, block.name)
            self._holds[key] -= 1
            if not self._holds[key]:
                del self._holds[key]
                self._held_tokens -= block.tokens
                self._evictable_tokens += self._blocks.get(key, 0)

    def clear(self, now_ms: float) -> None:
        """Drop all blocks."""
        for scope, name in self._blocks:
            self.changes.append((now_ms, PromptBlockChange(scope, name, 0)))
        self._blocks.clear()
        self._evictable_tokens = 0

    def _evict(self, now_ms: float) -> None:
        excess = self._held_tokens + self._evictable_tokens - self.size_tokens
        if excess <= 0:
            return
        for key in [key for key in self._blocks if key not in self._holds]:
            if excess <= 0:
                return
            tokens = self._blocks.pop(key)
            self._evictable_tokens -= tokens
            excess -= tokens
            self.changes.append((now_ms, PromptBlockChange(*key, 0)))
