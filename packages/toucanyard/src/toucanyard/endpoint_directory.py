"""Tell the request flow which endpoints may get work, and learn from what it sees.

Joins membership with the weights that endpoints report. The usable endpoints of a
pool are worked out once per short interval, not once per request, and the same
object is returned meanwhile: placement then does nothing per endpoint.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

import msgspec

from toucanyard.configuration import Endpoint
from toucanyard.membership import Membership
from toucanyard.membership_events import EndpointError
from toucanyard.names import EndpointName

_KEEP_MS: Final = 50.0
_MAX_KEPT: Final = 256


class _Kept(msgspec.Struct):
    endpoints: Sequence[Endpoint]
    usable: Sequence[Endpoint]
    until_ms: float


class EndpointDirectory:
    """Usable endpoints and their weights, as this node sees them.

    Invariant: a list is at most `_KEEP_MS` old, and older than no own failure.
    """

    __slots__ = ("_kept", "_membership", "_weights")

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self._weights: dict[EndpointName, str] = {}
        self._kept: dict[int, _Kept] = {}

    def find_usable(
        self, endpoints: Sequence[Endpoint], now_ms: float
    ) -> Sequence[Endpoint]:
        """Return those that may get new work; the same object while unchanged."""
        kept = self._kept.get(id(endpoints))
        is_same = kept is not None and kept.endpoints is endpoints
        if kept is not None and is_same and now_ms < kept.until_ms:
            return kept.usable
        usable: Sequence[Endpoint] = self._membership.find_usable(endpoints, now_ms)
        if kept is not None and is_same and list(kept.usable) == usable:
            usable = kept.usable
        if len(self._kept) >= _MAX_KEPT:
            self._kept.clear()
        self._kept[id(endpoints)] = _Kept(endpoints, usable, now_ms + _KEEP_MS)
        return usable

    def find_weights(self, endpoint: EndpointName) -> str | None:
        """Return the weights version that an endpoint last reported."""
        return self._weights.get(endpoint)

    def note_weights(self, endpoint: EndpointName, version: str) -> None:
        """Take in the weights version that an endpoint reports."""
        self._weights[endpoint] = version

    def note_failure(self, endpoint: EndpointName, now_ms: float) -> None:
        """Take in that a dispatch or a poll of this node failed there."""
        for kept in self._kept.values():
            kept.until_ms = now_ms
        self._membership.handle(EndpointError(endpoint), now_ms)
