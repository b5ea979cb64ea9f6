"""Cache prompt blocks in an engine or a prompt store, with LRU eviction."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from toucanyard.prompt_block_index import PromptBlock
from toucanyard.relay_events import PromptBlockChange

PromptBlockKey = tuple[str, str]


class PromptCache:
    """The cached blocks and the tokens held by running calls.

    Invariant: blocks that no running call holds are evicted until everything fits, so
    the size is exceeded only by what running calls hold.
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
        """Insertions and evictions with their times, read by followers of the cache."""
        self._held_tokens = 0
        """Tokens held by running calls; blocks that calls share are counted once."""
        self._holds: dict[PromptBlockKey, int] = {}
        self._blocks: OrderedDict[PromptBlockKey, int] = OrderedDict()
        self._evictable_tokens = 0
        """Tokens of the cached blocks that no running call holds."""

    def count_cached_prefix(self, scope: str, blocks: Sequence[PromptBlock]) -> int:
        """Return the number of tokens in the cached prefix of a prompt."""
        tokens = 0
        for block in blocks:
            held = self._blocks.get((scope, block.name))
            if held is None:
                break
            tokens += held
        return tokens

    def touch(self, scope: str, blocks: Sequence[PromptBlock]) -> None:
        """Mark blocks as most recently used."""
        for block in reversed(blocks):
            if (scope, block.name) in self._blocks:
                self._blocks.move_to_end((scope, block.name))

    def insert(self, scope: str, blocks: Sequence[PromptBlock], now_ms: float) -> None:
        """Insert blocks; the last block of a chain is evicted first."""
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
        """Return whether a call fits in addition to the running calls."""
        needed = own_tokens + sum(
            block.tokens for block in blocks if (scope, block.name) not in self._holds
        )
        return self._held_tokens + needed <= self.size_tokens

    def hold(
        self, scope: str, blocks: Sequence[PromptBlock], own_tokens: int, now_ms: float
    ) -> None:
        """Reserve the tokens and blocks that a running call needs."""
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
        """Release what a call held; its shared blocks stay cached but evictable."""
        self._held_tokens -= own_tokens
        for block in blocks:
            key = (scope, block.name)
            self._holds[key] -= 1
            if not self._holds[key]:
                del self._holds[key]
                self._held_tokens -= block.tokens
                self._evictable_tokens += self._blocks.get(key, 0)

    def clear(self, now_ms: float) -> None:
        """Remove all blocks."""
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
