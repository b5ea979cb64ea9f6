"""Simulate a fleet with replicas that announce limits in their responses."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from toucanyard.names import Address, EndpointName, Fingerprint, NodeName, RequestId
from toucanyard.relay_events import ReplicaStatementSeen
from toucanyard.relay_policy import LimitStrategy
from toucanyard.relay_requests import RelayDispatch, RelayRequest
from toucanyard.replica_statements import ReplicaStatement
from toucanyard.requests import Repeatability

from .crash_fleet import CALL_MS, STEP_MS, Call, Engine
from .limit_fleet import LimitFleet
from .relay_examples import build_request

WINDOW_MS = 4_000.0
OVERSHOOT = 1.5
SLACK = 5


def find_allowed(rate_per_s: float) -> float:
    """Return how many requests a limited replica may receive in one window."""
    return OVERSHOOT * rate_per_s * WINDOW_MS / 1_000 + SLACK


class ReplicaLimitFleet(LimitFleet):
    """Nodes and replicas, some of which limit their requests per second."""

    def __init__(
        self,
        domains: int,
        nodes_each: int,
        strategy: LimitStrategy = LimitStrategy.POOLS,
    ) -> None:
        self.announced_limits: dict[Address, float] = {}
        """Current limits of replicas, in requests per second."""
        self.first_limit_seen_ms: dict[EndpointName, float] = {}
        """When a node first relayed a response that announces a replica's limit."""
        self._limited_calls: set[RequestId] = set()
        super().__init__(domains, nodes_each, strategy=strategy)
        self.set_limit(None)
        self.run_for(100.0)

    def announce_limits(self, rate_per_s: float, count: int) -> list[Engine]:
        """Let some replicas announce a limit from now on, and return them."""
        engines = list(self.engines.values())[:count]
        self.announced_limits |= {each.address: rate_per_s for each in engines}
        return engines

    def _deliver_call(self, call: Call, dispatch: RelayDispatch) -> None:
        if dispatch.is_limited:
            self._limited_calls.add(call.request.request_id)
        super()._deliver_call(call, dispatch)

    def _begin(self, call: Call, engine: Engine) -> None:
        rate_per_s = self.announced_limits.get(engine.address)
        has_limited_dispatch = call.request.request_id in self._limited_calls
        if rate_per_s is not None:
            self.first_limit_seen_ms.setdefault(engine.name, self.now_ms)
        if rate_per_s is not None or has_limited_dispatch:
            statement = ReplicaStatement(limit_per_s=rate_per_s)
            seen = ReplicaStatementSeen(engine.name, statement, ends_limit=True)
            self.handle(call.node, seen)
        super()._begin(call, engine)

    def play_calls(
        self,
        for_ms: float,
        per_s: float,
        nodes: Iterable[NodeName] | None = None,
        *,
        call_ms: float = CALL_MS,
    ) -> list[Call]:
        """Send calls to random nodes at a steady rate, and return them."""
        before = len(self.calls)
        begun_ms = self.now_ms
        sent = 0
        while self.now_ms < begun_ms + for_ms:
            names = list(self.cores) if nodes is None else list(nodes)
            alive = [name for name in names if name not in self.dead]
            while sent < per_s * (self.now_ms - begun_ms) / 1_000:
                sent += 1
                self._arrive(self.rng.choice(alive), self._build(sent, call_ms))
            self.run_for(STEP_MS)
        return self.calls[before:]

    def _build(self, number: int, call_ms: float) -> RelayRequest:
        name = f"call-{next(self._numbers)}"
        return build_request(
            name,
            fingerprint=Fingerprint(name),
            repeatability=Repeatability.REPEATABLE,
            is_stream=True,
            is_resumable=True,
            rank=number % 2,
            arrived_ms=self.now_ms,
            deadline_ms=self.now_ms + call_ms,
        )

    # Observations.

    def list_arrivals(self, engine: Engine, since_ms: float = 0.0) -> list[float]:
        """Return when requests reached a replica."""
        return [
            send.at_ms
            for send in self.reached
            if send.replica == engine.name and send.at_ms >= since_ms
        ]

    def find_worst_window(self, engine: Engine, since_ms: float | None = None) -> int:
        """Return the maximum requests that a replica received in any window.

        By default counted from when a node first relayed its limit.
        """
        seen_ms = self.first_limit_seen_ms.get(engine.name, float("inf"))
        window: deque[float] = deque()
        worst = 0
        for at_ms in self.list_arrivals(
            engine, seen_ms if since_ms is None else since_ms
        ):
            window.append(at_ms)
            while window[0] <= at_ms - WINDOW_MS:
                window.popleft()
            worst = max(worst, len(window))
        return worst
