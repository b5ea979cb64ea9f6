"""Hold how keys of other nodes ended, so that retries find it after those stopped."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from toucanyard.kept_answers import KeptAnswers
from toucanyard.key_messages import (
    HandedKey,
    KeyStatus,
)
from toucanyard.key_records import (
    KeyName,
)
from toucanyard.options import ClaimLimits

_SHARE_OF_LIMITS: Final = 2
"""Part of a node's limits, as a divisor, that keys of other nodes may take."""


@dataclass(slots=True)
class _Held:
    claim_id: str
    status: KeyStatus
    digest: bytes
    taken_ms: float


class HandedKeys:
    """Ended keys that stopping nodes have handed over.

    Invariants: what is held tells only how a key ended and never leads to a dispatch;
    it is told only of the very claim, or the very issued key, that ended so.
    """

    __slots__ = ("_answers", "_held", "_max_keys", "_window_ms")

    def __init__(self, limits: ClaimLimits) -> None:
        self._answers = KeptAnswers(limits.kept_answers_bytes // _SHARE_OF_LIMITS)
        self._held: dict[KeyName, _Held] = {}
        self._max_keys = limits.max_keys // _SHARE_OF_LIMITS
        self._window_ms = limits.window_ms

    def __len__(self) -> int:
        return len(self._held)

    def find(self, name: KeyName, claim_id: str) -> HandedKey | None:
        """Return how this claim of a key, or this issued key, ended."""
        held = self._held.get(name)
        # A chosen key can be claimed anew after the window; its earlier answer is
        # another request's.
        if held is None or held.claim_id != claim_id:
            return None
        answer = self._answers.find(name)
        return HandedKey(name, claim_id, held.status, held.digest, answer)

    def list_all(self) -> list[HandedKey]:
        """Return all that is held, the latest first."""
        return [
            HandedKey(name, held.claim_id, held.status, held.digest, answer)
            for name, held in reversed(self._held.items())
            for answer in (self._answers.find(name),)
        ]

    def has_room(self, keys: Sequence[HandedKey]) -> bool:
        """Tell whether these keys can be held, some of which may be held already."""
        count = sum(1 for key in keys if key.name not in self._held)
        return len(self._held) + count <= self._max_keys

    def take(self, keys: Sequence[HandedKey], now_ms: float) -> None:
        """Hold keys for one window; what is held already stays as it is."""
        for key in keys:
            if self.find(key.name, key.claim_id) is not None:
                continue
            self._drop(key.name)
            self._held[key.name] = _Held(key.claim_id, key.status, key.digest, now_ms)
            if key.answer is not None:
                self._answers.keep(key.name, key.answer)

    def forget_old(self, now_ms: float) -> None:
        """Forget what was taken a window ago."""
        old = []
        for name, held in self._held.items():
            if now_ms - held.taken_ms < self._window_ms:
                break
            old.append(name)
        for name in old:
            self._drop(name)

    def _drop(self, name: KeyName) -> None:
        self._held.pop(name, None)
        self._answers.drop(name)
