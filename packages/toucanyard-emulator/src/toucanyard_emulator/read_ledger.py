"""Count what all engines read, move and read again."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from toucanyard.prompt_block_index import PromptBlock

REUSE_MS: Final = 10_000.0
"""A part that was not used for longer may be read again without being counted."""


class ReadLedger:
    """The parts that any engine has read, and when each was used last."""

    __slots__ = ("_used_ms", "moved_bytes", "read_tokens", "reread_tokens")

    def __init__(self) -> None:
        self.read_tokens = 0
        self.reread_tokens = 0
        self.moved_bytes = 0.0
        self._used_ms: dict[tuple[str, str], float] = {}

    def note_read(
        self, scope: str, parts: Sequence[PromptBlock], kept_tokens: int, now_ms: float
    ) -> None:
        """Note that an engine that keeps so many tokens of a front reads the rest."""
        tokens = 0
        for part in parts:
            key = (scope, part.name)
            tokens += part.tokens
            if tokens > kept_tokens:
                self.read_tokens += part.tokens
                used_ms = self._used_ms.get(key, float("-inf"))
                if now_ms - used_ms <= REUSE_MS:
                    self.reread_tokens += part.tokens
            self._used_ms[key] = now_ms
