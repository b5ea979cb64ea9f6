"""Adapt the timeout of requests to the log to its response time.

With a fixed timeout, a log that is slower would never accept a record, as its service
drops an append whose sender has disconnected, and could never be read: every attempt
would time out in the same way.
"""

from __future__ import annotations

from typing import Final

_MAX_GROWTH: Final = 8.0
_SAFETY_FACTOR: Final = 3.0
"""Ratio of the timeout to the last response time."""


class AdaptiveLogTimeout:
    """The timeout of the next request.

    Invariant: it lies between the configured minimum and `_MAX_GROWTH` times that.
    """

    __slots__ = ("_min_ms", "timeout_ms")

    def __init__(self, least_ms: float) -> None:
        self._min_ms = least_ms
        self.timeout_ms = least_ms

    def record_answer(self, response_ms: float) -> None:
        """Adapt the timeout to a response time of the log."""
        self._set(response_ms * _SAFETY_FACTOR)

    def record_other_answer(self, response_ms: float) -> None:
        """Adapt to the response time of another kind of request; never shortens."""
        self._set(max(self.timeout_ms, response_ms * _SAFETY_FACTOR))

    def record_timeout(self) -> None:
        """Double the timeout after the log did not answer in time."""
        self._set(self.timeout_ms * 2)

    def _set(self, wanted_ms: float) -> None:
        most_ms = self._min_ms * _MAX_GROWTH
        self.timeout_ms = min(max(wanted_ms, self._min_ms), most_ms)
