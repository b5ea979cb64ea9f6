"""Count what all engines read, move and read again."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from toucanyard.prompt_block_index import PromptBlock

REUSE_MS: Final = 10_000.0
"""A block that was not used for longer may be read again without being counted."""


class PrefillLedger:
    """The blocks that any engine has read, and when each was used last."""

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
        """Note that an engine that keeps so many tokens of a front reads the rest."""
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
