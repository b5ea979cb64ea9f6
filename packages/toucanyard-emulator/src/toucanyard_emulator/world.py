"""Hold all that is emulated in one run: nodes, replicas, store, callers and faults."""

from __future__ import annotations

import random
from typing import Final

from toucanyard.keyed_view import Topic
from toucanyard.names import (
    Address,
    CustomerName,
    DomainName,
    EndpointName,
    NodeName,
    ReplicaId,
)
from toucanyard.part_sources import name_store
from toucanyard.relay_events import LinkMessageRead, PartChange, WeightsOrder
from toucanyard.relay_options import RelayListen, RelayOptions, WeightsTimings
from toucanyard.relay_policy import RelayPolicy
from toucanyard.replica_lives import name_life
from toucanyard.replicas import Replica
from toucanyard.requests import Refuse
from toucanyard.routes import (
    EngineTraits,
    PromptStore,
    RoutedCustomer,
    RoutedService,
    RouteTable,
)
from toucanyard.weights_goals import WantedWeights
from toucanyard_emulator.accounting import Counts, Ended
from toucanyard_emulator.arrivals import draw_arrivals
from toucanyard_emulator.caller import DESK, ENGINES, MODEL, Caller
from toucanyard_emulator.engine import Engine, LoadBoard, Presence
from toucanyard_emulator.node import EmulatedNode
from toucanyard_emulator.plain_replica import PlainReplica
from toucanyard_emulator.prompt_memory import PromptMemory
from toucanyard_emulator.read_ledger import ReadLedger
from toucanyard_emulator.scenario import Scenario
from toucanyard_emulator.store import EmulatedStore
from toucanyard_emulator.transfers import Link
from toucanyard_standins.virtual_clock import VirtualClock

LEAD_MS: Final = 3_000.0
"""Time that nodes have before the first call comes."""
LAG_MS: Final = 800.0
"""Time until a replica's change is in the store."""
LEASE_MS: Final = 3_600.0
"""Time without heartbeats after which a replica's entry goes."""
LEAVE_MS: Final = 2_000.0
"""How long a replica that drains serves on."""
CALLERS_KNOW_MS: Final = 1_500.0
"""How long callers keep a node's address that is gone."""
LINK_MS: Final = 250.0
MAX_FOLLOWERS: Final = 12

AnyReplica = Engine | PlainReplica


