"""Track which endpoints may get new work, from membership and observed results.

Combines membership with the weights versions that endpoints report. The usable
endpoints of a pool are computed once per short interval instead of once per request.
The same object is returned meanwhile, so placement does no work per endpoint.
"""

from __future__ import annotations

from collections.abc import Sequence, Set
from typing import Final

import msgspec

from toucanyard.configuration import Endpoint
from toucanyard.membership import Membership
from toucanyard.membership_events import EndpointError
from toucanyard.names import EndpointName

_CACHE_MS: Final = 50.0
_MAX_CACHED: Final = 256
_MIN_BACKOFF_MS: Final = 200.0
_MAX_BACKOFF_MS: Final = 2_000.0


class _CachedUsable(msgspec.Struct):
    endpoints: Sequence[Endpoint]
    usable: Sequence[Endpoint]
    until_ms: float


class _Backoff(msgspec.Struct):
    until_ms: float
    wait_ms: float


class EndpointDirectory:
    """Usable endpoints and their weights versions, as this node sees them.

    Invariant: a list is at most `_CACHE_MS` old, and newer than this node's last
    observed failure.
    """

    __slots__ = ("_backoffs", "_cached", "_membership", "_weights")

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self._weights: dict[EndpointName, str] = {}
        self._cached: dict[int, _CachedUsable] = {}
        self._backoffs: dict[EndpointName, _Backoff] = {}

    def find_usable(
        self, endpoints: Sequence[Endpoint], now_ms: float
    ) -> Sequence[Endpoint]:
        """Return the endpoints that may get work; the same object while unchanged."""
        cached = self._cached.get(id(endpoints))
        is_same = cached is not None and cached.endpoints is endpoints
        if cached is not None and is_same and now_ms < cached.until_ms:
            return cached.usable
        usable: Sequence[Endpoint] = self._find_now(endpoints, now_ms)
        if cached is not None and is_same and tuple(cached.usable) == tuple(usable):
            usable = cached.usable
        if len(self._cached) >= _MAX_CACHED:
            self._cached.clear()
        self._cached[id(endpoints)] = _CachedUsable(
            endpoints, usable, now_ms + _CACHE_MS
        )
        return usable

    def is_backing_off(self, endpoint: EndpointName, now_ms: float) -> bool:
        """Return whether an endpoint has recently refused a request of this node."""
        backoff = self._backoffs.get(endpoint)
        return backoff is not None and now_ms < backoff.until_ms

    def record_refusal(self, endpoint: EndpointName, now_ms: float) -> None:
        """Record that an endpoint refused a request without running it.

        An engine that loads weights refuses requests for half a second or more while
        its load looks low. Without a backoff every request would try it first, and the
        retries would exhaust the budget.
        """
        backoff = self._backoffs.get(endpoint)
        wait_ms = _MIN_BACKOFF_MS
        if backoff is not None and now_ms < backoff.until_ms + backoff.wait_ms:
            wait_ms = min(2 * backoff.wait_ms, _MAX_BACKOFF_MS)
        self._backoffs[endpoint] = _Backoff(now_ms + wait_ms, wait_ms)
        self._expire(now_ms)

    def record_success(self, endpoint: EndpointName) -> None:
        """Record that an endpoint ran a request."""
        self._backoffs.pop(endpoint, None)

    def find_weights(self, endpoint: EndpointName) -> str | None:
        """Return the weights version that an endpoint last reported."""
        return self._weights.get(endpoint)

    def record_weights(self, endpoint: EndpointName, version: str) -> None:
        """Record the weights version that an endpoint reports."""
        self._weights[endpoint] = version

    def retain(self, names: Set[EndpointName]) -> None:
        """Forget all other endpoints, since a name may be reused."""
        for known in (self._weights, self._backoffs):
            for gone in known.keys() - names:
                del known[gone]

    def record_failure(self, endpoint: EndpointName, now_ms: float) -> None:
        """Record that a dispatch to an endpoint or a poll of it failed."""
        self._expire(now_ms)
        self._membership.handle(EndpointError(endpoint), now_ms)

    def _find_now(
        self, endpoints: Sequence[Endpoint], now_ms: float
    ) -> Sequence[Endpoint]:
        usable = self._membership.find_usable(endpoints, now_ms)
        backing_off = {
            name
            for name, backoff in self._backoffs.items()
            if now_ms < backoff.until_ms
        }
        if not backing_off:
            return usable
        available = [each for each in usable if each.name not in backing_off]
        # If all are backing off, send the request anyway to find out whether one
        # accepts work again.
        return available or usable

    def _expire(self, now_ms: float) -> None:
        for cached in self._cached.values():
            cached.until_ms = now_ms
