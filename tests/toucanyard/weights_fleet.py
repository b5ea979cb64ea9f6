"""Simulate a fleet whose replicas load new weights when nodes order them to.

Nodes may be frozen: what reaches them meanwhile is handled once they go on.
"""

from __future__ import annotations

from toucanyard.crash_detector import Reachability
from toucanyard.keyed_view import KeyedRecord, Topic
from toucanyard.names import Address, CustomerName, EndpointName, NodeName
from toucanyard.relay_events import (
    AppendLease,
    DispatchEnded,
    FirstEventSeen,
    LeaseAppended,
    LeaseRead,
    OrderAnswered,
    ReadLeases,
    ReadReplicaState,
    RelayAction,
    RelayEvent,
    ReplicaState,
    ReplicaStateRead,
    TickPassed,
    TopicRead,
    WeightsOrder,
)
from toucanyard.relay_requests import RelayDispatch, RelayOutcome
from toucanyard.requests import DispatchEnding, Repeatability
from toucanyard.target_weights import WantedWeights

from .crash_fleet import LATENCY_MS, STEP_MS, Call, CrashFleet, Engine
from .relay_examples import (
    ENGINES,
    MODEL,
    build_prompt,
    build_replica,
    build_request,
)
from .relay_fleet import put

LOAD_MS = 550.0
ENTRY_DELAY_MS = 300.0
"""Time from the end of a load until the store shows the new weights."""
RUN_MS = 90.0
CALL_INTERVAL_MS = 20.0
PATIENCE_MS = 4_000.0
ACCEPTED = 202
ALREADY_LOADED = 200
CONFLICT = 409


class WeightsEngine(Engine):
    """A replica with weights; it refuses calls for others and while it loads."""

    def __init__(self, address: Address, name: str, version: int) -> None:
        super().__init__(address, name)
        self.version = version
        self.order_count = 0
        self.is_loading = False
        self.is_silent_on_weights = False
        """Whether its refusals state no weights."""
        self.stated: int | None = None
        """The version that its answers state, if that is not the one it has."""
        self.loads: list[int] = []
        self.refused: list[Call] = []

    def find_stated(self) -> int:
        """Return the version that an answer states."""
        return self.version if self.stated is None else self.stated


