"""Join duties and orders: what one node does for the pools whose duty it holds."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence, Set
from typing import Final

import msgspec

from toucanyard.configuration import Configuration, Endpoint, Pool
from toucanyard.core_events import AppendToLog, LogRead
from toucanyard.duties import DUTY_PREFIX, Duties
from toucanyard.names import (
    EndpointName,
    NodeId,
    NodeName,
    PoolName,
)
from toucanyard.order_messages import EndpointState, OrderOutcome, ReadState, SendOrder
from toucanyard.order_reads import StateReads
from toucanyard.orders import PoolOrders

_READ_MS: Final = 500.0
"""Time between two choices of what to read."""
_PLAN_MS: Final = 250.0
_IDLE_PLAN_MS: Final = 1_000.0
"""Time between two plans without news; a plan looks at each endpoint of the pool."""

FindUnusable = Callable[[Sequence[Endpoint], float], Set[EndpointName]]
OrderAction = AppendToLog | SendOrder | ReadState


class _Held(msgspec.Struct):
    orders: PoolOrders
    endpoints: tuple[Endpoint, ...] | None = None
    read_ms: float = float("-inf")
    planned_ms: float = float("-inf")
    has_updates: bool = True
    reads: StateReads = msgspec.field(default_factory=StateReads)


class OrderDuties:
    """Hold the duties of one node and plan the orders that go with them.

    Invariant: a plan belongs to one fencing number; a new one starts from nothing.
    """

    def __init__(self, identity: NodeId, rng: random.Random) -> None:
        self.duties = Duties(identity, rng)
        self._held: dict[PoolName, _Held] = {}
        self._pool_of: dict[EndpointName, PoolName] = {}
        self._next_offset = 0

    def read_log(self, read: LogRead, now_ms: float) -> None:
        """Judge the duties' records of a part of the log."""
        if read.from_offset == 0 and self._next_offset == 0:
            self.duties.note_start(0, 0)
        # What is read again was judged already; a second time, an old claim of a duty
        # would come after newer ones.
        records = [each for each in read.records if each.offset >= self._next_offset]
        self._next_offset = max(self._next_offset, read.next_offset)
        for record in records:
            self.duties.apply_record(record.offset, record.at_ms, record.text, now_ms)
        if read.next_offset >= read.head:
            self.duties.note_head(read.asked_ms)

    def owns(self, record_id: str) -> bool:
        """Tell whether a log record of this node concerns duties."""
        return record_id.startswith(DUTY_PREFIX)

    def tick(
        self,
        configuration: Configuration,
        nodes: list[NodeName],
        may_order: bool,
        now_ms: float,
        find_unusable: FindUnusable | None = None,
    ) -> list[OrderAction]:
        """Return what to append, read and order now; wanted every 100 ms or so.

        `may_order` is false while the configuration may be outdated: orders under an
        old version could undo those of a newer one.
        """
        if not may_order:
            return []
        actions: list[OrderAction] = []
        names = [pool.name for pool in configuration.pools]
        actions += self.duties.tick(names, nodes, now_ms)
        held = {duty.pool: duty for duty in self.duties.find_held(now_ms)}
        for name in set(self._held) - set(held):
            del self._held[name]
        for pool in configuration.pools:
            duty = held.get(pool.name)
            if duty is None:
                continue
            entry = self._held.get(pool.name)
            if entry is None or entry.orders.fence != duty.fence:
                orders = PoolOrders(pool.name, duty.fence, now_ms)
                entry = self._held[pool.name] = _Held(orders)
            if entry.endpoints is not pool.endpoints:
                entry.endpoints = pool.endpoints
                for endpoint in pool.endpoints:
                    self._pool_of[endpoint.name] = pool.name
            if find_unusable is not None:
                entry.orders.note_unusable(find_unusable(pool.endpoints, now_ms))
            actions += _plan(pool, entry, duty.until_ms, now_ms)
        return actions

    def note_state(
        self, endpoint: EndpointName, state: EndpointState, asked_ms: float
    ) -> None:
        """Take in the state that an endpoint gave when asked at `asked_ms`."""
        entry = self._find_entry(endpoint)
        if entry is not None:
            entry.orders.note_state(endpoint, state, asked_ms)
            entry.has_updates = True

    def note_outcome(
        self, sent: SendOrder, outcome: OrderOutcome, now_ms: float
    ) -> None:
        """Take in what became of an order; a stale number ends the duty here."""
        entry = self._held.get(sent.pool)
        if entry is None or entry.orders.fence != sent.order.fence:
            return
        entry.has_updates = True
        order_id = sent.order.order_id
        if entry.orders.note_outcome(sent.endpoint, order_id, outcome, now_ms):
            self.duties.give_up(sent.pool)

    def _find_entry(self, endpoint: EndpointName) -> _Held | None:
        pool = self._pool_of.get(endpoint)
        return None if pool is None else self._held.get(pool)


def _plan(
    pool: Pool, entry: _Held, until_ms: float, now_ms: float
) -> list[SendOrder | ReadState]:
    actions: list[SendOrder | ReadState] = []
    plan_ms = _PLAN_MS if entry.has_updates else _IDLE_PLAN_MS
    if now_ms - entry.planned_ms >= plan_ms:
        entry.planned_ms = now_ms
        entry.has_updates = False
        actions += entry.orders.plan(pool, until_ms, now_ms)
    read_ms = _IDLE_PLAN_MS if entry.reads.is_quiet else _READ_MS
    if now_ms - entry.read_ms >= read_ms:
        entry.read_ms = now_ms
        actions += entry.reads.choose(pool, entry.orders, now_ms)
    return actions
