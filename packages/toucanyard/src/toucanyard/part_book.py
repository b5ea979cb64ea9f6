"""Know which replica holds which parts of prompts.

A prompt is a chain of named parts, shared ones first. A part counts only within its
scope (model, weights version and, behind a wall, customer), so what was read under
other weights or for another customer is never found. Replicas drop the parts that were
used longest ago, and so does the book.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

import msgspec

from toucanyard.names import EndpointName

FILL_SHARE: Final = 0.9
"""Share of a replica's memory that the book takes to be kept; its blocks round up."""

PartKey = tuple[str, str]
"""Scope and name of a part."""


class Part(msgspec.Struct, frozen=True):
    """One part of a prompt."""

    name: str
    tokens: int


class _Kept(msgspec.Struct):
    tokens: int
    ready_ms: float


class _Shelf:
    """The parts of one replica, the one used longest ago first."""

    __slots__ = ("kept", "tokens")

    def __init__(self) -> None:
        self.kept: dict[PartKey, _Kept] = {}
        self.tokens = 0


class PartBook:
    """What every replica is believed to hold; owned by one task."""

    __slots__ = ("_shelves",)

    def __init__(self) -> None:
        self._shelves: dict[EndpointName, _Shelf] = {}

    def note(
        self,
        replica: EndpointName,
        scope: str,
        parts: Sequence[Part],
        ready_ms: float,
        max_tokens: int,
    ) -> None:
        """Note that a replica holds parts, or will from `ready_ms` on."""
        shelf = self._shelves.setdefault(replica, _Shelf())
        # The last part of a chain is dropped first, so it is noted first.
        for part in reversed(parts):
            key = (scope, part.name)
            held = shelf.kept.pop(key, None)
            if held is None:
                held = _Kept(part.tokens, ready_ms)
                shelf.tokens += part.tokens
            else:
                held.ready_ms = min(held.ready_ms, ready_ms)
                shelf.tokens += part.tokens - held.tokens
                held.tokens = part.tokens
            shelf.kept[key] = held
        self._trim(shelf, int(max_tokens * FILL_SHARE))

    def note_stored(
        self, holder: EndpointName, scope: str, part: str, tokens: int, now_ms: float
    ) -> None:
        """Note what a holder says that it keeps of a part, 0 tokens for nothing."""
        if tokens <= 0:
            self.note_dropped(holder, scope, part)
            return
        shelf = self._shelves.setdefault(holder, _Shelf())
        held = shelf.kept.pop((scope, part), None)
        shelf.tokens += tokens - (0 if held is None else held.tokens)
        shelf.kept[(scope, part)] = _Kept(tokens, now_ms)

    def note_dropped(self, replica: EndpointName, scope: str, part: str) -> None:
        """Note that a replica has dropped a part."""
        shelf = self._shelves.get(replica)
        held = None if shelf is None else shelf.kept.pop((scope, part), None)
        if shelf is not None and held is not None:
            shelf.tokens -= held.tokens

    def note_unread(
        self, replica: EndpointName, scope: str, parts: Sequence[Part], now_ms: float
    ) -> None:
        """Note that parts that a replica was about to read were not read there."""
        for part in parts:
            shelf = self._shelves.get(replica)
            held = None if shelf is None else shelf.kept.get((scope, part.name))
            if held is not None and held.ready_ms > now_ms:
                self.note_dropped(replica, scope, part.name)

    def forget(self, replica: EndpointName) -> None:
        """Drop all that is known of a replica: it is gone, or has loaded weights."""
        self._shelves.pop(replica, None)

    def count_leading(
        self,
        replica: EndpointName,
        scope: str,
        parts: Sequence[Part],
        ready_by_ms: float,
    ) -> int:
        """Return how many tokens from a prompt's front a replica holds by a time."""
        shelf = self._shelves.get(replica)
        if shelf is None:
            return 0
        tokens = 0
        for part in parts:
            held = shelf.kept.get((scope, part.name))
            if held is None or held.ready_ms > ready_by_ms:
                break
            tokens += min(part.tokens, held.tokens)
            if held.tokens < part.tokens:
                break
        return tokens

    def is_being_read(
        self, replica: EndpointName, scope: str, part: Part, now_ms: float
    ) -> bool:
        """Tell whether a replica is reading a part now."""
        shelf = self._shelves.get(replica)
        held = None if shelf is None else shelf.kept.get((scope, part.name))
        return held is not None and held.ready_ms > now_ms

    def _trim(self, shelf: _Shelf, max_tokens: int) -> None:
        while shelf.tokens > max_tokens and shelf.kept:
            key = next(iter(shelf.kept))
            shelf.tokens -= shelf.kept.pop(key).tokens
