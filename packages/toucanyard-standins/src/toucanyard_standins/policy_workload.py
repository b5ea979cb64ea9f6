"""Generate the requests of two modelled deployments from a seed.

Prompts of a customer have nested levels. Valdivia: rulebook, route and booking, or
the chat of a kiosk. Hangang: template, language and station, and after a water main
break one new incident report.
"""

from __future__ import annotations

import random
from typing import Final

import msgspec
import xxhash

from toucanyard.configuration import PlacementPolicy, PriorityClass
from toucanyard_standins.policy_engine import EngineShape

CUSTOMER_SHARES: Final = (0.34, 0.24, 0.14, 0.09, 0.07, 0.05, 0.04, 0.03)

FIRST_WEIGHTS: Final = "w1"
RAMP_MS: Final = 5_000.0
"""Time over which the load ramps up at the start, when all caches are empty."""


class PromptLevel(msgspec.Struct, frozen=True):
    """One level of a prompt: its name and length in blocks."""

    name: str
    blocks: int


class Arrival(msgspec.Struct, frozen=True):
    """One request of the workload before it has a weights version."""

    at_ms: float
    customer: int
    priority: PriorityClass
    levels: tuple[PromptLevel, ...]
    tokens: int


class Deployment(msgspec.Struct, frozen=True):
    """Sizes of one deployment and its load."""

    name: str
    replicas: int
    domains: int
    nodes: int
    one_way_ms: float
    shape: EngineShape
    policy: PlacementPolicy
    per_s: float
    """Requests per second in the calm condition."""
    capacity_per_s: float
    """Requests per second that the replicas can serve with warm prompts."""
    deadline_ms: float = 10_000.0


VALDIVIA: Final = Deployment(
    "valdivia",
    replicas=5,
    domains=3,
    nodes=8,
    one_way_ms=1.5,
    shape=EngineShape(16, 900, 8.0, 12.0),
    policy=PlacementPolicy(
        prefill_ms_per_block=8.0, recompute_price=8.0, max_running=16
    ),
    per_s=45.0,
    capacity_per_s=80.0,
)
HANGANG: Final = Deployment(
    "hangang",
    replicas=6,
    domains=3,
    nodes=8,
    one_way_ms=0.5,
    shape=EngineShape(16, 1_200, 8.0, 10.0),
    policy=PlacementPolicy(
        prefill_ms_per_block=8.0, recompute_price=8.0, max_running=16
    ),
    per_s=18.0,
    capacity_per_s=50.0,
)


def make_chain(
    customer: int, weights: str, levels: tuple[PromptLevel, ...]
) -> tuple[int, ...]:
    """Return the block hashes of a prompt for one customer and weights version."""
    parent = xxhash.xxh3_64_intdigest(f"{customer} {weights}".encode())
    chain: list[int] = []
    for level in levels:
        for number in range(level.blocks):
            text = f"{parent} {level.name} {number}"
            parent = xxhash.xxh3_64_intdigest(text.encode())
            chain.append(parent)
    return tuple(chain)


class ArrivalChains:
    """Block chains of one arrival's prompt, cached by weights version."""

    __slots__ = ("_arrival", "_chains")

    def __init__(self, arrival: Arrival) -> None:
        self._arrival = arrival
        self._chains: dict[str, tuple[int, ...]] = {}

    def find_chain(self, weights_version: str) -> tuple[int, ...]:
        """Return the prompt's chain for a weights version."""
        chain = self._chains.get(weights_version)
        if chain is None:
            arrival = self._arrival
            chain = make_chain(arrival.customer, weights_version, arrival.levels)
            self._chains[weights_version] = chain
        return chain


