"""Simulate a fleet whose replicas leave or want rest, and say so in responses only."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from toucanyard.names import Address, EndpointName, Fingerprint, NodeName
from toucanyard.relay_events import DispatchEnded, ReplicaStatementSeen
from toucanyard.relay_requests import RelayDispatch, RelayOutcome
from toucanyard.replica_statements import ReplicaStatement
from toucanyard.requests import DispatchEnding, Repeatability

from .crash_fleet import CALL_MS, LATENCY_MS, STEP_MS, Call, Engine
from .limit_fleet import LimitFleet
from .relay_examples import build_request

DRAIN_MS = 2_000.0
"""Time after a node has passed on a leave from which it must send nothing there."""
REACTION_MS = 500.0
"""Time after a refusal from which its rest counts."""
MAX_DURING_REST = 2
"""Requests that may reach a replica from one node during its rest."""


class StatementFleet(LimitFleet):
    """Nodes and replicas; the store learns of no leave."""

    def __init__(self, domains: int, nodes_each: int) -> None:
        self.leaving: set[Address] = set()
        self.rests: dict[Address, float] = {}
        """Replicas that turn calls away now, and the rest that they ask for."""
        self.leave_seen_ms: dict[tuple[NodeName, EndpointName], float] = {}
        self.refused_ms: dict[tuple[NodeName, EndpointName], list[float]]
        self.refused_ms = defaultdict(list)
        super().__init__(domains, nodes_each)
        self.set_limit(None)
        self.run_for(100.0)

    def list_engines(self) -> list[Engine]:
        """Return the replica at each address."""
        return list(self.engines.values())

    def _deliver_call(self, call: Call, dispatch: RelayDispatch) -> None:
        engine = self.engines[dispatch.address]
        retry_after_ms = self.rests.get(engine.address)
        super()._deliver_call(call, dispatch)
        if retry_after_ms is None or call.request.request_id not in engine.calls:
            return
        engine.calls.pop(call.request.request_id)
        self.refused_ms[call.node, engine.name].append(self.now_ms)
        self.after(LATENCY_MS, lambda: self._refuse(call, engine.name, retry_after_ms))

    def _refuse(self, call: Call, replica: EndpointName, retry_after_ms: float) -> None:
        statement = ReplicaStatement(retry_after_ms=retry_after_ms)
        self.handle(call.node, ReplicaStatementSeen(replica, statement))
        outcome = RelayOutcome(
            call.request.request_id, replica, DispatchEnding.REFUSED, text="turned away"
        )
        self.handle(call.node, DispatchEnded(outcome))

    def _begin(self, call: Call, engine: Engine) -> None:
        is_running = call.request.request_id in engine.calls
        if is_running and engine.address in self.leaving:
            self.leave_seen_ms.setdefault((call.node, engine.name), self.now_ms)
            statement = ReplicaStatement(is_leaving=True)
            self.handle(call.node, ReplicaStatementSeen(engine.name, statement))
        super()._begin(call, engine)

    def play_calls(
        self,
        for_ms: float,
        per_s: float,
        *,
        call_ms: float = CALL_MS,
        nodes: Iterable[NodeName] | None = None,
    ) -> list[Call]:
        """Send calls to random nodes at a steady rate, and return them."""
        before, begun_ms, sent = len(self.calls), self.now_ms, 0
        names = list(self.cores if nodes is None else nodes)
        while self.now_ms < begun_ms + for_ms:
            while sent < per_s * (self.now_ms - begun_ms) / 1_000:
                sent += 1
                name = f"call-{next(self._numbers)}"
                request = build_request(
                    name,
                    fingerprint=Fingerprint(name),
                    repeatability=Repeatability.REPEATABLE,
                    is_stream=True,
                    is_resumable=True,
                    arrived_ms=self.now_ms,
                    deadline_ms=self.now_ms + call_ms,
                )
                self._arrive(self.rng.choice(names), request)
            self.run_for(STEP_MS)
        return self.calls[before:]

    # Observations.

    def find_after_leave(self) -> dict[str, float]:
        """Return how long after a leave calls still reached replicas, in ms."""
        late = {}
        for send in self.reached:
            seen_ms = self.leave_seen_ms.get((send.call.node, send.replica))
            if seen_ms is not None and send.at_ms > seen_ms + DRAIN_MS:
                late[f"{send.replica} from {send.call.node}"] = send.at_ms - seen_ms
        return late

    def find_during_rest(self, retry_after_ms: float) -> dict[str, int]:
        """Return the rests in which a replica got too many calls of one node."""
        reached = defaultdict(list)
        for send in self.reached:
            reached[send.call.node, send.replica].append(send.at_ms)
        found = {}
        for key, refusals in self.refused_ms.items():
            for refused_ms in refusals:
                begin_ms, end_ms = refused_ms + REACTION_MS, refused_ms + retry_after_ms
                count = sum(begin_ms <= at_ms < end_ms for at_ms in reached[key])
                if count > MAX_DURING_REST:
                    found[f"{key} at {refused_ms}"] = count
        return found

    def count_served(self, calls: list[Call]) -> float:
        """Return the share of calls that were completed."""
        return sum(call.ending == "completed" for call in calls) / len(calls)
