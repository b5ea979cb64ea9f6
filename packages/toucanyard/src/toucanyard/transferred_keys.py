"""Hold the results of keys that stopped nodes have transferred, for later retries."""

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
"""Divides a node's limits: the rest is for its own keys."""


@dataclass(slots=True)
class _Entry:
    claim_id: str
    status: KeyStatus
    digest: bytes
    received_ms: float


class TransferredKeys:
    """Ended keys that stopping nodes have transferred to this node.

    Invariants: an entry only records how a key ended and never leads to a dispatch; it
    is returned only for the claim, or the issued key, that it was recorded for.
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
        """Return the result of this claim of a key, or of this issued key."""
        entry = self._entries.get(name)
        # A caller-chosen key can be claimed again after the window; the earlier answer
        # belongs to another request.
        if entry is None or entry.claim_id != claim_id:
            return None
        answer = self._answers.find(name)
        return TransferredKey(name, claim_id, entry.status, entry.digest, answer)

    def list_all(self) -> list[TransferredKey]:
        """Return all entries, the latest first."""
        return [
            TransferredKey(name, entry.claim_id, entry.status, entry.digest, answer)
            for name, entry in reversed(self._entries.items())
            for answer in (self._answers.find(name),)
        ]

    def has_room(self, keys: Sequence[TransferredKey]) -> bool:
        """Return whether there is room for these keys; held ones need no room."""
        count = sum(1 for key in keys if key.name not in self._entries)
        return len(self._entries) + count <= self._max_keys

    def accept(self, keys: Sequence[TransferredKey], now_ms: float) -> None:
        """Add keys for the duration of one window; existing entries are unchanged."""
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
        """Remove the entries that were received more than a window ago."""
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
