"""Simulate a model engine: batched steps, crashes, weight loads and orders."""

from __future__ import annotations

import random
import time
from typing import Final

import msgspec
import trio

from toucanyard.names import Address
from toucanyard_node.http_client import ConnectionFailedError, fetch
from toucanyard_standins.engine_faults import (
    Crash,
    EngineCounters,
    EngineFault,
    EngineFaults,
    LoseCacheEvents,
)
from toucanyard_standins.engine_orders import (
    Order,
    OrderKind,
    OrderRefusal,
    compute_weights,
    find_refusal,
)
from toucanyard_standins.engine_state import (
    EngineOptions,
    EngineState,
    LoadReport,
    Weights,
)
from toucanyard_standins.faulty_listener import FaultyListener
from toucanyard_standins.model_time import ModelTime
from toucanyard_standins.network_faults import (
    CutConnections,
    GoDown,
    SilenceConnections,
    apply_network_fault,
)
from toucanyard_standins.platform_weights import LoadPermit

_MIN_STEP_MS: Final = 0.1
_STORE_RETRY_MS: Final = 100
_MAX_ORDERS: Final = 100


class _PendingOrder:
    """An accepted order and the state it applies to.

    A crash during the order replaces the engine's state, so the order then has no
    effect on the new incarnation.
    Invariant: `done` is set after the order was applied to `state`.
    """

    __slots__ = ("done", "kind", "state", "weights")

    def __init__(self, state: EngineState, kind: OrderKind, weights: Weights) -> None:
        self.state = state
        self.kind = kind
        self.weights = weights
        self.done = trio.Event()


