"""Provide a log, engines and pausable nodes to tests of pool leases and orders."""

from __future__ import annotations

import random
from typing import Protocol

import msgspec

from toucanyard.configuration import Configuration, Endpoint, Pool
from toucanyard.core_events import AppendToLog
from toucanyard.names import (
    Address,
    DomainName,
    EndpointName,
    Incarnation,
    NodeId,
    NodeName,
    PoolName,
)
from toucanyard.order_messages import (
    EndpointState,
    Order,
    OrderKind,
    OrderOutcome,
    ReadState,
    SendOrder,
)
from toucanyard.pool_order_runner import PoolOrderRunner

STEP_MS = 100.0
LOAD_MS = 600.0
POOL = PoolName("p")


class Clock(Protocol):
    """The current time of a test."""

    now_ms: float


class FakeEngine:
    """Execute orders as an endpoint does, and record their fences."""

    def __init__(self, world: Clock, checks_fence: bool) -> None:
        self.world = world
        self.state = EndpointState(
            Incarnation("i1"), "m", "w1", (), "both", False, checks_fence, 0
        )
        self.target: Order | None = None
        self.done_ms = 0.0
        self.done: set[str] = set()
        self.fences: list[int] = []

    def take(self, order: Order) -> OrderOutcome:
        state = self.state
        if order.order_id in self.done:
            return OrderOutcome.DONE
        if state.checks_fence and order.fence < state.fence:
            return OrderOutcome.STALE_FENCE
        if state.is_loading:
            return OrderOutcome.BUSY
        expected = order.expected_weights_version
        if expected and expected != state.weights_version:
            return OrderOutcome.UNEXPECTED_STATE
        self.done.add(order.order_id)
        self.fences.append(order.fence)
        is_loading = order.kind is OrderKind.LOAD
        fence = max(state.fence, order.fence)
        self.state = msgspec.structs.replace(state, fence=fence, is_loading=is_loading)
        if is_loading:
            self.target, self.done_ms = order, self.world.now_ms + LOAD_MS
        elif order.kind is OrderKind.ADAPTER:
            adapters = (*self.state.adapters, order.adapter)
            self.state = msgspec.structs.replace(self.state, adapters=adapters)
        return OrderOutcome.DONE

    def step(self) -> None:
        if self.target is not None and self.world.now_ms >= self.done_ms:
            version = self.target.weights_version
            self.target = None
            self.state = msgspec.structs.replace(
                self.state, weights_version=version, is_loading=False
            )

    def crash(self) -> None:
        self.target = None
        self.done.clear()
        count = int(self.state.incarnation[1:]) + 1
        self.state = EndpointState(
            Incarnation(f"i{count}"), "m", "w1", (), "both", False,
            self.state.checks_fence, 0,
        )  # fmt: skip


class FakeNode:
    """Run one node's leases and orders; while paused, it neither reads nor acts."""

    def __init__(self, world: OrderWorld, name: str, incarnation: str) -> None:
        self.world = world
        self.identity = NodeId(NodeName(name), Incarnation(incarnation))
        self.order_runner = PoolOrderRunner(self.identity, random.Random(name))
        self.order_runner.leases.set_read_start(0, len(world.records))
        self.read = len(world.records)
        self.paused_until_ms = 0.0
        self.configuration = world.configuration
        self.late: list[SendOrder] = []
        self.held: set[int] = set()

    def step(self) -> None:
        world = self.world
        if world.now_ms < self.paused_until_ms:
            return
        for offset in range(self.read, len(world.records)):
            at_ms, text = world.records[offset]
            self.order_runner.leases.apply_record(offset, at_ms, text, world.now_ms)
        self.read = len(world.records)
        self.order_runner.leases.update_log_end(world.now_ms)
        nodes = [node.identity.node for node in world.nodes]
        actions = self.order_runner.tick(self.configuration, nodes, True, world.now_ms)
        self.held = {
            lease.fence for lease in self.order_runner.leases.find_held(world.now_ms)
        }
        for action in actions:
            self.carry_out(action)

    def carry_out(self, action: AppendToLog | SendOrder | ReadState) -> None:
        world = self.world
        match action:
            case AppendToLog(text=text):
                if world.is_log_up:
                    world.records.append((world.now_ms, text))
            case ReadState(endpoint=endpoint):
                world.reads += 1
                state = world.engines[endpoint].state
                self.order_runner.record_state(endpoint, state, world.now_ms)
            case SendOrder():
                fate = world.choose_order_fate()
                if fate == "delayed":
                    world.delayed.append((world.now_ms + 4_000, action))
                    self.order_runner.record_outcome(
                        action, OrderOutcome.LOST, world.now_ms
                    )
                    return
                outcome = world.engines[action.endpoint].take(action.order)
                if fate == "answer_lost":
                    outcome = OrderOutcome.LOST
                self.order_runner.record_outcome(action, outcome, world.now_ms)


class OrderWorld:
    """Engines, nodes and the log on one clock."""

    def __init__(self, engines: int, checks_fence: bool, seed: int = 0) -> None:
        self.now_ms = 0.0
        self.rng = random.Random(seed)
        self.bad_share = 0.0
        self.is_log_up = True
        self.records: list[tuple[float, str]] = []
        self.delayed: list[tuple[float, SendOrder]] = []
        endpoints = tuple(
            Endpoint(EndpointName(f"e{n}"), Address(f"10.0.0.{n}:1"), DomainName("d"))
            for n in range(engines)
        )
        self.engines = {each.name: FakeEngine(self, checks_fence) for each in endpoints}
        pool = Pool(POOL, "m", "w1", endpoints)
        self.configuration = Configuration(1, pools=(pool,))
        self.nodes = [FakeNode(self, f"n{n}", "a") for n in range(3)]
        self.most_loading = 0
        self.least_serving = engines
        self.most_holders = 0
        self.reads = 0

    def choose_order_fate(self) -> str:
        if self.rng.random() >= self.bad_share:
            return "answered"
        return self.rng.choice(["delayed", "answer_lost"])

    def want(self, version: str, nodes: int = 3) -> None:
        """Set new weights in the configuration of the first nodes."""
        old = self.configuration
        pool = msgspec.structs.replace(old.pools[0], weights_version=version)
        self.configuration = Configuration(old.version + 1, pools=(pool,))
        for node in self.nodes[:nodes]:
            node.configuration = self.configuration

    def restart(self, number: int) -> None:
        """Replace a node by a new one of the same name, without state."""
        old = self.nodes[number].identity
        incarnation = old.incarnation + "a"
        self.nodes[number] = FakeNode(self, old.node, incarnation)

    def run(self, duration_ms: float) -> None:
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            for engine in self.engines.values():
                engine.step()
            for due_ms, sent in list(self.delayed):
                if due_ms <= self.now_ms:
                    self.delayed.remove((due_ms, sent))
                    self.engines[sent.endpoint].take(sent.order)
            for node in self.nodes:
                node.step()
            self.measure()

    def measure(self) -> None:
        loading = sum(each.state.is_loading for each in self.engines.values())
        self.most_loading = max(self.most_loading, loading)
        self.least_serving = min(self.least_serving, len(self.engines) - loading)
        holders = sum(
            bool(node.order_runner.leases.find_held(self.now_ms)) for node in self.nodes
        )
        self.most_holders = max(self.most_holders, holders)

    def find_versions(self) -> set[str]:
        return {each.state.weights_version for each in self.engines.values()}