class World:
    """One run. Invariant: what is random depends on the seed and on nothing played."""

    def __init__(self, scenario: Scenario, policy: RelayPolicy, seed: int) -> None:
        self.scenario = scenario
        self.seed = seed
        self.clock = VirtualClock()
        self.store = EmulatedStore()
        self.ledger = ReadLedger()
        self.counts = Counts()
        self.ended: list[Ended] = []
        self.refusals: list[tuple[float, Refuse]] = []
        self.nodes: list[EmulatedNode] = []
        self.late_order_share = 0.0
        self._policy = policy
        self._loads = LoadBoard()
        self._replicas: dict[EndpointName, AnyReplica] = {}
        self._entries: dict[EndpointName, Replica] = {}
        self._memories: dict[Address, tuple[PromptMemory, Link]] = {}
        self._named_ms: list[float] = [float("-inf")]
        self._stopped_ms: dict[int, float] = {}
        self._incarnations: dict[int, int] = {}
        self._linked: dict[int, tuple[int, ...]] = {}
        self._births = 0
        self._rng = random.Random(f"{seed} world")
        self._order_rng = random.Random(f"{seed} orders")

    def build(self) -> None:
        """Put up everything and plan the calls."""
        scenario = self.scenario
        self._put_routes()
        self.store.put(Topic.OPERATOR, "weights", WantedWeights(MODEL, 1))
        for number in range(scenario.engines.replicas):
            self.add_engine(number, 1, None)
        for number in range(scenario.plain.replicas):
            self._add_plain(number)
        for number in range(scenario.nodes):
            self.start_node(number)
        self._link()
        for arrival in draw_arrivals(scenario, self.seed):
            caller = Caller(self, arrival)
            self.clock.call_after(LEAD_MS + arrival.at_ms, caller.begin)

    def _put_routes(self) -> None:
        shape = self.scenario.engines
        traits = EngineTraits(
            shape.slots,
            shape.memory_tokens,
            shape.bytes_per_token,
            shape.link_mbps,
            MAX_FOLLOWERS,
        )
        stores: tuple[PromptStore, ...] = ()
        kept = self.scenario.prompt_store
        if kept is not None:
            store = PromptStore(
                Address("10.9.0.1:1"),
                self._name_domain(1),
                kept.memory_tokens,
                kept.link_mbps,
                MAX_FOLLOWERS,
            )
            stores = (store,)
            memory = PromptMemory(kept.memory_tokens)
            link = Link(kept.link_mbps, store.domain)
            self._memories[store.address] = (memory, link)
        services = (RoutedService(ENGINES, 600, traits), RoutedService(DESK, 100))
        customers = (RoutedCustomer(CustomerName("c"), ("key",)),)
        table = RouteTable(1, (), services, stores, customers)
        self.store.put(Topic.OPERATOR, "config", table)

    def _name_domain(self, number: int) -> DomainName:
        return DomainName(f"d{number % self.scenario.domains}")

    def start_node(self, number: int) -> None:
        """Start an incarnation of a node."""
        incarnation = self._incarnations[number] = self._incarnations.get(number, 0) + 1
        near = f"10.0.{number // 250}.{number % 250}"
        listen = RelayListen(
            *(Address(f"{near}:{port}") for port in (1, 2, 3, 4, 5)),
        )
        options = RelayOptions(
            name=NodeName(f"n{number}"),
            domain=self._name_domain(number),
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
        node.start()

    def stop_node(self, number: int) -> None:
        """End a node at once."""
        self._stopped_ms[number] = self.clock.now_ms
        self.nodes[number].stop()

    def choose_node(
        self, rng: random.Random, excluded: set[int]
    ) -> EmulatedNode | None:
        """Return the node that a caller goes to, which may be gone since."""
        now_ms = self.clock.now_ms
        known = [
            node
            for node in self.nodes
            if node.number not in excluded
            and (
                node.is_up
                or now_ms - self._stopped_ms.get(node.number, now_ms) < CALLERS_KNOW_MS
            )
        ]
        return rng.choice(known) if known else None

    def _link(self) -> None:
        """Link each two nodes of which one wants it."""
        live = [node for node in self.nodes if node.is_up]
        by_name = {node.identity.node: node for node in live}
        found: dict[int, set[int]] = {node.number: set() for node in live}
        for node in live:
            for vm in node.core.roster.find_peers(self.clock.now_ms):
                other = by_name.get(NodeName(vm.name))
                if other is not None and other is not node:
                    found[node.number].add(other.number)
                    found[other.number].add(node.number)
        for node in live:
            key = tuple(
                self._incarnations[number] * 1_000 + number
                for number in sorted(found[node.number])
            )
            if self._linked.get(node.number) != key or not node.core.exchange.linked:
                self._linked[node.number] = key
                node.link(
                    tuple(
                        self.nodes[number].identity
                        for number in sorted(found[node.number])
                    )
                )
        self.clock.call_after(LINK_MS, self._link)

    def send(
        self, sender: EmulatedNode, name: NodeName, event: LinkMessageRead
    ) -> None:
        """Deliver a message to a peer."""
        target = self.nodes[int(name[1:])]
        is_near = target.domain == sender.domain
        way_ms = self.scenario.near_ms if is_near else self.scenario.far_ms
        target.after(way_ms, lambda: target.handle(event))

    def add_engine(
        self, number: int, version: int, listed_as: ReplicaId | None
    ) -> Engine:
        """Start a life of an engine and register it."""
        self._births += 1
        born_ms = int(self.clock.now_ms) + self._births
        listed = listed_as or ReplicaId(f"e{self._births}")
        name = name_life(listed, born_ms)
        address = Address(f"10.1.{number}.{self._births}:1")
        domain = self._name_domain(number)
        rng = random.Random(f"{self.seed} engine {number}")
        engine = Engine(
            name,
            domain,
            address,
            self.scenario.engines,
            self.clock,
            self.ledger,
            self._loads,
            lambda each: self._memories.get(each),
            rng,
        )
        engine.version = version
        self._replicas[name] = engine
        self._memories[address] = (engine.memory, engine.link)
        slots = self.scenario.engines.slots
        entry = Replica(
            name, listed, ENGINES, address, domain, slots, False, (), born_ms
        )
        self._entries[name] = entry
        self._register(name)
        self._renew(name)
        return engine

    def _add_plain(self, number: int) -> None:
        listed = ReplicaId(f"p{number}")
        name = EndpointName(listed)
        self._replicas[name] = PlainReplica(name, self.scenario.plain, self.clock)
        entry = Replica(
            name,
            listed,
            DESK,
            Address(f"10.2.{number}.1:1"),
            self._name_domain(number),
            self.scenario.plain.slots,
            False,
        )
        self._entries[name] = entry
        self._register(name)

    def _register(self, name: EndpointName, *, is_draining: bool = False) -> None:
        entry = self._entries[name]
        replica = self._replicas[name]
        weights = ((MODEL, replica.version),) if isinstance(replica, Engine) else ()
        entry = Replica(
            entry.name,
            entry.listed_as,
            entry.service,
            entry.address,
            entry.domain,
            entry.slots,
            entry.is_draining or is_draining,
            weights,
            entry.born_ms,
        )
        self._entries[name] = entry
        self.store.put(Topic.REPLICAS, entry.listed_as, entry)

    def _renew(self, name: EndpointName) -> None:
        """Register again what has changed, as heartbeats do."""
        engine = self._replicas[name]
        assert isinstance(engine, Engine)
        if engine.presence is not Presence.UP:
            return
        if self._entries[name].weights != ((MODEL, engine.version),):
            self._register(name)
        self.clock.call_after(LAG_MS, lambda: self._renew(name))

    def list_engines(self) -> list[Engine]:
        """Return the engines that are there."""
        return [
            each
            for each in self._replicas.values()
            if isinstance(each, Engine) and each.presence is Presence.UP
        ]

    def draw_engines(self, count: int, purpose: str) -> list[Engine]:
        """Return some engines, the same ones in every variant of a run."""
        engines = self.list_engines()
        rng = random.Random(f"{self.seed} {purpose}")
        rng.shuffle(engines)
        return engines[: min(count, max(len(engines) - 1, 1))]

    def stop_engine(self, engine: Engine, *, is_silent: bool) -> None:
        """End a life of an engine; its entry goes when its lease runs out."""
        engine.stop(Presence.SILENT if is_silent else Presence.DOWN)
        self._memories.pop(engine.address, None)
        listed_as = self._entries[engine.name].listed_as

        def expire() -> None:
            current = [
                each
                for each in self.list_engines()
                if self._entries[each.name].listed_as == listed_as
            ]
            if not current:
                self.store.put(Topic.REPLICAS, listed_as, None)

        self.clock.call_after(LEASE_MS, expire)

    def find_listed_as(self, engine: Engine) -> ReplicaId:
        """Return under which id an engine is registered."""
        return self._entries[engine.name].listed_as

    def scale_in(self, engine: Engine) -> None:
        """Let an engine drain and leave."""
        self._register(engine.name, is_draining=True)
        self.clock.call_after(
            2 * LEAVE_MS, lambda: self.stop_engine(engine, is_silent=False)
        )

    def name_weights(self) -> None:
        """Let operators name new weights."""
        self._named_ms.append(self.clock.now_ms)
        version = len(self._named_ms)
        self.store.put(Topic.OPERATOR, "weights", WantedWeights(MODEL, version))

    def find_newest_version(self) -> int:
        """Return the newest weights that were named."""
        return len(self._named_ms)

    def find_weights_age(self, version: int, begun_ms: float | None) -> float:
        """Return how long newer weights had been named when a call began."""
        if begun_ms is None or version >= len(self._named_ms):
            return 0.0
        return max(begun_ms - self._named_ms[version], 0.0)

    def find_replica(self, name: EndpointName) -> AnyReplica | None:
        """Return a life of a replica."""
        return self._replicas.get(name)

    def compute_way(self, domain: str, name: EndpointName) -> float:
        """Return the time of one way between a node's domain and a replica."""
        is_near = self._entries[name].domain == domain
        return self.scenario.near_ms if is_near else self.scenario.far_ms

    def find_order_delay(self) -> float | None:
        """Return how late the next order is carried out; None if it is answered."""
        draw, late_ms = self._order_rng.random(), self._order_rng.uniform(2e3, 12e3)
        return late_ms if draw < self.late_order_share else None

    def take_order(self, order: WeightsOrder) -> int | None:
        """Carry out an order at its replica."""
        engine = self._replicas.get(order.replica)
        if not isinstance(engine, Engine) or engine.presence is not Presence.UP:
            return None
        return engine.take_order(order)

    def take_order_later(self, order: WeightsOrder, late_ms: float) -> None:
        """Carry out an order that got no answer."""

        def take() -> None:
            self.take_order(order)

        self.clock.call_after(late_ms, take)

    def tell_parts(
        self, name: EndpointName, told: int
    ) -> tuple[tuple[PartChange, ...], int] | None:
        """Return what a holder tells of its parts, late and with losses."""
        memory = self._find_memory(name)
        if memory is None:
            return None
        known_ms = self.clock.now_ms - self.scenario.engines.events_lag_ms
        end = told
        changes = []
        while end < len(memory.changes) and memory.changes[end][0] <= known_ms:
            if self._rng.random() >= self.scenario.engines.events_loss:
                changes.append(memory.changes[end][1])
            end += 1
        return tuple(changes), end

    def _find_memory(self, name: EndpointName) -> PromptMemory | None:
        replica = self._replicas.get(name)
        if isinstance(replica, Engine):
            return replica.memory if replica.presence is Presence.UP else None
        for store in self.nodes[0].core.index.table.stores:
            if name_store(store) == name:
                return self._memories[store.address][0]
        return None

    def note_refusal(self, refusal: Refuse) -> None:
        """Keep a refusal for whoever asks."""
        self.refusals.append((self.clock.now_ms, refusal))

    def note_ended(self, ended: Ended) -> None:
        """Keep how a call ended."""
        self.ended.append(ended)

    def count(self) -> Counts:
        """Return all that is priced."""
        self.counts.loads = sum(
            each.loads for each in self._replicas.values() if isinstance(each, Engine)
        )
        self.counts.store_calls = self.store.calls
        self.counts.reread_tokens = self.ledger.reread_tokens
        self.counts.moved_bytes = self.ledger.moved_bytes
        return self.counts