def make_arrivals(
    deployment: Deployment,
    seed: int,
    end_ms: float,
    surge: tuple[float, float, float] = (0.0, 0.0, 1.0),
    flood: float = 1.0,
    shift_ms: float = float("inf"),
) -> list[Arrival]:
    """Return arrivals up to a time; `surge` is start, end and factor of the calm rate.

    `flood` multiplies the rate of the largest customer; from `shift_ms` on, shared
    levels have new content.
    """
    rng = random.Random(f"{deployment.name} {seed}")
    arrivals: list[Arrival] = []
    now_ms = 0.0
    peak = max(surge[2], 1.0) * (1.0 + (flood - 1.0) * CUSTOMER_SHARES[0])
    while True:
        now_ms += rng.expovariate(deployment.per_s * peak / 1_000)
        if now_ms >= end_ms:
            break
        rate_factor = surge[2] if surge[0] <= now_ms < surge[1] else 1.0
        rate_factor *= min(now_ms / RAMP_MS, 1.0)
        weights = [CUSTOMER_SHARES[0] * flood, *CUSTOMER_SHARES[1:]]
        if rng.random() >= rate_factor * sum(weights) / peak:
            continue
        customer = rng.choices(range(8), weights)[0]
        edition = "new" if now_ms >= shift_ms else "old"
        arrivals.append(_make_arrival(deployment, rng, now_ms, customer, edition))
    arrivals += _make_bursts(deployment, rng, end_ms)
    return sorted(arrivals, key=lambda arrival: arrival.at_ms)


def _make_arrival(
    deployment: Deployment,
    rng: random.Random,
    now_ms: float,
    customer: int,
    edition: str,
) -> Arrival:
    tail = f"tail {now_ms}"
    levels: tuple[PromptLevel, ...]
    if deployment.name == "hangang":
        levels = (
            PromptLevel(f"template {edition}", 128),
            PromptLevel(f"language {rng.randrange(4)}", 32),
            PromptLevel(f"station {rng.randrange(5)}", 16),
            PromptLevel(tail, rng.randint(4, 12)),
        )
        tokens = rng.randint(80, 200)
        return Arrival(now_ms, customer, PriorityClass.DRAFT, levels, tokens)
    if rng.random() < 0.4:
        levels = (
            PromptLevel(f"rulebook {edition}", 96),
            PromptLevel(f"route {rng.randrange(6)}", 24),
            PromptLevel(tail, rng.randint(3, 9)),
        )
        tokens = rng.randint(15, 50)
        return Arrival(now_ms, customer, PriorityClass.CHECK, levels, tokens)
    levels = (
        PromptLevel(f"riders {edition}", 8),
        PromptLevel(f"kiosk {rng.randrange(10)}", 4),
        PromptLevel(tail, rng.randint(1, 3)),
    )
    tokens = rng.randint(30, 90)
    return Arrival(now_ms, customer, PriorityClass.CHAT, levels, tokens)


def _make_bursts(
    deployment: Deployment, rng: random.Random, end_ms: float
) -> list[Arrival]:
    """Return bursts: drafts after a water main break, or shift starts at kiosks."""
    bursts: list[Arrival] = []
    start_ms = 5_000.0
    while start_ms < end_ms - 4_000.0:
        customer = rng.choices(range(8), CUSTOMER_SHARES)[0]
        for number in range(24):
            at_ms = start_ms + rng.uniform(0.0, 1_500.0)
            tail = PromptLevel(f"burst {start_ms} {number}", rng.randint(2, 6))
            levels: tuple[PromptLevel, ...]
            if deployment.name == "hangang":
                levels = (
                    PromptLevel("template old", 128),
                    PromptLevel(f"incident {start_ms}", 48),
                    PromptLevel(f"language {number % 4}", 8),
                    tail,
                )
                kind, tokens = PriorityClass.DRAFT, rng.randint(80, 200)
            else:
                levels = (
                    PromptLevel("riders old", 8),
                    PromptLevel(f"shift {start_ms}", 24),
                    tail,
                )
                kind, tokens = PriorityClass.CHAT, rng.randint(20, 60)
            bursts.append(Arrival(at_ms, customer, kind, levels, tokens))
        start_ms += 6_000.0
    return bursts
