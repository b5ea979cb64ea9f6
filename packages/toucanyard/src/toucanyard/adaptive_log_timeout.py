"""Decide how long to wait for an answer of the log, by how slow it is.

A log that takes longer than a fixed time to answer would never take a record, as its
service drops an append whose sender has hung up, and would never be read: every try
would end alike.
"""

from __future__ import annotations

from typing import Final

_MAX_GROWTH: Final = 8.0
_SAFETY_FACTOR: Final = 3.0
"""How many times the last answer's time the next may take."""


class AdaptiveLogTimeout:
    """The time to wait for the next answer.

    Invariant: it lies between the one that is set and `_MAX_GROWTH` times that.
    """

    __slots__ = ("_min_ms", "timeout_ms")

    def __init__(self, least_ms: float) -> None:
        self._min_ms = least_ms
        self.timeout_ms = least_ms

    def record_answer(self, took_ms: float) -> None:
        """Take in that the log answered after so long."""
        self._set(took_ms * _SAFETY_FACTOR)

    def record_other_answer(self, took_ms: float) -> None:
        """Take in that another question was answered after so long; only lengthens."""
        self._set(max(self.timeout_ms, took_ms * _SAFETY_FACTOR))

    def record_timeout(self) -> None:
        """Take in that the log did not answer in time."""
        self._set(self.timeout_ms * 2)

    def _set(self, wanted_ms: float) -> None:
        most_ms = self._min_ms * _MAX_GROWTH
        self.timeout_ms = min(max(wanted_ms, self._min_ms), most_ms)
