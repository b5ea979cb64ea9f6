"""Follow the cache events of one engine within the node's bandwidth budget."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from typing import Final

import structlog
import trio

from toucanyard.cache_view import CacheEvents
from toucanyard.configuration import Endpoint
from toucanyard.core_events import CacheEventsRead
from toucanyard.event_budget import (
    ANSWER_BYTES,
    MAX_LAG_MS,
    MIN_ANSWER_BYTES,
    EventBudget,
)
from toucanyard_node.boot_clock import find_now_ms
from toucanyard_node.bounded_fetch import fetch_bounded
from toucanyard_node.endpoint_responses import InvalidResponseError, decode_events
from toucanyard_node.http_client import (
    BodyTooLargeError,
    Connect,
    ConnectionFailedError,
    Response,
)

_LOG: Final = structlog.get_logger()
_MAX_EVENTS_BYTES: Final = 4_000_000
_WAIT_MS: Final = 1_000
_TIMEOUT_MS: Final = 2_500
_RETRY_INTERVAL_MS: Final = 500
_MIN_PAUSE_MS: Final = 30_000.0
_MAX_PAUSE_MS: Final = 60_000.0
_FROM_OLDEST: Final = -1
_AFTER_LATEST: Final = 2**53 - 1
"""Larger than any event number: the response has no events, only the next number."""
_HEADER_BYTES: Final = 256
"""Approximate size of a response head."""

EmitEvents = Callable[[CacheEventsRead], Awaitable[None]]


def estimate_response_bytes(response: Response) -> int:
    """Return the approximate size of a response on the network."""
    return len(response.body) + _HEADER_BYTES


class EventFollower:
    """Read one engine's events in order.

    Invariant: no request is sent while the budget is exhausted; after a pause the next
    request skips all events published in between.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        budget: EventBudget,
        emit: EmitEvents,
        connect_to: Connect,
        rng: random.Random,
    ) -> None:
        self._endpoint = endpoint
        self._budget = budget
        self._emit = emit
        self._connect = connect_to
        self._rng = rng
        self._after = self._find_start()
        self._incarnation: str | None = None

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            await self._wait_for_budget()
            try:
                events = await self._read()
            except (ConnectionFailedError, InvalidResponseError) as error:
                name = self._endpoint.name
                _LOG.debug("events_unread", endpoint=name, error=str(error))
                if isinstance(error, BodyTooLargeError):
                    self._after = _AFTER_LATEST
                await trio.sleep(_RETRY_INTERVAL_MS / 1000)
                continue
            if self._incarnation not in (None, events.incarnation):
                # Numbers restart with the engine, so `after` cut off the first events.
                self._after = self._find_start()
                self._incarnation = events.incarnation
                continue
            self._incarnation = events.incarnation
            if self._after == _AFTER_LATEST:
                self._after = events.next - 1
            self._after = max(self._after, events.next - 1)
            await self._emit(CacheEventsRead(self._endpoint.name, events))

    def _find_start(self) -> int:
        """Return the number to start after: all retained events, if affordable."""
        is_affordable = self._budget.burst_bytes >= _MAX_EVENTS_BYTES
        return _FROM_OLDEST if is_affordable else _AFTER_LATEST

    async def _wait_for_budget(self) -> None:
        """Wait until the budget allows a request; skip events after a long wait."""
        wait_ms = self._budget.compute_wait_ms(find_now_ms())
        if wait_ms > MAX_LAG_MS:
            # Following engines alternately, each without gaps for a while, gives
            # better views than reading all of them with gaps: a view with a gap stays
            # unreliable for a long time.
            pause_ms = self._rng.uniform(_MIN_PAUSE_MS, _MAX_PAUSE_MS)
            wait_ms = max(wait_ms, pause_ms)
            self._after = _AFTER_LATEST
        if wait_ms > 0:
            await trio.sleep(wait_ms / 1000)

    async def _read(self) -> CacheEvents:
        """Send one request and charge its response to the budget."""
        max_bytes = min(
            max(int(self._budget.burst_bytes), MIN_ANSWER_BYTES), _MAX_EVENTS_BYTES
        )
        wait_ms = 0 if self._after == _AFTER_LATEST else _WAIT_MS
        size_bytes = 0
        self._spend(ANSWER_BYTES)
        try:
            response = await fetch_bounded(
                self._endpoint.address,
                f"/v1/cache/events?after={self._after}&wait_ms={wait_ms}",
                _TIMEOUT_MS,
                max_bytes,
                self._connect,
            )
            size_bytes = estimate_response_bytes(response)
        except BodyTooLargeError:
            size_bytes = max_bytes
            raise
        finally:
            self._spend(size_bytes - ANSWER_BYTES)
        return decode_events(response)

    def _spend(self, size_bytes: float) -> None:
        self._budget.spend(size_bytes, find_now_ms())
