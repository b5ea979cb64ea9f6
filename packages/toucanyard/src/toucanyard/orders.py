"""Plan the orders that bring the endpoints of one pool to their desired state.

No order is assumed to have succeeded: after each one the endpoint's state is read, and
a new order is sent if it still differs. Orders are conditional on the weights that were
read, so a late one has no effect on an endpoint that has changed since.
"""

from __future__ import annotations

import enum
from collections.abc import Set
from typing import Final

import msgspec

from toucanyard.configuration import Endpoint, Pool
from toucanyard.names import EndpointName, PoolName
from toucanyard.order_messages import (
    EndpointState,
    Order,
    OrderKind,
    OrderOutcome,
    SendOrder,
)

MAX_LOADS: Final = 2
_WARM_SHARE: Final = 0.6
"""Share of the other replicas that must be warm while one loads."""
_WARM_MS: Final = 5_000.0
"""How long a replica counts as cold after its load."""
_FRESH_MS: Final = 2_000.0
"""Maximum age of a state on which an order is based."""
_UNKNOWN_STATE_MS: Final = 15_000.0
"""How long an endpoint whose state can't be read is assumed to be loading."""
_MIN_ORDER_INTERVAL_MS: Final = 1_000.0
"""Minimum time between two orders to one endpoint."""
_LOST_MS: Final = 2_000.0
"""How long an order without an answer may still be in transit."""
_STARTS_PER_S: Final = 2.0
"""Maximum rate of loads started by one holder; the weight store supports few."""


class _Replica(msgspec.Struct):
    """What the lease holder knows of one endpoint."""

    state: EndpointState | None = None
    asked_ms: float = float("-inf")
    order_id: str | None = None
    """The order whose answer is awaited."""
    ordered_ms: float = float("-inf")
    is_load_open: bool = False
    """A load was ordered, and no state read since then shows its result."""
    cold_until_ms: float = float("-inf")
    unanswered_ms: float | None = None
    """When it was first read after its last answer."""


class _PoolCounts(msgspec.Struct, frozen=True):
    """How many endpoints of a pool may be loading, are reachable, and serve warm."""

    loading: int
    reachable: int
    warm: int


class ReadReason(enum.Enum):
    """Why the state of an endpoint is to be read."""

    NONE = enum.auto()
    """As desired, or dead: read seldom."""
    ORDERED = enum.auto()
    """An order is under way, and only a state shows its result."""
    UNKNOWN = enum.auto()
    """The state is unknown or its fence is too low; this blocks all loads."""
    CHANGING = enum.auto()
    """An order is to be sent, or the endpoint may be dead."""