class Engine:
    """One simulated engine; its tasks run in the nursery of `run`.

    Invariant: only a crash replaces `state`, so a task that finds another state
    after a wait must discard its result.
    """

    def __init__(self, options: EngineOptions, listener: FaultyListener) -> None:
        self.options = options
        self.listener = listener
        self.faults = EngineFaults()
        self.counters = EngineCounters()
        self.model_time = ModelTime(options.time_scale)
        self.load = LoadReport()
        self.load_sampled_ms = 0.0
        self._random = random.Random(options.seed)
        self._lost_event_share = options.lost_event_share
        self._has_work = trio.Event()
        self._order_sender, self._order_receiver = trio.open_memory_channel[
            _PendingOrder
        ](_MAX_ORDERS)
        self.state = self._build_state()

    def _build_state(self) -> EngineState:
        incarnation = f"{self.options.name}-{time.time_ns():x}"
        state = EngineState(self.options, incarnation, self._random)
        state.cache_events.lost_share = self._lost_event_share
        self.counters.incarnation = incarnation
        self._sample_load(state)
        return state

    async def run(self) -> None:
        """Compute steps, sample the load and execute orders until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._compute)
            nursery.start_soon(self._report_load)
            async for pending in self._order_receiver:
                nursery.start_soon(self._execute, pending)

    def wake_computation(self) -> None:
        """Wake the computing task after a request was submitted."""
        self._has_work.set()

    async def _compute(self) -> None:
        while True:
            if self.state.batch.is_idle():
                self._has_work = trio.Event()
                await self._has_work.wait()
            state = self.state
            step = state.plan_step()
            duration_ms = max(step.duration_ms * self.faults.slow_factor, _MIN_STEP_MS)
            await self.model_time.sleep_ms(duration_ms)
            if state is self.state:
                state.apply_step(step, self.model_time.now_ms())

    async def _report_load(self) -> None:
        """Sample the load periodically, so that reports lag behind it."""
        while True:
            await self.model_time.sleep_ms(self.options.load_lag_ms)
            self._sample_load(self.state)

    def _sample_load(self, state: EngineState) -> None:
        self.load = state.compute_load()
        self.load_sampled_ms = self.model_time.now_ms()

    async def count_event(self, is_of_resumed: bool) -> None:
        """Count a sent event and trigger faults that are due after it."""
        faults = self.faults
        self.counters.events_sent += 1
        is_exempt = is_of_resumed and faults.die_spares_resumed
        if faults.die_after_events is not None and not is_exempt:
            faults.die_after_events -= 1
            if faults.die_after_events <= 0:
                faults.die_after_events = None
                await self.crash(faults.die_down_ms)
        if faults.silence_after_events is not None:
            faults.silence_after_events -= 1
            if faults.silence_after_events <= 0:
                faults.silence_after_events = None
                self.listener.silence()

    async def crash(self, down_ms: float) -> None:
        """Lose all state, refuse connections for a while and restart empty."""
        self.counters.crashes += 1
        old = self.state
        self._add_block_counts(old)
        self.state = self._build_state()
        for stream in old.streams.values():
            stream.cancel()
        self.listener.go_down(down_ms)
        await self.listener.cut()

    def compute_counters(self) -> EngineCounters:
        """Return the counters, including the blocks of the current incarnation."""
        counters = msgspec.structs.replace(self.counters)
        counters.computed_blocks += self.state.computed_blocks
        counters.matched_blocks += self.state.matched_blocks
        counters.open_connections = len(self.listener.streams)
        return counters

    def _add_block_counts(self, state: EngineState) -> None:
        self.counters.computed_blocks += state.computed_blocks
        self.counters.matched_blocks += state.matched_blocks

    async def apply_fault(self, fault: EngineFault) -> None:
        """Apply one fault, or switch it on or off."""
        match fault:
            case Crash(down_ms):
                await self.crash(down_ms)
            case LoseCacheEvents(share):
                self._lost_event_share = share
                self.state.cache_events.lost_share = share
            case SilenceConnections() | CutConnections() | GoDown():
                await apply_network_fault(fault, self.listener)
            case _:
                self.faults.switch(fault)

    async def execute_order(self, order: Order) -> OrderRefusal | None:
        """Execute an order and wait for its end, or return its refusal."""
        state = self.state
        self.counters.orders += 1
        if order.order_id in state.executed_orders:
            return None
        refusal = find_refusal(order, state, self.options.checks_fence)
        if refusal is not None:
            return refusal
        state.executed_orders.add(order.order_id)
        state.fence = max(state.fence, order.fence)
        weights = compute_weights(order, state.weights)
        state.is_loading = True
        # A task of the engine executes the order, so that it completes even if the
        # connection of the sender closes.
        pending = _PendingOrder(state, order.kind, weights)
        self._order_sender.send_nowait(pending)
        await pending.done.wait()
        return None

    async def _execute(self, pending: _PendingOrder) -> None:
        if pending.kind is OrderKind.LOAD:
            await self._load_weights(pending.weights)
        pending.state.load(pending.weights, self.model_time.now_ms())
        pending.state.is_loading = False
        pending.done.set()

    async def _load_weights(self, weights: Weights) -> None:
        """Wait for a permit of the weight store, then for the duration of the load."""
        load_ms = self.options.load_weights_ms
        if self.options.weight_store:
            load_ms *= await self._wait_for_load_permit(weights)
        await self.model_time.sleep_ms(load_ms)

    async def _wait_for_load_permit(self, weights: Weights) -> float:
        """Request a permit until one is granted; return the slowdown of the load."""
        store = Address(self.options.weight_store)
        target = f"/weights/{weights.model}/{weights.weights_version}"
        while True:
            try:
                answer = await fetch(store, "POST", target)
            except ConnectionFailedError:
                await self.model_time.sleep_ms(_STORE_RETRY_MS)
                continue
            if answer.status == 200:
                return msgspec.json.decode(answer.body, type=LoadPermit).slowdown
            wait_ms = float(answer.headers.get("retry-after-ms", _STORE_RETRY_MS))
            await self.model_time.sleep_ms(wait_ms)
