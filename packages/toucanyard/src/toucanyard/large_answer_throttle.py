"""Limit how often a large answer is resent to a peer that repeats its query."""

from __future__ import annotations

from typing import Final

from toucanyard.key_records import KeyName
from toucanyard.names import NodeId
from toucanyard.requests import CachedAnswer

MAX_FORWARDED_BYTES: Final = 3_500_000
"""Largest answer that fits in a message between nodes, next to the other fields."""
_LARGE_BYTES: Final = 20_000
_MIN_REPEAT_MS: Final = 5_000
"""Longer than the transfer of the largest answer over a link of 1 MB/s."""


def is_forwardable(answer: CachedAnswer) -> bool:
    """Return whether an answer fits in a message; a larger one would close the link."""
    return len(answer.body) <= MAX_FORWARDED_BYTES


class LargeAnswerThrottle:
    """Times at which large answers were last sent, by peer and key.

    A peer repeats its query until the answer arrives. A copy for each query would delay
    all other messages until the link is considered dead. Occasional copies suffice,
    since an answer is lost only if the link breaks.
    """

    __slots__ = ("_sent_ms",)

    def __init__(self) -> None:
        self._sent_ms: dict[tuple[NodeId, KeyName], float] = {}

    def was_sent_recently(
        self, to: NodeId, name: KeyName, answer: CachedAnswer | None, now_ms: float
    ) -> bool:
        """Return whether this answer is large and was sent to the peer recently."""
        if answer is None or len(answer.body) < _LARGE_BYTES:
            return False
        sent_ms = self._sent_ms.get((to, name), float("-inf"))
        return now_ms - sent_ms < _MIN_REPEAT_MS

    def record_sent(
        self, to: NodeId, name: KeyName, answer: CachedAnswer | None, now_ms: float
    ) -> None:
        """Record that an answer is being sent to a peer, if it is large."""
        if answer is not None and len(answer.body) >= _LARGE_BYTES:
            self._sent_ms[to, name] = now_ms

    def forget_old(self, now_ms: float) -> None:
        """Remove the answers that may be sent again."""
        old = [
            each
            for each, sent_ms in self._sent_ms.items()
            if now_ms - sent_ms >= _MIN_REPEAT_MS
        ]
        for each in old:
            del self._sent_ms[each]
