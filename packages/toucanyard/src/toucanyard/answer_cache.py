"""Cache complete answers for retries, up to a size limit in bytes."""

from __future__ import annotations

from typing import Final

from toucanyard.key_records import (
    KeyName,
)
from toucanyard.requests import CachedAnswer

_OVERHEAD_BYTES: Final = 400


class AnswerCache:
    """Answers by key; the oldest are evicted first.

    Invariant: `used_bytes` is the total size of the answers, and never above the limit.
    """

    __slots__ = ("_answers", "_limit_bytes", "used_bytes")

    def __init__(self, limit_bytes: int) -> None:
        self._answers: dict[KeyName, CachedAnswer] = {}
        self._limit_bytes = limit_bytes
        self.used_bytes = 0

    def find(self, name: KeyName) -> CachedAnswer | None:
        """Return the answer of a key unless it was evicted."""
        return self._answers.get(name)

    def keep(self, name: KeyName, answer: CachedAnswer) -> None:
        """Store an answer, evicting the oldest ones to make room."""
        self.drop(name)
        size_bytes = _compute_size_bytes(answer)
        if size_bytes > self._limit_bytes:
            return
        while self.used_bytes + size_bytes > self._limit_bytes:
            self.drop(next(iter(self._answers)))
        self._answers[name] = answer
        self.used_bytes += size_bytes

    def drop(self, name: KeyName) -> None:
        """Remove the answer of a key, if there is one."""
        answer = self._answers.pop(name, None)
        if answer is not None:
            self.used_bytes -= _compute_size_bytes(answer)


def _compute_size_bytes(answer: CachedAnswer) -> int:
    return len(answer.body) + len(answer.content_type) + _OVERHEAD_BYTES
