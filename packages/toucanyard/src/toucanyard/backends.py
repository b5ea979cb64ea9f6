"""Hold the queue and the concurrency limits of one pool or service on one node."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

import msgspec

from toucanyard.concurrency_limit import ConcurrencyLimit
from toucanyard.drain_rate import DrainRate
from toucanyard.fair_queue import FairQueue
from toucanyard.names import CustomerName, EndpointName
from toucanyard.requests import Request

INITIAL_SHARE_FACTOR: Final = 2.0


class AdmittedRequest(msgspec.Struct):
    """A request that was admitted and has not ended."""

    request: Request
    endpoint: EndpointName | None = None
    overdue_ms: float = float("inf")
    """When a missing first token counts as a sign that the endpoint is overloaded."""


class Backend:
    """One pool or service: its queue, running requests and endpoints' limits.

    Invariant: `capacity` is the sum of the usable endpoints' limits. It is maintained
    incrementally, since each arrival reads it and a pool may have thousands of
    endpoints.
    """

    __slots__ = (
        "_limits",
        "_max_running",
        "_start",
        "_target_wait_ms",
        "_usable",
        "capacity",
        "drain",
        "queue",
        "running",
    )

    def __init__(self, max_running: int, target_wait_ms: float) -> None:
        self.queue = FairQueue()
        self.drain = DrainRate()
        self.capacity = 0
        self._usable: frozenset[EndpointName] = frozenset()
        self.running: dict[CustomerName, int] = {}
        self._max_running = max_running
        self._start = float(max_running)
        self._target_wait_ms = target_wait_ms
        self._limits: dict[EndpointName, ConcurrencyLimit] = {}

    def set_max_running(self, max_running: int, node_count: int) -> None:
        """Set how many requests one endpoint runs, over all nodes."""
        self._max_running = max_running
        # Each node starts with twice its even share. If each started with the whole
        # limit, the nodes together would fill an engine's queue many times over.
        start = INITIAL_SHARE_FACTOR * max_running / node_count
        # Limits that were initialized before the VM list was read are far too high.
        # When a fleet changes by a few nodes, the learned limits are kept.
        is_much_lower = start < self._start / 2
        self._start = start
        if is_much_lower:
            for limit in self._limits.values():
                limit.lower_to(start)

    def set_usable(self, names: Sequence[EndpointName]) -> None:
        """Set which endpoints may receive requests; keep limits that are in use."""
        self._usable = frozenset(names)
        for name in names:
            self.find_limit(name).max_limit = self._max_running
        gone = [
            name
            for name, limit in self._limits.items()
            if name not in self._usable and not limit.in_flight
        ]
        for name in gone:
            del self._limits[name]
        self.capacity = sum(self._limits[name].limit for name in self._usable)

    def has_usable(self) -> bool:
        """Return whether any endpoint may receive requests."""
        return bool(self._usable)

    def find_limit(self, name: EndpointName) -> ConcurrencyLimit:
        """Return the limit of an endpoint, creating it if necessary."""
        limit = self._limits.get(name)
        if limit is None:
            target_ms = self._target_wait_ms
            limit = ConcurrencyLimit(self._max_running, self._start, target_ms)
            self._limits[name] = limit
        return limit

    def has_room(self, name: EndpointName) -> bool:
        """Return whether an endpoint may receive one more request."""
        limit = self._limits.get(name)
        return limit is None or limit.has_room()

    def record_wait(self, name: EndpointName, wait_ms: float, now_ms: float) -> None:
        """Adjust an endpoint's limit to the wait before a first token."""
        limit = self.find_limit(name)
        before = limit.limit
        limit.record_wait(wait_ms, now_ms)
        self._shift_capacity(name, limit.limit - before)

    def record_failure(self, name: EndpointName, now_ms: float) -> None:
        """Lower the limit of an endpoint after a failed or overdue dispatch."""
        limit = self.find_limit(name)
        before = limit.limit
        limit.record_failure(now_ms)
        self._shift_capacity(name, limit.limit - before)

    def count_running(self) -> int:
        """Return how many admitted requests have not ended."""
        return sum(self.running.values())

    def begin(self, customer: CustomerName) -> None:
        """Count a request that was admitted."""
        self.running[customer] = self.running.get(customer, 0) + 1

    def end(self, customer: CustomerName, now_ms: float) -> None:
        """Count a request that has ended."""
        self.running[customer] -= 1
        if not self.running[customer]:
            del self.running[customer]
        self.drain.record_event(now_ms)

    def move(self, admitted: AdmittedRequest, endpoint: EndpointName | None) -> None:
        """Count a request at another endpoint, or at none."""
        if admitted.endpoint is not None:
            self.find_limit(admitted.endpoint).in_flight -= 1
        if endpoint is not None:
            self.find_limit(endpoint).in_flight += 1
        admitted.endpoint = endpoint

    def _shift_capacity(self, name: EndpointName, change: int) -> None:
        if name in self._usable:
            self.capacity += change
