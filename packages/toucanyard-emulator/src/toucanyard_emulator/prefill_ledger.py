"""Count the tokens prefilled, recomputed and transferred by all engines."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from toucanyard.prompt_block_index import PromptBlock

REUSE_MS: Final = 10_000.0
"""A block unused for longer can be prefilled again without counting as recomputed."""


class PrefillLedger:
    """Prefill totals, and the last use of each block by any engine."""

    __slots__ = ("_used_ms", "moved_bytes", "prefilled_tokens", "reread_tokens")

    def __init__(self) -> None:
        self.prefilled_tokens = 0
        self.reread_tokens = 0
        self.moved_bytes = 0.0
        self._used_ms: dict[tuple[str, str], float] = {}

    def record_prefill(
        self,
        scope: str,
        blocks: Sequence[PromptBlock],
        cached_tokens: int,
        now_ms: float,
    ) -> None:
        """Record that an engine prefills all but the cached prefix of a prompt."""
        tokens = 0
        for block in blocks:
            key = (scope, block.name)
            tokens += block.tokens
            if tokens > cached_tokens:
                self.prefilled_tokens += block.tokens
                used_ms = self._used_ms.get(key, float("-inf"))
                if now_ms - used_ms <= REUSE_MS:
                    self.reread_tokens += block.tokens
            self._used_ms[key] = now_ms
