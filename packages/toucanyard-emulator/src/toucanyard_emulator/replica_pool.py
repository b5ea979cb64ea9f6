"""Manage and register the replicas and the prompt store of a run."""

from __future__ import annotations

import random
from typing import Final

from toucanyard.keyed_view import Topic
from toucanyard.names import (
    Address,
    DomainName,
    EndpointName,
    ReplicaId,
    ServiceName,
)
from toucanyard.prompt_block_sources import compute_store_name
from toucanyard.relay_events import PromptBlockChange, WeightsOrder
from toucanyard.replica_incarnations import name_incarnation
from toucanyard.replicas import Replica
from toucanyard.routes import PromptStore
from toucanyard_emulator.engine import Availability, Engine, LoadCounter
from toucanyard_emulator.plain_replica import PlainReplica
from toucanyard_emulator.prefill_ledger import PrefillLedger
from toucanyard_emulator.prompt_cache import PromptCache
from toucanyard_emulator.scenario import Scenario
from toucanyard_emulator.store import EmulatedStore
from toucanyard_emulator.transfers import Link
from toucanyard_standins.virtual_clock import VirtualClock

PLAIN_SERVICE: Final = ServiceName("desk")
ENGINE_SERVICE: Final = ServiceName("engines")
MODEL: Final = "m"
REGISTRATION_LAG_MS: Final = 800.0
"""Maximum delay until a change of an engine is registered in the store."""
REGISTRATION_LEASE_MS: Final = 3_600.0
"""Time without heartbeats after which the entry of a replica expires."""
DRAIN_MS: Final = 2_000.0
"""A draining replica keeps serving for twice this time before it stops."""
MAX_FOLLOWERS: Final = 12

AnyReplica = Engine | PlainReplica


def name_domain(scenario: Scenario, number: int) -> DomainName:
    """Return the failure domain of a VM by its number within its kind."""
    return DomainName(f"d{number % scenario.domains}")


