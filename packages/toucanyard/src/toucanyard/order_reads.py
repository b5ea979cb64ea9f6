"""Choose which endpoints of a leased pool to read now.

Endpoints with an order under way are read each time. Of those still to be changed,
only as many are read as can be ordered soon, the one read longest ago first. The
others are read seldom.
"""

from __future__ import annotations

from collections.abc import Sequence
from heapq import nsmallest
from typing import Final

from toucanyard.configuration import Endpoint, Pool
from toucanyard.names import EndpointName
from toucanyard.order_messages import ReadState
from toucanyard.orders import PoolOrders, ReadReason

_MAX_UNKNOWN_READS: Final = 32
"""Maximum number read at once until each state is known and each fence is raised. This
takes 14 s and 19 KB/s for a pool of 880 endpoints."""
_MAX_CHANGING_READS: Final = 8
"""Maximum number read at once of those to be ordered. It is twice the number that may
start to load meanwhile, to allow for other orders and endpoints that don't answer."""
_QUIET_MS: Final = 5_000.0
_QUIET_MS_PER_ENDPOINT: Final = 100.0


class StateReads:
    """When each endpoint of one pool was last read, and all without changes."""

    __slots__ = ("_all_requested_ms", "_requested_ms", "is_quiet")

    def __init__(self) -> None:
        self._requested_ms: dict[EndpointName, float] = {}
        self._all_requested_ms = float("-inf")
        self.is_quiet = False
        """Whether the last choice found no endpoint that needs a change."""

    def choose(self, pool: Pool, orders: PoolOrders, now_ms: float) -> list[ReadState]:
        """Return what to read now, and record it as read; to be called every 500 ms."""
        by_reason = orders.group_by_read_reason(pool, now_ms)
        self.is_quiet = len(by_reason[ReadReason.NONE]) == len(pool.endpoints)
        chosen = list(by_reason[ReadReason.ORDERED])
        chosen += self._find_oldest(by_reason[ReadReason.UNKNOWN], _MAX_UNKNOWN_READS)
        chosen += self._find_oldest(by_reason[ReadReason.CHANGING], _MAX_CHANGING_READS)
        # All at once, since each answer triggers a plan that examines the whole pool.
        quiet_ms = max(_QUIET_MS, _QUIET_MS_PER_ENDPOINT * len(pool.endpoints))
        if now_ms - self._all_requested_ms >= quiet_ms:
            self._all_requested_ms = now_ms
            chosen += by_reason[ReadReason.NONE]
        return self._request_reads(chosen, orders, now_ms)

    def _find_oldest(
        self, endpoints: Sequence[Endpoint], most: int
    ) -> Sequence[Endpoint]:
        """Return those that were read longest ago."""
        if len(endpoints) <= most:
            return endpoints
        requested_ms = self._requested_ms
        return nsmallest(
            most, endpoints, key=lambda each: requested_ms.get(each.name, float("-inf"))
        )

    def _request_reads(
        self, chosen: Sequence[Endpoint], orders: PoolOrders, now_ms: float
    ) -> list[ReadState]:
        for endpoint in chosen:
            self._requested_ms[endpoint.name] = now_ms
            orders.record_read_sent(endpoint.name, now_ms)
        return [ReadState(each.name, each.address) for each in chosen]
