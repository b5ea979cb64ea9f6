"""Keep the queue and the limits of one pool or service on one node."""

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
    """A request that was let in and is not over."""

    request: Request
    endpoint: EndpointName | None = None
    overdue_ms: float = float("inf")
    """When a first token that hasn't come tells that the endpoint is too full."""


class Backend:
    """One pool or service: its queue, what runs there and its endpoints' limits.

    Invariant: `capacity` is the sum of the usable endpoints' limits; it is kept, not
    worked out, since each arrival asks for it and a pool may have thousands.
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
        """Take over how many requests one endpoint runs, over all nodes."""
        self._max_running = max_running
        # Each node starts with twice its even share: were it to start with the
        # whole, all nodes together would fill an engine's queue many times over.
        start = INITIAL_SHARE_FACTOR * max_running / node_count
        # Limits that started before the VM list was read are far too high; those of
        # a fleet that changes by a few nodes have been learned and stay.
        is_much_lower = start < self._start / 2
        self._start = start
        if is_much_lower:
            for limit in self._limits.values():
                limit.lower_to(start)

    def set_usable(self, names: Sequence[EndpointName]) -> None:
        """Take over which endpoints may get requests; keep limits in use."""
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
        """Tell whether any endpoint may get requests."""
        return bool(self._usable)

    def find_limit(self, name: EndpointName) -> ConcurrencyLimit:
        """Return the limit of an endpoint, a new one if it has none."""
        limit = self._limits.get(name)
        if limit is None:
            target_ms = self._target_wait_ms
            limit = ConcurrencyLimit(self._max_running, self._start, target_ms)
            self._limits[name] = limit
        return limit

    def has_room(self, name: EndpointName) -> bool:
        """Return whether an endpoint may get one more request."""
        limit = self._limits.get(name)
        return limit is None or limit.has_room()

    def record_wait(self, name: EndpointName, wait_ms: float, now_ms: float) -> None:
        """Let an endpoint's limit follow the wait before a first token."""
        limit = self.find_limit(name)
        before = limit.limit
        limit.record_wait(wait_ms, now_ms)
        self._shift_capacity(name, limit.limit - before)

    def note_failure(self, name: EndpointName, now_ms: float) -> None:
        """Lower the limit of an endpoint at which a dispatch failed or is overdue."""
        limit = self.find_limit(name)
        before = limit.limit
        limit.note_failure(now_ms)
        self._shift_capacity(name, limit.limit - before)

    def count_running(self) -> int:
        """Return how many admitted requests are not over."""
        return sum(self.running.values())

    def begin(self, customer: CustomerName) -> None:
        """Count a request that was let in."""
        self.running[customer] = self.running.get(customer, 0) + 1

    def end(self, customer: CustomerName, now_ms: float) -> None:
        """Count a request that is over."""
        self.running[customer] -= 1
        if not self.running[customer]:
            del self.running[customer]
        self.drain.record_event(now_ms)

    def move(self, admitted: AdmittedRequest, endpoint: EndpointName | None) -> None:
        """Count a request at another endpoint, or at none any more."""
        if admitted.endpoint is not None:
            self.find_limit(admitted.endpoint).in_flight -= 1
        if endpoint is not None:
            self.find_limit(endpoint).in_flight += 1
        admitted.endpoint = endpoint

    def _shift_capacity(self, name: EndpointName, change: int) -> None:
        if name in self._usable:
            self.capacity += change
