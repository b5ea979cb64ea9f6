"""Hold back the first configuration that a starting node reads from a restored store.

The copy may name a configuration that peers know to be replaced. They tell a starting
node within one status interval, so it waits for the first of them.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

import msgspec

from toucanyard.keyed_view import Change

MAX_HOLD_MS: Final = 500.0
"""Longest wait; without a linked peer by then, nobody is known to know better."""


class HeldChanges(msgspec.Struct, frozen=True):
    """Changes that a node has read but not applied."""

    changes: tuple[Change, ...]
    known_for_ms: float


class FirstConfiguration:
    """The configuration that a starting node has read and not applied yet.

    Invariant: only the changes of the first read are ever held, and once.
    """

    __slots__ = ("_held", "_until_ms")

    def __init__(self) -> None:
        self._held: HeldChanges | None = None
        self._until_ms = float("-inf")

    def is_held(self) -> bool:
        """Return whether a configuration waits for the word of a peer."""
        return self._held is not None

    def hold(
        self, changes: Sequence[Change], known_for_ms: float, now_ms: float
    ) -> None:
        """Hold the changes of the first read."""
        self._held = HeldChanges(tuple(changes), known_for_ms)
        self._until_ms = now_ms + MAX_HOLD_MS

    def take_due(self, now_ms: float) -> HeldChanges | None:
        """Return the changes if no peer has been heard in time."""
        return self.take() if now_ms >= self._until_ms else None

    def take(self) -> HeldChanges | None:
        """Return the held changes, if there are any, to apply them now."""
        held, self._held = self._held, None
        return held
