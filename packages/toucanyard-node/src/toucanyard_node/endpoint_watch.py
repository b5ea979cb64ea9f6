"""Monitor endpoints: poll loads, follow cache events, fetch cache dumps.

One task per endpoint owns its connection. Results and failed polls are reported to the
core as events.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Sequence
from typing import Final

import msgspec
import structlog
import trio

from toucanyard.configuration import Endpoint
from toucanyard.core_events import (
    CacheDumpRead,
    CacheEventsRead,
    EndpointPollFailed,
    LoadRead,
)
from toucanyard.event_budget import DumpSizes, EventBudget
from toucanyard.names import Address, EndpointName
from toucanyard.options import MembershipTimings
from toucanyard_node.boot_clock import find_now_ms
from toucanyard_node.bounded_fetch import exchange_bounded, fetch_bounded
from toucanyard_node.endpoint_responses import (
    InvalidResponseError,
    decode_dump,
    decode_load,
)
from toucanyard_node.event_follower import EventFollower, estimate_response_bytes
from toucanyard_node.http_client import (
    BodyTooLargeError,
    Connect,
    ConnectionFailedError,
    HttpConnection,
    Response,
    connect,
)

_LOG: Final = structlog.get_logger()
_REFRESH_MS: Final = 200
_STARTUP_REFRESH_MS: Final = 10
"""Used until there are endpoints to watch. A starting node places requests without
knowing any cache; after a simultaneous restart of many nodes, all of them would
concentrate requests on the same few endpoints."""
_MAX_STARTUP_REFRESHES: Final = 1_000
"""Refreshes at the startup interval, 10 s in total. Continuing at that rate while a
node waits for its first configuration would use 3.5% of a core."""
_MAX_LOAD_BYTES: Final = 65_536
_MAX_DUMP_BYTES: Final = 32_000_000
_DUMP_TIMEOUT_MS: Final = 5_000
_FULL_RATE_POLLS: Final = 24
_MAX_DOUBLINGS: Final = 3
_FAILING_POLLS_FACTOR: Final = 4
"""Poll rate of failing endpoints as a multiple of that of responding ones."""

WatchEvent = LoadRead | EndpointPollFailed | CacheEventsRead | CacheDumpRead
Emit = Callable[[WatchEvent], Awaitable[None]]


class WatchedEndpoint(msgspec.Struct, frozen=True):
    """An endpoint to watch; only engines have caches."""

    endpoint: Endpoint
    is_engine: bool
    is_followed: bool
    """Whether this node follows its cache events."""


def compute_poll_wait_ms(timings: MembershipTimings, watched: int, count: int) -> float:
    """Return the interval between polls of a responding endpoint.

    `count` is the number of all endpoints. When nodes share the monitoring, each node
    polls at a fixed total rate, whatever its share. An endpoint that fails is polled
    at the full rate, so that crashes are detected as quickly.
    """
    is_shared = watched < count
    rate = timings.max_shared_polls_per_s if is_shared else timings.max_polls_per_s
    return max(float(timings.load_poll_ms), watched * 1000 / rate)


def find_event_rate(timings: MembershipTimings, watched: int, count: int) -> int:
    """Return the bandwidth for cache events and dumps in bytes per second."""
    if watched < count:
        return timings.max_shared_event_bytes_per_s
    return timings.max_event_bytes_per_s


def compute_retry_wait_ms(
    timings: MembershipTimings, failures: int, failing: int, *, is_shared: bool
) -> float:
    """Return the time before the next poll after `failures` consecutive failures.

    The full rate lasts longer than nodes need to agree that an endpoint is down; after
    that, polls only detect its recovery. `failing` endpoints share a rate: when a whole
    domain or this node's network fails, polling each at the full rate would use a tenth
    of a core when the rest of the fleet needs it.
    """
    doublings = min(failures // _FULL_RATE_POLLS, _MAX_DOUBLINGS)
    rate = timings.max_polls_per_s
    if is_shared:
        rate = timings.max_shared_polls_per_s * _FAILING_POLLS_FACTOR
    return max(float(timings.load_poll_ms * 2**doublings), failing * 1000 / rate)


class EndpointWatch:
    """Run one task for each watched endpoint.

    Invariant: an endpoint that is no longer watched, or whose address changed, has no
    task after the next refresh.
    """

    def __init__(
        self,
        find_watched: Callable[[], tuple[Sequence[WatchedEndpoint], int]],
        timings: MembershipTimings,
        emit: Emit,
        connect_to: Connect = connect,
        rng: random.Random | None = None,
    ) -> None:
        """`find_watched` returns what to watch and the number of all endpoints."""
        self._find_watched = find_watched
        self._timings = timings
        self._emit = emit
        self._connect = connect_to
        self._scopes: dict[WatchedEndpoint, trio.CancelScope] = {}
        self._addresses: dict[EndpointName, Address] = {}
        self._wait_ms = float(timings.load_poll_ms)
        self._is_shared = False
        self._failing: set[EndpointName] = set()
        self._rng = rng or random.Random()
        self._budget = EventBudget(timings.max_shared_event_bytes_per_s, 0.0)
        self._dump_sizes = DumpSizes()

    async def run(self) -> None:
        """Watch until cancelled."""
        refreshes_left = _MAX_STARTUP_REFRESHES
        async with trio.open_nursery() as nursery:
            while True:
                self._refresh(nursery)
                is_starting = not self._scopes and refreshes_left > 0
                refreshes_left -= is_starting
                await trio.sleep(
                    (_STARTUP_REFRESH_MS if is_starting else _REFRESH_MS) / 1000
                )

    async def read_dump(self, endpoint: EndpointName) -> None:
        """Fetch the cache dump of an engine and emit it, if the budget allows."""
        address = self._addresses.get(endpoint)
        left_bytes = self._budget.compute_left_bytes(find_now_ms())
        if address is None or not self._dump_sizes.is_affordable(endpoint, left_bytes):
            return
        max_bytes = min(int(left_bytes), _MAX_DUMP_BYTES)
        try:
            response = await fetch_bounded(
                address, "/v1/cache/dump", _DUMP_TIMEOUT_MS, max_bytes, self._connect
            )
            size_bytes = estimate_response_bytes(response)
            self._budget.spend(size_bytes, find_now_ms())
            self._dump_sizes.record_complete(endpoint, size_bytes)
            dump = decode_dump(response)
        except (ConnectionFailedError, InvalidResponseError) as error:
            if isinstance(error, BodyTooLargeError):
                self._budget.spend(max_bytes, find_now_ms())
                self._dump_sizes.record_truncated(endpoint, max_bytes)
            _LOG.info("dump_unread", endpoint=endpoint, error=str(error)[:200])
            return
        await self._emit(CacheDumpRead(endpoint, dump))

    def _refresh(self, nursery: trio.Nursery) -> None:
        wanted, count = self._find_watched()
        self._wait_ms = compute_poll_wait_ms(self._timings, len(wanted), count)
        self._is_shared = len(wanted) < count
        rate = find_event_rate(self._timings, len(wanted), count)
        self._budget.change_rate(rate, find_now_ms())
        for watched in set(self._scopes).difference(wanted):
            self._scopes.pop(watched).cancel()
        self._addresses = {
            each.endpoint.name: each.endpoint.address
            for each in wanted
            if each.is_engine and each.is_followed
        }
        self._dump_sizes.keep(set(self._addresses))
        for watched in wanted:
            if watched not in self._scopes:
                scope = self._scopes[watched] = trio.CancelScope()
                nursery.start_soon(self._watch, watched, scope)

    async def _watch(self, watched: WatchedEndpoint, scope: trio.CancelScope) -> None:
        with scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._poll_load, watched)
                if watched.is_engine and watched.is_followed:
                    follower = EventFollower(
                        watched.endpoint,
                        self._budget,
                        self._emit,
                        self._connect,
                        self._rng,
                    )
                    nursery.start_soon(follower.run)

    async def _poll_load(self, watched: WatchedEndpoint) -> None:
        endpoint = watched.endpoint
        poller = _Poller(endpoint.address, self._timings, self._connect)
        target = "/v1/load" if watched.is_engine else "/load"
        failures = 0
        try:
            while True:
                asked_ms = find_now_ms()
                wait_ms = self._wait_ms
                try:
                    report = decode_load(await poller.get(target))
                except (ConnectionFailedError, InvalidResponseError) as error:
                    _LOG.debug("load_unread", endpoint=endpoint.name, error=str(error))
                    await self._emit(EndpointPollFailed(endpoint.name))
                    self._failing.add(endpoint.name)
                    wait_ms = compute_retry_wait_ms(
                        self._timings,
                        failures,
                        len(self._failing),
                        is_shared=self._is_shared,
                    )
                    failures += 1
                else:
                    failures = 0
                    self._failing.discard(endpoint.name)
                    await self._emit(LoadRead(endpoint.name, report, asked_ms))
                spent_ms = find_now_ms() - asked_ms
                await trio.sleep(max(0.0, wait_ms - spent_ms) / 1000)
        finally:
            self._failing.discard(endpoint.name)
            with trio.CancelScope(shield=True):
                await poller.close()


class _Poller:
    """Send GET requests to one address over a persistent connection."""

    def __init__(
        self, address: Address, timings: MembershipTimings, connect_to: Connect
    ) -> None:
        self._address = address
        self._timeout_ms = timings.poll_timeout_ms
        self._connect = connect_to
        self._idle: HttpConnection | None = None

    async def get(self, target: str) -> Response:
        """Return one response, or raise ConnectionFailedError."""
        idle, self._idle = self._idle, None
        if idle is not None:
            try:
                return await self._exchange(idle, target)
            except ConnectionFailedError:
                # A middlebox may have dropped this connection while new ones work;
                # only a failure on a new connection counts against the endpoint.
                pass
        new = await self._connect(self._address, self._timeout_ms)
        return await self._exchange(new, target)

    async def close(self) -> None:
        """Close the idle connection."""
        if self._idle is not None:
            await self._idle.close()

    async def _exchange(self, connection: HttpConnection, target: str) -> Response:
        can_reuse = False
        try:
            with trio.fail_after(self._timeout_ms / 1000):
                response = await exchange_bounded(
                    connection, "GET", target, _MAX_LOAD_BYTES
                )
            can_reuse = connection.is_reusable()
        except trio.TooSlowError as error:
            raise ConnectionFailedError("no answer", is_sent=True) from error
        finally:
            if not can_reuse:
                with trio.CancelScope(shield=True):
                    await connection.close()
        self._idle = connection
        return response