class WeightsFleet(CrashFleet):
    """Nodes, replicas of a model, operators who name weights, and a load of calls."""

    def __init__(self, domains: int, nodes_each: int, replicas: int = 6) -> None:
        self.frozen: set[NodeName] = set()
        self.unreported: set[NodeName] = set()
        """Nodes that get no reports and no answers to orders."""
        self._held: list[tuple[NodeName, RelayEvent]] = []
        self._leases: list[bytes] = []
        self.holder = NodeName("")
        """The node whose order was accepted last."""
        self.version = 1
        self.orders: list[tuple[float, WeightsOrder, int]] = []
        super().__init__(domains, nodes_each, replicas)

    # Replicas.

    def _start(self, address: Address) -> None:
        engine = WeightsEngine(address, f"r{next(self._numbers)}", self.version)
        self.engines[address] = engine
        self.register_weights(engine)

    def register_weights(self, engine: WeightsEngine) -> None:
        """Write a replica's entry, with the weights that it states."""
        weights = ((MODEL, engine.find_stated()),)
        replica = build_replica(engine.name, address=engine.address, weights=weights)
        self._append(engine.name, put(replica))

    def list_engines(self) -> list[WeightsEngine]:
        """Return the replicas that run now."""
        found = [e for e in self.engines.values() if isinstance(e, WeightsEngine)]
        return [each for each in found if each.is_up]

    def list_old(self) -> list[EndpointName]:
        """Return the replicas that do not have the newest weights."""
        return [e.name for e in self.list_engines() if e.version != self.version]

    def _deliver_call(self, call: Call, dispatch: RelayDispatch) -> None:
        engine = self.engines[dispatch.address]
        assert isinstance(engine, WeightsEngine)
        if not engine.is_up or engine.name != dispatch.replica:
            super()._deliver_call(call, dispatch)
            return
        has_other_weights = dispatch.weights_version != engine.version
        if has_other_weights or engine.is_loading:
            engine.refused.append(call)
            is_silent = engine.is_silent_on_weights
            outcome = RelayOutcome(
                call.request.request_id,
                dispatch.replica,
                DispatchEnding.REFUSED,
                has_other_weights=has_other_weights,
                weights_version=None if is_silent else engine.find_stated(),
                attempt=dispatch.attempt,
            )
            self.answer(call, outcome)
            return
        engine.calls[call.request.request_id] = call
        stated = engine.find_stated()
        outcome = RelayOutcome(
            call.request.request_id,
            dispatch.replica,
            DispatchEnding.COMPLETED,
            weights_version=stated,
            attempt=dispatch.attempt,
        )
        begun = FirstEventSeen(call.request.request_id)
        self.after(LATENCY_MS, lambda: self.handle(call.node, begun))
        self.after(RUN_MS, lambda: self._complete_run(call, engine, outcome))

    def _complete_run(
        self, call: Call, engine: WeightsEngine, outcome: RelayOutcome
    ) -> None:
        if engine.calls.pop(call.request.request_id, None) is not None:
            self._end(call, "completed")
            self.answer(call, outcome)

    def answer(self, call: Call, outcome: RelayOutcome) -> None:
        """Deliver an answer to the node that sent the call."""
        self.after(LATENCY_MS, lambda: self.handle(call.node, DispatchEnded(outcome)))

    def _report(self, node: NodeName, read: ReadReplicaState, asked_ms: float) -> None:
        engine = self.engines[read.address]
        assert isinstance(engine, WeightsEngine)
        if node in self.unreported:
            self.handle(node, ReplicaStateRead(read.replica, None, asked_ms))
            return
        if not engine.is_up or engine.name != read.replica:
            super()._report(node, read, asked_ms)
            return
        weights = ((MODEL, engine.find_stated()),)
        running = len(engine.calls)
        state = ReplicaState(weights, engine.is_loading, engine.order_count, running, 0)
        reach = Reachability.ANSWERED
        self.handle(node, ReplicaStateRead(read.replica, state, asked_ms, reach))

    def _order(self, node: NodeName, order: WeightsOrder) -> None:
        engine = self.engines[order.address]
        assert isinstance(engine, WeightsEngine)
        if not engine.is_up:
            status = None
        elif engine.version == order.version:
            status = ALREADY_LOADED
        elif engine.is_loading or engine.order_count != order.expected_order_count:
            status = CONFLICT
        else:
            status = ACCEPTED
            self.holder = node
            engine.order_count += 1
            engine.is_loading = True
            engine.loads.append(order.version)
            self.after(LOAD_MS, lambda: self._finish_load(engine, order.version))
        if status is not None:
            self.orders.append((self.now_ms, order, status))
        if node in self.unreported:
            status = None
        self.after(LATENCY_MS, lambda: self.handle(node, OrderAnswered(order, status)))

    def _finish_load(self, engine: WeightsEngine, version: int) -> None:
        engine.version = version
        engine.is_loading = False
        self.after(ENTRY_DELAY_MS, lambda: self.register_weights(engine))

    # Nodes.

    def handle(self, name: NodeName, event: RelayEvent) -> None:
        if name not in self.frozen:
            super().handle(name, event)
        elif not isinstance(event, TickPassed):
            self._held.append((name, event))

    def freeze(self, name: NodeName) -> None:
        """Stop a node; it handles what reaches it once it goes on."""
        self.frozen.add(name)

    def thaw(self, name: NodeName) -> None:
        """Let a frozen node go on."""
        self.frozen.discard(name)
        held = [event for node, event in self._held if node == name]
        self._held = [each for each in self._held if each[0] != name]
        for event in held:
            self.handle(name, event)

    def restart(self, name: NodeName) -> None:
        """Kill one node and start a new incarnation; its calls are lost."""
        self.frozen.discard(name)
        self._held = [each for each in self._held if each[0] != name]
        for call in self.calls:
            if call.node == name and call.ending is None:
                self._end(call, "node killed")
        super().restart(name)

    def set_latency(self, latency_ms: float) -> None:
        """Set the latency of messages between nodes that are sent from now on."""
        self._latency_ms = latency_ms

    def _carry_out(self, name: NodeName, action: RelayAction) -> None:
        match action:
            case WeightsOrder():
                self.after(LATENCY_MS, lambda: self._order(name, action))
            case ReadLeases(from_offset=begin):
                records = tuple(enumerate(self._leases))[begin:]
                read = LeaseRead(records, len(self._leases))
                self.after(LATENCY_MS, lambda: self.handle(name, read))
            case AppendLease(value=value, at=at):
                sent_ms = self.now_ms
                appended = LeaseAppended(None, sent_ms, len(self._leases))
                if at == len(self._leases):
                    appended = LeaseAppended(at, sent_ms)
                    self._leases.append(value)
                self.after(LATENCY_MS, lambda: self.handle(name, appended))
            case _:
                super()._carry_out(name, action)

    def name_version(self, version: int) -> None:
        """Name new weights as the operator does; all nodes read them."""
        self.version = version
        offset = len(self._operator_records)
        fact = put(WantedWeights(MODEL, version))
        record = KeyedRecord(f"version/{MODEL}", offset, fact)
        self._operator_records.append(record)
        read = TopicRead(Topic.OPERATOR, (record,), offset + 1, False, self.now_ms)
        for name in self.cores:
            self.handle(name, read)

    # Callers.

    def call_model(self, node: NodeName) -> Call:
        """Deliver a call of the model, which may be sent to one replica."""
        request = build_request(
            f"call-{next(self._numbers)}",
            customer=CustomerName("c"),
            service=ENGINES,
            repeatability=Repeatability.RUN_ONCE,
            is_stream=True,
            max_attempts=1,
            target_ms=800,
            arrived_ms=self.now_ms,
            deadline_ms=self.now_ms + PATIENCE_MS,
            prompt=build_prompt((f"p{len(self.calls) % 8}", 300), ("own", 100)),
        )
        return self.deliver(Call(node, request))

    def run_with_calls(self, for_ms: float) -> list[Call]:
        """Run while callers send to the nodes in rotation; return the calls."""
        names, first = list(self.cores), len(self.calls)
        end_ms, due_ms = self.now_ms + for_ms, self.now_ms
        while self.now_ms < end_ms:
            if self.now_ms >= due_ms:
                self.call_model(names[len(self.calls) % len(names)])
                due_ms += CALL_INTERVAL_MS
            self.run_for(STEP_MS)
        return self.calls[first:]
