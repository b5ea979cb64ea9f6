"""Collect the blocks that replicas were sent to read, to report each to peers once."""

from __future__ import annotations

from typing import Final

from toucanyard.link_messages import PromptBlockRead
from toucanyard.names import EndpointName

MAX_PENDING_REPORTS: Final = 400
"""Maximum number of blocks per report; beyond it the oldest are dropped. At 25 to 60
bytes each, more would saturate the links of a large fleet in a burst."""


URGENT_TOKENS: Final = 1_000
"""Minimum tokens of a block for sending a status as soon as its reading starts: until
other nodes know of it, they have the same block read elsewhere."""


class PromptBlockReports:
    """Blocks that have not been reported yet."""

    __slots__ = ("_blocks", "is_urgent")

    def __init__(self) -> None:
        self.is_urgent = False
        self._blocks: dict[tuple[EndpointName, str, str], tuple[int, float]] = {}

    def record_read(
        self,
        replica: EndpointName,
        scope: str,
        block: str,
        tokens: int,
        ready_ms: float,
        *,
        is_new: bool = False,
    ) -> None:
        """Record that a replica holds a block, or will from `ready_ms` on.

        `is_new` means that it had no holder before.
        """
        self._blocks[(replica, scope, block)] = (tokens, ready_ms)
        self.is_urgent = self.is_urgent or (is_new and tokens >= URGENT_TOKENS)
        if len(self._blocks) > MAX_PENDING_REPORTS:
            del self._blocks[next(iter(self._blocks))]

    def take(self, min_tokens: int, now_ms: float) -> tuple[PromptBlockRead, ...]:
        """Return the blocks of at least `min_tokens`, and clear all."""
        blocks = tuple(
            PromptBlockRead(replica, scope, block, tokens, max(ready_ms - now_ms, 0.0))
            for (replica, scope, block), (tokens, ready_ms) in self._blocks.items()
            if tokens >= min_tokens
        )
        self._blocks.clear()
        self.is_urgent = False
        return blocks
