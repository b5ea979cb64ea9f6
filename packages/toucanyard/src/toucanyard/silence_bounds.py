"""Compute the silence after which a stream of an endpoint is probed.

Derived from the pauses observed in the endpoint's own streams. A bound below the usual
pause of an engine would probe healthy streams all the time; one far above it would
leave callers waiting on a connection that is dead.
"""

from __future__ import annotations

from typing import Final

from toucanyard.names import EndpointName
from toucanyard.options import StreamLimits

_PAUSE_FACTOR: Final = 3.0
"""Factor on an endpoint's usual longest pause."""
_DECAY: Final = 0.95
_MAX_ENDPOINTS: Final = 20_000


class SilenceBounds:
    """Usual longest pause of each endpoint, and the bound derived from it.

    Invariant: a bound lies between the limits' `min_silence_ms` and `max_silence_ms`;
    without history it is the lower one.
    """

    __slots__ = ("_limits", "_pauses_ms")

    def __init__(self, limits: StreamLimits) -> None:
        self._limits = limits
        self._pauses_ms: dict[EndpointName, float] = {}

    def record_pause(self, endpoint: EndpointName, longest_ms: float) -> None:
        """Record the longest pause of one stream; older values decay."""
        if len(self._pauses_ms) >= _MAX_ENDPOINTS and endpoint not in self._pauses_ms:
            self._pauses_ms.clear()
        faded_ms = self._pauses_ms.get(endpoint, 0.0) * _DECAY
        self._pauses_ms[endpoint] = max(longest_ms, faded_ms)

    def compute_bound(self, endpoint: EndpointName) -> float:
        """Return the silence in milliseconds after which to probe."""
        limits = self._limits
        wanted_ms = self._pauses_ms.get(endpoint, 0.0) * _PAUSE_FACTOR
        return min(max(wanted_ms, limits.min_silence_ms), limits.max_silence_ms)
