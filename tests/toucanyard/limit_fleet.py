"""Simulate a fleet whose customers have limits, with callers that may exceed them.

The network between nodes can be partitioned while callers and replicas reach all
nodes: messages between the sides are lost, and links close once their silence is
detected.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Collection

import msgspec

from toucanyard.keyed_view import KeyedRecord, Topic
from toucanyard.names import CustomerName, Fingerprint, NodeName, RequestId
from toucanyard.prompt_block_index import PromptBlock
from toucanyard.rate_limits import LimitBounds, LimitUnit, RateLimit
from toucanyard.relay_events import (
    CallArrived,
    LogEntry,
    RelayAction,
    RelayEvent,
    TickPassed,
)
from toucanyard.relay_options import RelayOptions
from toucanyard.relay_policy import LimitPolicy, LimitStrategy, RelayPolicy
from toucanyard.relay_requests import Prompt, RelayRequest
from toucanyard.requests import Repeatability
from toucanyard.routes import RoutedCustomer

from .crash_fleet import CALL_MS, STEP_MS, Call, CrashFleet, SentCall
from .relay_examples import MODEL, build_request, build_table
from .relay_fleet import put

BOUNDS = LimitBounds(window_ms=8_000.0, overshoot=0.1, slack=72_000.0)
LIMIT = RateLimit(18_000.0, 18_000.0, LimitUnit.TOKENS, 200.0)
USUAL_TOKENS_PER_S = 10_000.0
LARGE = CustomerName("large")
OTHER = CustomerName("other")
SILENCE_MS = 1_125.0
"""Time after which a link across a network partition counts as dead."""
SIZES = (9_200, 900, 900, 900, 900, 200)
"""Token counts that calls are drawn from."""
MEAN_TOKENS = sum(SIZES) / len(SIZES)


class LimitFleet(CrashFleet):
    """Nodes, replicas and callers of customers with limits."""

    def __init__(
        self,
        domains: int,
        nodes_each: int,
        limit: RateLimit = LIMIT,
        strategy: LimitStrategy = LimitStrategy.POOLS,
        bounds: LimitBounds = BOUNDS,
    ) -> None:
        self._bounds = bounds
        self._policy = RelayPolicy(limits=LimitPolicy(strategy=strategy))
        self._partitioned_ms: float | None = None
        self._far_side: frozenset[NodeName] = frozenset()
        self.suspended: set[NodeName] = set()
        """Suspended nodes; events for them are held."""
        self.muted: set[NodeName] = set()
        """Nodes whose outgoing messages are lost; they receive all messages."""
        self._held: list[tuple[NodeName, RelayEvent]] = []
        self._suspended_ms: dict[NodeName, float] = {}
        self._version = 1
        super().__init__(domains, nodes_each, replicas=8)
        self.rng = random.Random(1)
        self.set_limit(limit)
        # By then nodes know each other and the limits' buckets are full.
        self.run_for(3_000.0)

    def build_options(self, options: RelayOptions) -> RelayOptions:
        built = super().build_options(options)
        return msgspec.structs.replace(built, limits=self._bounds, policy=self._policy)

    # Operators.

    def set_limit(
        self, limit: RateLimit | None, nodes: Collection[NodeName] | None = None
    ) -> None:
        """Deliver a configuration with this limit for both customers."""
        self._version += 1
        customers = tuple(
            RoutedCustomer(name, (f"key-{name}",), limit=limit)
            for name in (LARGE, OTHER)
        )
        table = build_table(self._version, customers=customers)
        record = KeyedRecord("config", self._version, put(table))
        self._operator_records = [record]
        for name in self.cores if nodes is None else nodes:
            if name not in self.dead:
                self.read(name, Topic.OPERATOR, record)

    # Faults.

    def partition_network(self, far_side: Collection[NodeName]) -> None:
        """Partition the network between some nodes and all others."""
        self._far_side = frozenset(far_side)
        self._partitioned_ms = self.now_ms

    def heal(self) -> None:
        """End the network partition; links are restored at the next dial."""
        self._far_side = frozenset()
        self._partitioned_ms = None

    def suspend(self, name: NodeName) -> None:
        """Suspend a node, as when its VM is suspended."""
        self.suspended.add(name)
        self._suspended_ms[name] = self.now_ms

    def resume(self, name: NodeName) -> None:
        """Resume a node and deliver the events held for it."""
        self.suspended.discard(name)
        held, self._held = self._held, []
        for receiver, event in held:
            self.handle(receiver, event)

    def _carry_out(self, name: NodeName, action: RelayAction) -> None:
        if isinstance(action, LogEntry):
            self.log_entries.append((name, action))
        else:
            super()._carry_out(name, action)

    def handle(self, name: NodeName, event: RelayEvent) -> None:
        if name in self.dead:
            return
        if name not in self.suspended:
            super().handle(name, event)
        elif not isinstance(event, TickPassed):
            self._held.append((name, event))

    def kill(self, names: Collection[NodeName]) -> None:
        """Kill some nodes and their calls; peers see the links close."""
        for call in self.calls:
            if call.ending is None and call.node in names:
                self._end(call, "node killed")
                for engine in self.engines.values():
                    engine.calls.pop(call.request.request_id, None)
        self.dead.update(names)
        self.suspended.difference_update(names)
        self._in_transit = [m for m in self._in_transit if self.dead.isdisjoint(m[1:3])]
        self.link()

    def start_again(self, names: Collection[NodeName]) -> None:
        """Start new incarnations of nodes that were killed."""
        self.dead.difference_update(names)
        for name in names:
            self.restart(name)

    def find_wanted(self) -> dict[NodeName, set[NodeName]]:
        """Return the wanted links, except those whose silence was detected."""
        found = super().find_wanted()
        is_partitioned = (
            self._partitioned_ms is not None
            and self.now_ms - self._partitioned_ms >= SILENCE_MS
        )
        silent = {
            name
            for name in self.suspended
            if self.now_ms - self._suspended_ms[name] >= SILENCE_MS
        }
        for name, others in found.items():
            if is_partitioned:
                side = name in self._far_side
                others &= {o for o in others if (o in self._far_side) is side}
            others -= silent if name not in silent else set(others)
        return found

    def _deliver(self) -> None:
        self._in_transit = [
            each
            for each in self._in_transit
            if (each[1] in self._far_side) is (each[2] in self._far_side)
            and each[1] not in self.muted
        ]
        super()._deliver()

    def find_coordinators(self) -> set[NodeName]:
        """Return the nodes that currently coordinate a limit."""
        return {
            name
            for name, core in self.cores.items()
            if name not in self.dead
            and any(use.share for use in core.shares.list_usage())
        }

    # Callers.

    def send_call(self, node: NodeName, customer: CustomerName, tokens: int) -> Call:
        """Let a call of a customer arrive at a node."""
        number = next(self._numbers)
        request = build_request(
            f"limited-{number}",
            customer=customer,
            prompt=Prompt(MODEL, (PromptBlock(f"own-{number}", tokens - 20),), 20),
            tokens=tokens,
            fingerprint=Fingerprint(f"body-{number}"),
            repeatability=Repeatability.REPEATABLE,
            is_stream=True,
            is_resumable=True,
            arrived_ms=self.now_ms,
            deadline_ms=self.now_ms + CALL_MS,
        )
        return self._arrive(node, request)

    def _arrive(self, node: NodeName, request: RelayRequest) -> Call:
        call = Call(node, request)
        self.calls.append(call)
        self._by_id[RequestId(request.request_id)] = call
        self.handle(node, CallArrived(request))
        return call

    def play(
        self,
        for_ms: float,
        tokens_per_s: float,
        customer: CustomerName = LARGE,
        *,
        other_tokens_per_s: float = 0.0,
    ) -> list[Call]:
        """Send calls to random nodes at a steady rate, and return them."""
        before = len(self.calls)
        begun_ms = self.now_ms
        requested_tokens = {customer: 0.0, OTHER: 0.0}
        rates = {customer: tokens_per_s, OTHER: other_tokens_per_s}
        while self.now_ms < begun_ms + for_ms:
            passed_s = (self.now_ms - begun_ms) / 1_000
            alive = [name for name in self.cores if name not in self.dead]
            for name, rate in rates.items():
                while requested_tokens[name] < rate * passed_s:
                    tokens = self.rng.choice(SIZES)
                    requested_tokens[name] += tokens
                    self.send_call(self.rng.choice(alive), name, tokens)
            self.run_for(STEP_MS)
        return self.calls[before:]

    # Observations.

    def list_runs(self, customer: CustomerName = LARGE) -> list[SentCall]:
        """Return a customer's sends that reached a replica."""
        return [s for s in self.reached if s.call.request.customer == customer]

    def find_max_usage(
        self, customer: CustomerName = LARGE, since_ms: float = 0.0
    ) -> float:
        """Return the maximum tokens that a customer used in any window."""
        window: deque[tuple[float, int]] = deque()
        worst = total = 0
        for send in self.list_runs(customer):
            if send.at_ms < since_ms:
                continue
            tokens = send.call.request.tokens or 0
            window.append((send.at_ms, tokens))
            total += tokens
            while window[0][0] <= send.at_ms - BOUNDS.window_ms:
                total -= window.popleft()[1]
            worst = max(worst, total)
        return float(worst)


def count_refused(calls: Collection[Call]) -> int:
    """Return how many calls were refused."""
    return sum(call.ending == "refused" for call in calls)


def list_admissible(calls: Collection[Call], limit: RateLimit) -> list[Call]:
    """Return the calls that a single token bucket with this limit would admit."""
    level, before_ms = limit.burst, float("inf")
    admissible = []
    for call in calls:
        now_ms = call.request.arrived_ms
        earned = max(now_ms - before_ms, 0.0) / 1_000 * limit.rate_per_s
        level, before_ms = min(level + earned, limit.burst), now_ms
        cost = limit.compute_cost(call.request.tokens)
        if cost <= level:
            level -= cost
            admissible.append(call)
    return admissible
