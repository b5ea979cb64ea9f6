"""Hold parts of prompts in an engine or a store; those used longest ago yield."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from toucanyard.prompt_block_index import PromptBlock
from toucanyard.relay_events import PromptBlockChange

PromptBlockKey = tuple[str, str]


class PromptMemory:
    """Parts that are kept, beside what running calls hold.

    Invariant: parts that no call needs yield until all fits, so that what doesn't fit
    is what the running calls hold.
    """

    __slots__ = ("_held_tokens", "_parts", "_pins", "_tokens", "changes", "size_tokens")

    def __init__(self, size_tokens: int) -> None:
        self.size_tokens = size_tokens
        self.changes: list[tuple[float, PromptBlockChange]] = []
        """What was kept and dropped, with its time, for whoever follows."""
        self._held_tokens = 0
        """Of running calls: their own parts, and shared ones, each once."""
        self._pins: dict[PromptBlockKey, int] = {}
        self._parts: OrderedDict[PromptBlockKey, int] = OrderedDict()
        self._tokens = 0
        """Of the parts that are kept and that no running call holds."""

    def count_leading(self, scope: str, parts: Sequence[PromptBlock]) -> int:
        """Return how many tokens from a prompt's front are kept."""
        tokens = 0
        for part in parts:
            held = self._parts.get((scope, part.name))
            if held is None:
                break
            tokens += held
        return tokens

    def touch(self, scope: str, parts: Sequence[PromptBlock]) -> None:
        """Note that parts are used now."""
        for part in reversed(parts):
            if (scope, part.name) in self._parts:
                self._parts.move_to_end((scope, part.name))

    def keep(self, scope: str, parts: Sequence[PromptBlock], now_ms: float) -> None:
        """Keep parts; the last of a chain yields first."""
        for part in reversed(parts):
            key = (scope, part.name)
            if key in self._parts:
                self._parts.move_to_end(key)
                continue
            self._parts[key] = part.tokens
            self._tokens += 0 if key in self._pins else part.tokens
            self.changes.append(
                (now_ms, PromptBlockChange(scope, part.name, part.tokens))
            )
        self._make_room(now_ms)

    def has_room(
        self, scope: str, parts: Sequence[PromptBlock], own_tokens: int
    ) -> bool:
        """Tell whether a call fits beside those that run."""
        needed = own_tokens + sum(
            part.tokens for part in parts if (scope, part.name) not in self._pins
        )
        return self._held_tokens + needed <= self.size_tokens

    def hold(
        self, scope: str, parts: Sequence[PromptBlock], own_tokens: int, now_ms: float
    ) -> None:
        """Hold what a running call needs."""
        self._held_tokens += own_tokens
        for part in parts:
            key = (scope, part.name)
            if key not in self._pins:
                self._held_tokens += part.tokens
                self._tokens -= self._parts.get(key, 0)
            self._pins[key] = self._pins.get(key, 0) + 1
        self._make_room(now_ms)

    def release(
        self, scope: str, parts: Sequence[PromptBlock], own_tokens: int
    ) -> None:
        """Free what a call held; its shared parts stay, and may yield."""
        self._held_tokens -= own_tokens
        for part in parts:
            key = (scope, part.name)
            self._pins[key] -= 1
            if not self._pins[key]:
                del self._pins[key]
                self._held_tokens -= part.tokens
                self._tokens += self._parts.get(key, 0)

    def clear(self, now_ms: float) -> None:
        """Drop all parts."""
        for scope, name in self._parts:
            self.changes.append((now_ms, PromptBlockChange(scope, name, 0)))
        self._parts.clear()
        self._tokens = 0

    def _make_room(self, now_ms: float) -> None:
        excess = self._held_tokens + self._tokens - self.size_tokens
        if excess <= 0:
            return
        for key in [key for key in self._parts if key not in self._pins]:
            if excess <= 0:
                return
            tokens = self._parts.pop(key)
            self._tokens -= tokens
            excess -= tokens
            self.changes.append((now_ms, PromptBlockChange(*key, 0)))
