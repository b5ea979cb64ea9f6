"""Gather which parts replicas were sent to read, to tell other nodes once of each."""

from __future__ import annotations

from typing import Final

from toucanyard.link_messages import PromptBlockRead
from toucanyard.names import EndpointName

MAX_PENDING_REPORTS: Final = 400
"""Parts that are told at once; beyond it those gathered first are left out. At 25 to 60
bytes each, more would fill the links of a large fleet in a burst."""


URGENT_TOKENS: Final = 1_000
"""Least tokens of a part that is worth a status at once when its reading begins: until
other nodes know, they send the same part to be read elsewhere."""


class PromptBlockReports:
    """Parts that have not been told yet."""

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
        """Note that a replica holds a part, or will from `ready_ms` on.

        `is_new` tells that nobody held it before.
        """
        self._blocks[(replica, scope, block)] = (tokens, ready_ms)
        self.is_urgent = self.is_urgent or (is_new and tokens >= URGENT_TOKENS)
        if len(self._blocks) > MAX_PENDING_REPORTS:
            del self._blocks[next(iter(self._blocks))]

    def take(self, min_tokens: int, now_ms: float) -> tuple[PromptBlockRead, ...]:
        """Return the parts of some size, and forget all of them."""
        blocks = tuple(
            PromptBlockRead(replica, scope, block, tokens, max(ready_ms - now_ms, 0.0))
            for (replica, scope, block), (tokens, ready_ms) in self._blocks.items()
            if tokens >= min_tokens
        )
        self._blocks.clear()
        self.is_urgent = False
        return blocks
