"""Work out, for each endpoint, after which silence its stream is probed.

Taken from the pauses that the endpoint's own streams showed: a bound below an engine's
usual pause would probe healthy streams all the time, one far above it would leave
callers waiting on a connection that is silent for good.
"""

from __future__ import annotations

from typing import Final

from toucanyard.names import EndpointName
from toucanyard.options import StreamLimits

_PAUSE_FACTOR: Final = 3.0
"""How many of its usual longest pauses an endpoint is waited for."""
_DECAY: Final = 0.95
_MAX_ENDPOINTS: Final = 20_000


class SilenceBounds:
    """The usual longest pause of each endpoint, and the bound that follows.

    Invariant: a bound lies between the limits' `min_silence_ms` and `max_silence_ms`;
    without any history it is the lower one.
    """

    __slots__ = ("_limits", "_pauses_ms")

    def __init__(self, limits: StreamLimits) -> None:
        self._limits = limits
        self._pauses_ms: dict[EndpointName, float] = {}

    def record_pause(self, endpoint: EndpointName, longest_ms: float) -> None:
        """Take in the longest pause of one stream; older ones fade."""
        if len(self._pauses_ms) >= _MAX_ENDPOINTS and endpoint not in self._pauses_ms:
            self._pauses_ms.clear()
        faded_ms = self._pauses_ms.get(endpoint, 0.0) * _DECAY
        self._pauses_ms[endpoint] = max(longest_ms, faded_ms)

    def compute_bound(self, endpoint: EndpointName) -> float:
        """Return the silence in milliseconds after which to probe."""
        limits = self._limits
        wanted_ms = self._pauses_ms.get(endpoint, 0.0) * _PAUSE_FACTOR
        return min(max(wanted_ms, limits.min_silence_ms), limits.max_silence_ms)
