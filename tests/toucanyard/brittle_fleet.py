"""Simulate a fleet whose replicas fall over when they have to reject too many calls."""

from __future__ import annotations

from collections import defaultdict, deque

from toucanyard.names import Address, EndpointName
from toucanyard.relay_events import DispatchEnded, ReplicaStatementSeen
from toucanyard.relay_requests import RelayDispatch, RelayOutcome
from toucanyard.replica_statements import ReplicaStatement
from toucanyard.requests import DispatchEnding

from .crash_fleet import LATENCY_MS, Call, Engine
from .cut_fleet import CutFleet

WINDOW_MS = 1_000.0
USUAL_ROOM = 12


class BrittleFleet(CutFleet):
    """Nodes and replicas that accept a bounded number of calls at once."""

    def __init__(self, domains: int, nodes_each: int) -> None:
        self.room: dict[Address, int] = defaultdict(lambda: USUAL_ROOM)
        self.brittleness: float | None = None
        """Rejections a second that replicas state; None if they are sound."""
        self.falls: list[float] = []
        self.rejections: dict[EndpointName, deque[float]] = defaultdict(deque)
        super().__init__(domains, nodes_each)

    def set_room(self, room: int) -> None:
        """Let all replicas accept this many calls at once."""
        self.room = defaultdict(lambda: room)

    def _deliver_call(self, call: Call, dispatch: RelayDispatch) -> None:
        engine = self.engines[dispatch.address]
        is_there = engine.is_up and engine.name == dispatch.replica
        is_full = len(engine.calls) >= self.room[engine.address]
        if call.node in self.cuts or not is_there or not is_full:
            super()._deliver_call(call, dispatch)
            return
        self.after(LATENCY_MS, lambda: self._reject(call, engine))
        self._count_rejection(engine)

    def _count_rejection(self, engine: Engine) -> None:
        recent = self.rejections[engine.name]
        recent.append(self.now_ms)
        while recent[0] <= self.now_ms - WINDOW_MS:
            recent.popleft()
        if self.brittleness is not None and len(recent) > self.brittleness:
            self.falls.append(self.now_ms)
            self.crash(engine.address)

    def _reject(self, call: Call, engine: Engine) -> None:
        self._state(call, engine)
        request_id = call.request.request_id
        outcome = RelayOutcome(
            request_id, engine.name, DispatchEnding.REFUSED, text="no room"
        )
        self.handle(call.node, DispatchEnded(outcome))

    def _begin(self, call: Call, engine: Engine) -> None:
        if call.request.request_id in engine.calls:
            self._state(call, engine)
        super()._begin(call, engine)

    def _state(self, call: Call, engine: Engine) -> None:
        statement = ReplicaStatement(brittle_per_s=self.brittleness)
        self.handle(
            call.node, ReplicaStatementSeen(engine.name, statement, ends_brittle=True)
        )
