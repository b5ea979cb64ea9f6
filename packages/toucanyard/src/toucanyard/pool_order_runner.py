"""Run the orders of one node for the pools whose leases it holds."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence, Set
from typing import Final

import msgspec

from toucanyard.configuration import Configuration, Endpoint, Pool
from toucanyard.core_events import AppendToLog, LogRead
from toucanyard.names import (
    EndpointName,
    NodeId,
    NodeName,
    PoolName,
)
from toucanyard.order_messages import EndpointState, OrderOutcome, ReadState, SendOrder
from toucanyard.order_reads import StateReads
from toucanyard.orders import PoolOrders
from toucanyard.pool_leases import POOL_LEASE_PREFIX, PoolLeases

_READ_MS: Final = 500.0
"""Time between two selections of the states to read."""
_PLAN_MS: Final = 250.0
_IDLE_PLAN_MS: Final = 1_000.0
"""Time between two plans while no new state arrives; a plan examines each endpoint."""

FindUnusable = Callable[[Sequence[Endpoint], float], Set[EndpointName]]
OrderAction = AppendToLog | SendOrder | ReadState


class _HeldPool(msgspec.Struct):
    orders: PoolOrders
    endpoints: tuple[Endpoint, ...] | None = None
    read_ms: float = float("-inf")
    planned_ms: float = float("-inf")
    has_new_state: bool = True
    reads: StateReads = msgspec.field(default_factory=StateReads)


class PoolOrderRunner:
    """Hold the pool leases of one node and plan the orders for these pools.

    Invariant: a plan belongs to one fencing number; a new number starts an empty plan.
    """

    def __init__(self, identity: NodeId, rng: random.Random) -> None:
        self.leases = PoolLeases(identity, rng)
        self._held_pools: dict[PoolName, _HeldPool] = {}
        self._pool_of: dict[EndpointName, PoolName] = {}
        self._next_offset = 0

    def read_log(self, read: LogRead, now_ms: float) -> None:
        """Replay the lease records of a part of the log."""
        if read.from_offset == 0 and self._next_offset == 0:
            self.leases.set_read_start(0, 0)
        # Records that are read again are skipped, since an old claim would otherwise be
        # replayed after newer ones.
        records = [each for each in read.records if each.offset >= self._next_offset]
        self._next_offset = max(self._next_offset, read.next_offset)
        for record in records:
            self.leases.apply_record(record.offset, record.at_ms, record.text, now_ms)
        if read.next_offset >= read.head:
            self.leases.update_log_end(read.asked_ms)

    def owns(self, record_id: str) -> bool:
        """Return whether a log record of this node concerns pool leases."""
        return record_id.startswith(POOL_LEASE_PREFIX)

    def tick(
        self,
        configuration: Configuration,
        nodes: list[NodeName],
        may_order: bool,
        now_ms: float,
        find_unusable: FindUnusable | None = None,
    ) -> list[OrderAction]:
        """Return what to append, read and order now; to be called every 100 ms or so.

        `may_order` is false while the configuration may be outdated: orders under an
        old version could revert those of a newer one.
        """
        if not may_order:
            return []
        actions: list[OrderAction] = []
        names = [pool.name for pool in configuration.pools]
        actions += self.leases.tick(names, nodes, now_ms)
        held = {lease.pool: lease for lease in self.leases.find_held(now_ms)}
        for name in set(self._held_pools) - set(held):
            del self._held_pools[name]
        for pool in configuration.pools:
            lease = held.get(pool.name)
            if lease is None:
                continue
            entry = self._held_pools.get(pool.name)
            if entry is None or entry.orders.fence != lease.fence:
                orders = PoolOrders(pool.name, lease.fence, now_ms)
                entry = self._held_pools[pool.name] = _HeldPool(orders)
            if entry.endpoints is not pool.endpoints:
                entry.endpoints = pool.endpoints
                for endpoint in pool.endpoints:
                    self._pool_of[endpoint.name] = pool.name
            if find_unusable is not None:
                entry.orders.set_unusable(find_unusable(pool.endpoints, now_ms))
            actions += _plan(pool, entry, lease.until_ms, now_ms)
        return actions

    def record_state(
        self, endpoint: EndpointName, state: EndpointState, asked_ms: float
    ) -> None:
        """Record the state that an endpoint returned to a request at `asked_ms`."""
        entry = self._find_entry(endpoint)
        if entry is not None:
            entry.orders.record_state(endpoint, state, asked_ms)
            entry.has_new_state = True

    def record_outcome(
        self, sent: SendOrder, outcome: OrderOutcome, now_ms: float
    ) -> None:
        """Record the outcome of an order; a stale fence ends this node's lease."""
        entry = self._held_pools.get(sent.pool)
        if entry is None or entry.orders.fence != sent.order.fence:
            return
        entry.has_new_state = True
        order_id = sent.order.order_id
        if entry.orders.record_outcome(sent.endpoint, order_id, outcome, now_ms):
            self.leases.give_up(sent.pool)

    def _find_entry(self, endpoint: EndpointName) -> _HeldPool | None:
        pool = self._pool_of.get(endpoint)
        return None if pool is None else self._held_pools.get(pool)


def _plan(
    pool: Pool, entry: _HeldPool, until_ms: float, now_ms: float
) -> list[SendOrder | ReadState]:
    actions: list[SendOrder | ReadState] = []
    plan_ms = _PLAN_MS if entry.has_new_state else _IDLE_PLAN_MS
    if now_ms - entry.planned_ms >= plan_ms:
        entry.planned_ms = now_ms
        entry.has_new_state = False
        actions += entry.orders.plan(pool, until_ms, now_ms)
    read_ms = _IDLE_PLAN_MS if entry.reads.is_quiet else _READ_MS
    if now_ms - entry.read_ms >= read_ms:
        entry.read_ms = now_ms
        actions += entry.reads.choose(pool, entry.orders, now_ms)
    return actions
