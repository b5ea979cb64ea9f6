"""Hold back copies of large answers that a peer asks for again and again."""

from __future__ import annotations

from typing import Final

from toucanyard.key_records import KeyName
from toucanyard.names import NodeId
from toucanyard.requests import CachedAnswer

MAX_FORWARDED_BYTES: Final = 3_500_000
"""Largest answer that fits a message between nodes, with room for the rest of it."""
_LARGE_BYTES: Final = 20_000
_MIN_REPEAT_MS: Final = 5_000
"""Longer than the largest answer takes on a link of 1 MB/s."""


def is_forwardable(answer: CachedAnswer) -> bool:
    """Return whether an answer may go to a peer; a larger one would close the link."""
    return len(answer.body) <= MAX_FORWARDED_BYTES


class LargeAnswerThrottle:
    """When which peer was last sent which large answer.

    A peer repeats its question until the answer is there. A copy for each would hold
    up the link's other messages until it counts as dead; one in a while is enough,
    since only a link that broke loses it.
    """

    __slots__ = ("_sent_ms",)

    def __init__(self) -> None:
        self._sent_ms: dict[tuple[NodeId, KeyName], float] = {}

    def was_sent_recently(
        self, to: NodeId, name: KeyName, answer: CachedAnswer | None, now_ms: float
    ) -> bool:
        """Return whether a peer was sent this large answer a short time ago."""
        if answer is None or len(answer.body) < _LARGE_BYTES:
            return False
        sent_ms = self._sent_ms.get((to, name), float("-inf"))
        return now_ms - sent_ms < _MIN_REPEAT_MS

    def record_sent(
        self, to: NodeId, name: KeyName, answer: CachedAnswer | None, now_ms: float
    ) -> None:
        """Remember that a peer is being sent an answer, if it is a large one."""
        if answer is not None and len(answer.body) >= _LARGE_BYTES:
            self._sent_ms[to, name] = now_ms

    def forget_old(self, now_ms: float) -> None:
        """Forget what may be sent again."""
        old = [
            each
            for each, sent_ms in self._sent_ms.items()
            if now_ms - sent_ms >= _MIN_REPEAT_MS
        ]
        for each in old:
            del self._sent_ms[each]
