"""Hold the state of one run: nodes, replicas, store, callers and outcomes."""

from __future__ import annotations

import random
from functools import partial
from typing import Final

from toucanyard.keyed_view import Topic
from toucanyard.names import (
    Address,
    CustomerName,
    NodeName,
)
from toucanyard.relay_events import LinkMessageRead, NodeAnnounced
from toucanyard.relay_options import RelayListen, RelayOptions, WeightsTimings
from toucanyard.relay_policy import RelayPolicy
from toucanyard.routes import (
    EngineTraits,
    RoutedCustomer,
    RoutedService,
    RouteTable,
)
from toucanyard.target_weights import WantedWeights
from toucanyard_emulator.accounting import CallOutcome, ResourceCounts
from toucanyard_emulator.arrivals import generate_arrivals
from toucanyard_emulator.caller import Caller
from toucanyard_emulator.engine import Availability, Engine
from toucanyard_emulator.node import EmulatedNode
from toucanyard_emulator.replica_pool import (
    ENGINE_SERVICE,
    MAX_FOLLOWERS,
    MODEL,
    PLAIN_SERVICE,
    ReplicaPool,
    name_domain,
)
from toucanyard_emulator.scenario import CrashingRequest, Scenario
from toucanyard_emulator.store import EmulatedStore
from toucanyard_standins.virtual_clock import VirtualClock

WARM_UP_MS: Final = 3_000.0
"""Time for nodes to start before the first call arrives."""
CALLER_ADDRESS_CACHE_MS: Final = 1_500.0
"""Time for which callers keep using the address of a stopped node."""
LINK_INTERVAL_MS: Final = 250.0


