"""Hold how keys of other nodes ended, so that retries find it after those stopped."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from toucanyard.answer_cache import AnswerCache
from toucanyard.key_messages import (
    KeyStatus,
    TransferredKey,
)
from toucanyard.key_records import (
    KeyName,
)
from toucanyard.options import ClaimLimits

_LIMIT_DIVISOR: Final = 2
"""Part of a node's limits, as a divisor, that keys of other nodes may take."""


@dataclass(slots=True)
class _Entry:
    claim_id: str
    status: KeyStatus
    digest: bytes
    received_ms: float


class TransferredKeys:
    """Ended keys that stopping nodes have handed over.

    Invariants: what is held tells only how a key ended and never leads to a dispatch;
    it is told only of the very claim, or the very issued key, that ended so.
    """

    __slots__ = ("_answers", "_entries", "_max_keys", "_window_ms")

    def __init__(self, limits: ClaimLimits) -> None:
        self._answers = AnswerCache(limits.kept_answers_bytes // _LIMIT_DIVISOR)
        self._entries: dict[KeyName, _Entry] = {}
        self._max_keys = limits.max_keys // _LIMIT_DIVISOR
        self._window_ms = limits.window_ms

    def __len__(self) -> int:
        return len(self._entries)

    def find(self, name: KeyName, claim_id: str) -> TransferredKey | None:
        """Return how this claim of a key, or this issued key, ended."""
        entry = self._entries.get(name)
        # A chosen key can be claimed anew after the window; its earlier answer is
        # another request's.
        if entry is None or entry.claim_id != claim_id:
            return None
        answer = self._answers.find(name)
        return TransferredKey(name, claim_id, entry.status, entry.digest, answer)

    def list_all(self) -> list[TransferredKey]:
        """Return all that is held, the latest first."""
        return [
            TransferredKey(name, entry.claim_id, entry.status, entry.digest, answer)
            for name, entry in reversed(self._entries.items())
            for answer in (self._answers.find(name),)
        ]

    def has_room(self, keys: Sequence[TransferredKey]) -> bool:
        """Return whether these keys can be held, some of which may be held already."""
        count = sum(1 for key in keys if key.name not in self._entries)
        return len(self._entries) + count <= self._max_keys

    def accept(self, keys: Sequence[TransferredKey], now_ms: float) -> None:
        """Hold keys for one window; what is held already stays as it is."""
        for key in keys:
            if self.find(key.name, key.claim_id) is not None:
                continue
            self._drop(key.name)
            self._entries[key.name] = _Entry(
                key.claim_id, key.status, key.digest, now_ms
            )
            if key.answer is not None:
                self._answers.keep(key.name, key.answer)

    def forget_old(self, now_ms: float) -> None:
        """Forget what was taken a window ago."""
        old = []
        for name, entry in self._entries.items():
            if now_ms - entry.received_ms < self._window_ms:
                break
            old.append(name)
        for name in old:
            self._drop(name)

    def _drop(self, name: KeyName) -> None:
        self._entries.pop(name, None)
        self._answers.drop(name)