class PoolOrders:
    """Plan the orders of one pool under one fencing number.

    Invariants: at most MAX_LOADS replicas are or may be loading when a load is ordered;
    no load is ordered until each endpoint that checks fences has this number, so that
    orders of an earlier holder can't start further loads.
    """

    def __init__(self, pool: PoolName, fence: int, now_ms: float) -> None:
        self.pool = pool
        self.fence = fence
        self._started_ms = now_ms
        self._replicas: dict[EndpointName, _Replica] = {}
        self._number = 0
        self._load_tokens = _STARTS_PER_S
        self._tokens_updated_ms = now_ms
        self._unusable: Set[EndpointName] = frozenset()
        self._counts: _PoolCounts | None = None
        """Computed once per plan, and again after each order of the plan."""

    def record_state(
        self, endpoint: EndpointName, state: EndpointState, asked_ms: float
    ) -> None:
        """Record the state that an endpoint returned to a request at `asked_ms`."""
        replica = self._replicas.setdefault(endpoint, _Replica())
        if asked_ms <= replica.asked_ms:
            return
        before = replica.state
        if before is not None and _has_loaded(before, state):
            replica.cold_until_ms = asked_ms + _WARM_MS
        replica.state = state
        replica.asked_ms = asked_ms
        replica.unanswered_ms = None
        if replica.order_id is None and asked_ms > replica.ordered_ms:
            replica.is_load_open = False

    def record_outcome(
        self,
        endpoint: EndpointName,
        order_id: str,
        outcome: OrderOutcome,
        now_ms: float,
    ) -> bool:
        """Record the outcome of an order; return whether there is a newer holder."""
        replica = self._replicas.get(endpoint)
        if replica is None or replica.order_id != order_id:
            return outcome is OrderOutcome.STALE_FENCE
        replica.order_id = None
        # Whatever the outcome, only a state read from now on shows what is loaded.
        replica.ordered_ms = now_ms
        if outcome is OrderOutcome.LOST:
            # It may still be in transit and start a load after the next read.
            replica.ordered_ms = now_ms + _LOST_MS
        if outcome is OrderOutcome.NOT_SENT:
            replica.is_load_open = False
        return outcome is OrderOutcome.STALE_FENCE

    def group_by_read_reason(
        self, pool: Pool, now_ms: float
    ) -> dict[ReadReason, list[Endpoint]]:
        """Return the endpoints by the reason to read their states."""
        found: dict[ReadReason, list[Endpoint]] = {need: [] for need in ReadReason}
        for each in pool.endpoints:
            found[self._find_read_reason(pool, each.name, now_ms)].append(each)
        return found

    def record_read_sent(self, endpoint: EndpointName, now_ms: float) -> None:
        """Record that a read of an endpoint's state is sent now."""
        replica = self._replicas.setdefault(endpoint, _Replica())
        if replica.unanswered_ms is None:
            replica.unanswered_ms = now_ms

    def _find_read_reason(
        self, pool: Pool, name: EndpointName, now_ms: float
    ) -> ReadReason:
        replica = self._replicas.get(name, _Replica())
        if self._is_dead(replica, now_ms):
            # In a large pool some replica is always dead. It must not be read at the
            # rate used during a rollout.
            return ReadReason.NONE
        state = replica.state
        if state is None:
            return ReadReason.UNKNOWN
        if replica.order_id or replica.is_load_open or state.is_loading:
            return ReadReason.ORDERED
        if state.checks_fence and state.fence < self.fence:
            return ReadReason.UNKNOWN
        is_as_desired = _find_change(pool, state) is None
        return (
            ReadReason.NONE
            if is_as_desired and name not in self._unusable
            else (ReadReason.CHANGING)
        )

    def set_unusable(self, names: Set[EndpointName]) -> None:
        """Set which endpoints get no requests and so don't count as capacity."""
        self._unusable = names

    def plan(self, pool: Pool, until_ms: float, now_ms: float) -> list[SendOrder]:
        """Return the orders to send now; none may be sent after `until_ms`."""
        if now_ms >= until_ms:
            return []
        kept = {endpoint.name for endpoint in pool.endpoints}
        for name in set(self._replicas) - kept:
            del self._replicas[name]
        orders: list[SendOrder] = []
        self._counts = None
        is_fenced = self._is_fenced(pool, now_ms)
        for endpoint in pool.endpoints:
            replica = self._replicas.setdefault(endpoint.name, _Replica())
            order = self._plan_one(pool, endpoint, replica, is_fenced, now_ms)
            if order is None:
                continue
            replica.order_id = order.order_id
            replica.ordered_ms = now_ms
            replica.is_load_open = order.kind is OrderKind.LOAD
            self._counts = None
            orders.append(
                SendOrder(self.pool, endpoint.name, endpoint.address, order, until_ms)
            )
        return orders

    def _plan_one(
        self,
        pool: Pool,
        endpoint: Endpoint,
        replica: _Replica,
        is_fenced: bool,
        now_ms: float,
    ) -> Order | None:
        state = replica.state
        if state is None or not self._may_order(replica, now_ms):
            return None
        if state.checks_fence and state.fence < self.fence:
            # This order only raises the fence, so that the endpoint rejects late orders
            # of an earlier holder.
            return self._build(OrderKind.ROLE, state, role=state.role)
        change = _find_change(pool, state)
        if change is None:
            return None
        if change is not OrderKind.LOAD:
            return self._build_role_or_adapter(change, pool, state)
        if not is_fenced or not self._may_load(pool, endpoint, now_ms):
            return None
        self._load_tokens -= 1
        return self._build(
            OrderKind.LOAD,
            state,
            model=pool.model,
            weights_version=pool.weights_version,
        )

    def _may_order(self, replica: _Replica, now_ms: float) -> bool:
        state = replica.state
        return (
            state is not None
            and not state.is_loading
            and replica.order_id is None
            and replica.asked_ms > replica.ordered_ms
            and now_ms - replica.asked_ms <= _FRESH_MS
            and now_ms - replica.ordered_ms >= _MIN_ORDER_INTERVAL_MS
        )

    def _is_fenced(self, pool: Pool, now_ms: float) -> bool:
        """Return whether orders of earlier holders can no longer start a load."""
        for endpoint in pool.endpoints:
            replica = self._replicas.get(endpoint.name)
            if replica is None or replica.state is None:
                if now_ms - self._started_ms < _UNKNOWN_STATE_MS:
                    return False
                continue
            is_older = replica.state.checks_fence and replica.state.fence < self.fence
            if is_older and now_ms - replica.asked_ms < _UNKNOWN_STATE_MS:
                return False
        return True

    def _may_load(self, pool: Pool, endpoint: Endpoint, now_ms: float) -> bool:
        passed_s = (now_ms - self._tokens_updated_ms) / 1000
        self._load_tokens = min(
            _STARTS_PER_S, self._load_tokens + passed_s * _STARTS_PER_S
        )
        self._tokens_updated_ms = now_ms
        if self._load_tokens < 1:
            return False
        if self._counts is None:
            self._counts = self._count(pool, now_ms)
        counts = self._counts
        name = endpoint.name
        if counts.loading - self._may_be_loading(name, now_ms) >= MAX_LOADS:
            return False
        reachable = counts.reachable - self._is_reachable(name, now_ms)
        warm = counts.warm - self._is_serving(name, now_ms)
        return warm >= min(reachable, max(1, int(_WARM_SHARE * reachable)))

    def _count(self, pool: Pool, now_ms: float) -> _PoolCounts:
        names = [each.name for each in pool.endpoints]
        return _PoolCounts(
            sum(self._may_be_loading(name, now_ms) for name in names),
            sum(self._is_reachable(name, now_ms) for name in names),
            sum(self._is_serving(name, now_ms) for name in names),
        )

    def _is_serving(self, name: EndpointName, now_ms: float) -> bool:
        return self._is_reachable(name, now_ms) and self._is_warm(name, now_ms)

    def _may_be_loading(self, name: EndpointName, now_ms: float) -> bool:
        replica = self._replicas.get(name)
        if replica is None or replica.state is None:
            return now_ms - self._started_ms < _UNKNOWN_STATE_MS
        if replica.state.is_loading or replica.is_load_open:
            # An endpoint that died while loading never reports the result.
            return (
                now_ms - max(replica.asked_ms, replica.ordered_ms) < _UNKNOWN_STATE_MS
            )
        return False

    def _is_reachable(self, name: EndpointName, now_ms: float) -> bool:
        """Return whether an endpoint counts for the capacity to be kept.

        Dead endpoints don't count; otherwise a pool with many of them would never get
        new weights.
        """
        replica = self._replicas.get(name)
        if replica is None or replica.state is None:
            return False
        return not self._is_dead(replica, now_ms)

    def _is_dead(self, replica: _Replica, now_ms: float) -> bool:
        since_ms = replica.unanswered_ms
        return since_ms is not None and now_ms - since_ms >= _UNKNOWN_STATE_MS

    def _is_warm(self, name: EndpointName, now_ms: float) -> bool:
        replica = self._replicas.get(name)
        if replica is None or replica.state is None or name in self._unusable:
            return False
        since_ms = replica.unanswered_ms
        return (
            not replica.state.is_loading
            and not replica.is_load_open
            and now_ms >= replica.cold_until_ms
            and (since_ms is None or now_ms - since_ms <= _FRESH_MS)
        )

    def _build_role_or_adapter(
        self, change: OrderKind, pool: Pool, state: EndpointState
    ) -> Order:
        if change is OrderKind.ROLE:
            return self._build(OrderKind.ROLE, state, role=pool.role)
        missing = [each for each in pool.adapters if each not in state.adapters]
        return self._build(OrderKind.ADAPTER, state, adapter=missing[0])

    def _build(
        self,
        kind: OrderKind,
        state: EndpointState,
        *,
        model: str = "",
        weights_version: str = "",
        adapter: str = "",
        role: str = "",
    ) -> Order:
        # Each attempt has its own id. If attempts for one target shared an id, an
        # endpoint whose weights changed since would report the order as already done.
        self._number += 1
        return Order(
            order_id=f"{self.pool}-{self.fence}-{self._number}",
            fence=self.fence,
            kind=kind,
            model=model,
            adapter=adapter,
            weights_version=weights_version,
            role=role,
            expected_weights_version=state.weights_version,
        )


def _find_change(pool: Pool, state: EndpointState) -> OrderKind | None:
    if (state.model, state.weights_version) != (pool.model, pool.weights_version):
        return OrderKind.LOAD
    if state.role != pool.role:
        return OrderKind.ROLE
    if set(pool.adapters) - set(state.adapters):
        return OrderKind.ADAPTER
    return None


def _has_loaded(before: EndpointState, after: EndpointState) -> bool:
    return (before.incarnation, before.model, before.weights_version) != (
        after.incarnation,
        after.model,
        after.weights_version,
    )