class Simulation:
    """One run. Invariant: random draws depend only on the seed, not on the course."""

    def __init__(self, scenario: Scenario, policy: RelayPolicy, seed: int) -> None:
        self.scenario = scenario
        self.seed = seed
        self.clock = VirtualClock()
        self.store = EmulatedStore()
        self.pool = ReplicaPool(scenario, seed, self.clock, self.store)
        self.counts = ResourceCounts()
        self.outcomes: list[CallOutcome] = []
        self.nodes: list[EmulatedNode] = []
        self._policy = policy
        self._target_set_ms: list[float] = [float("-inf")]
        self._stopped_ms: dict[int, float] = {}
        self._incarnations: dict[int, int] = {}
        self._linked: dict[int, tuple[int, ...]] = {}

    def build(self) -> None:
        """Create all nodes and replicas and schedule the calls."""
        scenario = self.scenario
        self._publish_routes()
        self.store.put(Topic.OPERATOR, "weights", WantedWeights(MODEL, 1))
        self.pool.start()
        for number in range(scenario.nodes):
            self.start_node(number)
        self._link()
        for arrival in generate_arrivals(scenario, self.seed):
            caller = Caller(self, arrival)
            self.clock.call_after(WARM_UP_MS + arrival.at_ms, caller.begin)

    def _publish_routes(self) -> None:
        settings = self.scenario.engines
        traits = EngineTraits(
            settings.slots,
            settings.memory_tokens,
            settings.bytes_per_token,
            settings.link_mbps,
            MAX_FOLLOWERS,
        )
        prompt_store = self.pool.prompt_store
        stores = () if prompt_store is None else (prompt_store,)
        services = (
            RoutedService(ENGINE_SERVICE, 600, traits),
            RoutedService(PLAIN_SERVICE, 100),
        )
        customers = (RoutedCustomer(CustomerName("c"), ("key",)),)
        table = RouteTable(1, (), services, stores, customers)
        self.store.put(Topic.OPERATOR, "config", table)

    def start_node(self, number: int) -> None:
        """Start an incarnation of a node."""
        incarnation = self._incarnations[number] = self._incarnations.get(number, 0) + 1
        host = f"10.0.{number // 250}.{number % 250}"
        listen = RelayListen(
            *(Address(f"{host}:{port}") for port in (1, 2, 3, 4, 5)),
        )
        options = RelayOptions(
            name=NodeName(f"n{number}"),
            domain=name_domain(self.scenario, number),
            listen=listen,
            store=Address("10.8.0.1:1"),
            weights=WeightsTimings(deadline_ms=self.scenario.weights_deadline_ms),
            policy=self._policy,
        )
        node = EmulatedNode(self, number, incarnation, options)
        if incarnation == 1:
            self.nodes.append(node)
        else:
            self.nodes[number] = node
        self.store.put(Topic.NODES, node.identity.node, node.core.own_record)
        node.handle(NodeAnnounced(self.store.era))
        node.start()

    def stop_node(self, number: int) -> None:
        """Stop a node immediately."""
        self._stopped_ms[number] = self.clock.now_ms
        self.nodes[number].stop()

    def choose_node(
        self, rng: random.Random, excluded: set[int]
    ) -> EmulatedNode | None:
        """Choose a node for a caller; it may have stopped recently."""
        now_ms = self.clock.now_ms
        known = [
            node
            for node in self.nodes
            if node.number not in excluded
            and (
                node.is_up
                or now_ms - self._stopped_ms.get(node.number, now_ms)
                < CALLER_ADDRESS_CACHE_MS
            )
        ]
        return rng.choice(known) if known else None

    def _link(self) -> None:
        """Link all pairs of nodes of which at least one selects the other as a peer."""
        running_nodes = [node for node in self.nodes if node.is_up]
        by_name = {node.identity.node: node for node in running_nodes}
        found: dict[int, set[int]] = {node.number: set() for node in running_nodes}
        for node in running_nodes:
            for vm in node.core.node_directory.find_peers(self.clock.now_ms):
                other = by_name.get(NodeName(vm.name))
                if other is not None and other is not node:
                    found[node.number].add(other.number)
                    found[other.number].add(node.number)
        for node in running_nodes:
            key = tuple(
                self._incarnations[number] * 1_000 + number
                for number in sorted(found[node.number])
            )
            if self._linked.get(node.number) != key or not node.core.exchange.linked:
                self._linked[node.number] = key
                node.set_links(
                    tuple(
                        self.nodes[number].identity
                        for number in sorted(found[node.number])
                    )
                )
        self.clock.call_after(LINK_INTERVAL_MS, self._link)

    def send(
        self, sender: EmulatedNode, name: NodeName, event: LinkMessageRead
    ) -> None:
        """Deliver a message to a peer."""
        target = self.nodes[int(name[1:])]
        is_near = target.domain == sender.domain
        latency_ms = self.scenario.near_ms if is_near else self.scenario.far_ms
        target.schedule(latency_ms, lambda: target.handle(event))

    def crash_engine(self, engine: Engine, crash: CrashingRequest) -> None:
        """Schedule the crash of an engine that runs a crashing request."""

        def end() -> None:
            if engine.availability is not Availability.UP:
                return
            self.counts.crashes += 1
            number, version = self.counts.crashes, engine.version
            self.pool.stop_engine(engine, is_silent=False)
            self.clock.call_after(crash.back_s * 1000, partial(start, number, version))

        def start(number: int, version: int) -> None:
            self.pool.add_engine(number, version, None)

        self.clock.call_after(crash.after_ms, end)

    def set_target_weights(self) -> None:
        """Set the next version of the weights as the operators' target."""
        self._target_set_ms.append(self.clock.now_ms)
        version = len(self._target_set_ms)
        self.store.put(Topic.OPERATOR, "weights", WantedWeights(MODEL, version))

    def get_newest_version(self) -> int:
        """Return the newest target version of the weights."""
        return len(self._target_set_ms)

    def compute_weights_age(self, version: int, started_ms: float | None) -> float:
        """Return for how long newer weights had been the target when a call started."""
        if started_ms is None or version >= len(self._target_set_ms):
            return 0.0
        return max(started_ms - self._target_set_ms[version], 0.0)

    def record_outcome(self, outcome: CallOutcome) -> None:
        """Record the outcome of a call."""
        self.outcomes.append(outcome)

    def collect_counts(self) -> ResourceCounts:
        """Collect the usage of all priced resources."""
        self.counts.loads = self.pool.count_loads()
        self.counts.store_calls = self.store.calls
        self.counts.reread_tokens = self.pool.ledger.reread_tokens
        self.counts.moved_bytes = self.pool.ledger.moved_bytes
        return self.counts