class ReplicaPool:
    """All incarnations of all replicas.

    Invariant: the entry of an engine describes its newest incarnation.
    """

    def __init__(
        self, scenario: Scenario, seed: int, clock: VirtualClock, store: EmulatedStore
    ) -> None:
        self.ledger = PrefillLedger()
        self.late_order_share = 0.0
        self.prompt_store = self._build_prompt_store(scenario)
        self._scenario = scenario
        self._seed = seed
        self._clock = clock
        self._store = store
        self._load_counter = LoadCounter()
        self._replicas: dict[EndpointName, AnyReplica] = {}
        self._entries: dict[EndpointName, Replica] = {}
        self._caches: dict[Address, tuple[PromptCache, Link]] = {}
        self._incarnation_count = 0
        self._rng = random.Random(f"{seed} world")
        self._order_rng = random.Random(f"{seed} orders")
        if self.prompt_store is not None:
            prompt_store = self.prompt_store
            cache = PromptCache(prompt_store.memory_tokens)
            self._caches[prompt_store.address] = (
                cache,
                Link(prompt_store.link_mbps, prompt_store.domain),
            )

    def _build_prompt_store(self, scenario: Scenario) -> PromptStore | None:
        settings = scenario.prompt_store
        if settings is None:
            return None
        return PromptStore(
            Address("10.9.0.1:1"),
            name_domain(scenario, 1),
            settings.memory_tokens,
            settings.link_mbps,
            MAX_FOLLOWERS,
        )

    def start(self) -> None:
        """Start and register all replicas."""
        for number in range(self._scenario.engines.replicas):
            self.add_engine(number, 1, None)
        for number in range(self._scenario.plain.replicas):
            self._add_plain(number)

    def count_loads(self) -> int:
        """Return the total number of weight loads."""
        return sum(
            each.loads for each in self._replicas.values() if isinstance(each, Engine)
        )

    def add_engine(
        self, number: int, version: int, listed_as: ReplicaId | None
    ) -> Engine:
        """Start and register an incarnation of an engine."""
        self._incarnation_count += 1
        born_ms = int(self._clock.now_ms) + self._incarnation_count
        listed = listed_as or ReplicaId(f"e{self._incarnation_count}")
        name = name_incarnation(listed, born_ms)
        address = Address(f"10.1.{number}.{self._incarnation_count}:1")
        domain = name_domain(self._scenario, number)
        rng = random.Random(f"{self._seed} engine {number}")
        engine = Engine(
            name,
            domain,
            address,
            self._scenario.engines,
            self._clock,
            self.ledger,
            self._load_counter,
            lambda each: self._caches.get(each),
            rng,
            number,
            self._seed,
        )
        engine.version = version
        self._replicas[name] = engine
        self._caches[address] = (engine.cache, engine.link)
        slots = self._scenario.engines.slots
        entry = Replica(
            name, listed, ENGINE_SERVICE, address, domain, slots, False, (), born_ms
        )
        self._entries[name] = entry
        self._register(name)
        self._send_heartbeat(name)
        return engine

    def _add_plain(self, number: int) -> None:
        listed = ReplicaId(f"p{number}")
        name = EndpointName(listed)
        self._replicas[name] = PlainReplica(name, self._scenario.plain, self._clock)
        entry = Replica(
            name,
            listed,
            PLAIN_SERVICE,
            Address(f"10.2.{number}.1:1"),
            name_domain(self._scenario, number),
            self._scenario.plain.slots,
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
        self._store.put(Topic.REPLICAS, entry.listed_as, entry)

    def _send_heartbeat(self, name: EndpointName) -> None:
        """Register changes of the weights, as the heartbeats of a replica do."""
        engine = self._replicas[name]
        assert isinstance(engine, Engine)
        if engine.availability is not Availability.UP:
            return
        if self._entries[name].weights != ((MODEL, engine.version),):
            self._register(name)
        self._clock.call_after(REGISTRATION_LAG_MS, lambda: self._send_heartbeat(name))

    def list_engines(self) -> list[Engine]:
        """Return the engines that are up."""
        return [
            each
            for each in self._replicas.values()
            if isinstance(each, Engine) and each.availability is Availability.UP
        ]

    def choose_engines(self, count: int, purpose: str) -> list[Engine]:
        """Return randomly chosen engines, the same ones in every variant of a run."""
        engines = self.list_engines()
        rng = random.Random(f"{self._seed} {purpose}")
        rng.shuffle(engines)
        return engines[: min(count, max(len(engines) - 1, 1))]

    def stop_engine(self, engine: Engine, *, is_silent: bool) -> None:
        """Stop an incarnation of an engine; its entry expires with its lease."""
        engine.stop(Availability.SILENT if is_silent else Availability.DOWN)
        self._caches.pop(engine.address, None)
        listed_as = self._entries[engine.name].listed_as

        def expire() -> None:
            current = [
                each
                for each in self.list_engines()
                if self._entries[each.name].listed_as == listed_as
            ]
            if not current:
                self._store.put(Topic.REPLICAS, listed_as, None)

        self._clock.call_after(REGISTRATION_LEASE_MS, expire)

    def find_listed_as(self, engine: Engine) -> ReplicaId:
        """Return the id under which an engine is registered."""
        return self._entries[engine.name].listed_as

    def scale_in(self, engine: Engine) -> None:
        """Drain an engine, then stop it."""
        self._register(engine.name, is_draining=True)
        self._clock.call_after(
            2 * DRAIN_MS, lambda: self.stop_engine(engine, is_silent=False)
        )

    def find_replica(self, name: EndpointName) -> AnyReplica | None:
        """Return an incarnation of a replica by its name."""
        return self._replicas.get(name)

    def compute_latency(self, domain: str, name: EndpointName) -> float:
        """Return the one-way latency between a node's failure domain and a replica."""
        is_near = self._entries[name].domain == domain
        return self._scenario.near_ms if is_near else self._scenario.far_ms

    def draw_order_delay(self) -> float | None:
        """Return the delay of the next order, or None if it is answered at once."""
        draw, late_ms = self._order_rng.random(), self._order_rng.uniform(2e3, 12e3)
        return late_ms if draw < self.late_order_share else None

    def apply_order(self, order: WeightsOrder) -> int | None:
        """Apply an order; return the HTTP status, or None if the replica is down."""
        engine = self._replicas.get(order.replica)
        if not isinstance(engine, Engine) or engine.availability is not Availability.UP:
            return None
        return engine.apply_order(order)

    def apply_order_later(self, order: WeightsOrder, late_ms: float) -> None:
        """Apply an order late, without a response to its sender."""

        def apply_order() -> None:
            self.apply_order(order)

        self._clock.call_after(late_ms, apply_order)

    def read_block_changes(
        self, name: EndpointName, offset: int
    ) -> tuple[tuple[PromptBlockChange, ...], int] | None:
        """Return a holder's block changes since an offset, delayed and with losses."""
        cache = self._find_cache(name)
        if cache is None:
            return None
        known_ms = self._clock.now_ms - self._scenario.engines.events_lag_ms
        end = offset
        changes = []
        while end < len(cache.changes) and cache.changes[end][0] <= known_ms:
            if self._rng.random() >= self._scenario.engines.events_loss:
                changes.append(cache.changes[end][1])
            end += 1
        return tuple(changes), end

    def _find_cache(self, name: EndpointName) -> PromptCache | None:
        replica = self._replicas.get(name)
        if isinstance(replica, Engine):
            return replica.cache if replica.availability is Availability.UP else None
        prompt_store = self.prompt_store
        if prompt_store is not None and compute_store_name(prompt_store) == name:
            return self._caches[prompt_store.address][0]
        return None
