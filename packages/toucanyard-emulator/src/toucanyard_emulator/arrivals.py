"""Generate the calls of a run in advance, so that all variants get the same ones."""

from __future__ import annotations

import math
import random
from collections.abc import Iterator
from typing import Final

import msgspec

from toucanyard.prompt_block_index import PromptBlock
from toucanyard_emulator.scenario import (
    Burst,
    CallKind,
    CrashingRequest,
    HotSubject,
    Scenario,
)

MAX_SIZE_FACTOR: Final = 4.0
"""Cap on the size of a prompt, and on its worth, relative to the mean."""
FIXED_WORTH_SHARE: Final = 0.3
"""Share of a call's worth that does not depend on the size of its prompt."""


class Arrival(msgspec.Struct, frozen=True):
    """A call as it is made by its caller."""

    number: int
    at_ms: float
    kind: CallKind
    domain: int
    blocks: tuple[PromptBlock, ...]
    output_tokens: int
    work_ms: float
    worth: float
    crash: CrashingRequest | None = None
    """Set for a request that crashes engines; such a call is not accounted for."""


def generate_arrivals(scenario: Scenario, seed: int) -> list[Arrival]:
    """Return all calls of a run in order of arrival."""
    arrivals = [
        arrival
        for kind in scenario.kinds
        for arrival in _generate_kind(
            scenario, kind, random.Random(f"{seed} {kind.name}")
        )
    ]
    for fault in scenario.faults:
        if isinstance(fault, CrashingRequest):
            arrivals += _generate_crashing_requests(scenario, fault, seed)
    arrivals.sort(key=lambda arrival: arrival.at_ms)
    return [
        msgspec.structs.replace(arrival, number=number)
        for number, arrival in enumerate(arrivals)
    ]


def _generate_crashing_requests(
    scenario: Scenario, fault: CrashingRequest, seed: int
) -> Iterator[Arrival]:
    """Yield repetitions of one request, or requests with one block, at intervals."""
    rng = random.Random(f"{seed} crashing {fault.kind} {fault.at_s}")
    kind = next(each for each in scenario.kinds if each.name == fault.kind)
    first = _generate_arrival(scenario, kind, fault.at_s, rng)
    for number in range(int(fault.for_s / fault.every_s)):
        at_ms = (fault.at_s + number * fault.every_s) * 1000
        request = first
        if fault.has_block:
            request = _generate_arrival(scenario, kind, at_ms / 1000, rng)
            request = _add_block(request, PromptBlock(f"harmful {fault.at_s}", 100))
        yield msgspec.structs.replace(
            request,
            at_ms=at_ms,
            domain=number % scenario.domains,
            worth=0.0,
            crash=fault,
        )


def _add_block(request: Arrival, block: PromptBlock) -> Arrival:
    """Return a request with a shared block before the last one."""
    blocks = (*request.blocks[:-1], block, *request.blocks[-1:])
    return msgspec.structs.replace(request, blocks=blocks)


def _generate_kind(
    scenario: Scenario, kind: CallKind, rng: random.Random
) -> Iterator[Arrival]:
    """Sample an inhomogeneous Poisson process by thinning one of the maximum rate."""
    max_factor = 1.0 + scenario.wave_share
    for fault in scenario.faults:
        if isinstance(fault, Burst):
            max_factor *= max(fault.factor, 1.0)
    at_s = 0.0
    while True:
        at_s += rng.expovariate(kind.per_s * max_factor)
        if at_s >= scenario.length_s:
            return
        is_kept = rng.random() * max_factor < _compute_rate_factor(scenario, at_s)
        arrival = _generate_arrival(scenario, kind, at_s, rng)
        if is_kept:
            yield arrival


def _compute_rate_factor(scenario: Scenario, at_s: float) -> float:
    """Return the arrival rate at a time, as a multiple of the mean rate."""
    phase = 2 * math.pi * at_s / scenario.wave_s
    rate = 1.0 + scenario.wave_share * math.sin(phase)
    for fault in scenario.faults:
        if isinstance(fault, Burst) and 0 <= at_s - fault.at_s < fault.for_s:
            rate *= fault.factor
    return rate


def _generate_arrival(
    scenario: Scenario, kind: CallKind, at_s: float, rng: random.Random
) -> Arrival:
    domain = rng.randrange(scenario.domains)
    size = min(rng.lognormvariate(-0.32, 0.8), MAX_SIZE_FACTOR)
    shared = _choose_shared_blocks(scenario, kind, at_s, rng)
    own_tokens = max(int(kind.prompt_tokens * size), 1) if kind.prompt_tokens else 0
    outputs = max(int(kind.output_tokens * rng.uniform(0.4, 1.6)), 1)
    work_ms = kind.work_ms * rng.uniform(0.5, 1.5)
    own = f"{kind.name} own {rng.getrandbits(48):x}"
    blocks = (*shared, PromptBlock(own, own_tokens)) if own_tokens else ()
    worth = kind.worth
    if blocks:
        total = sum(block.tokens for block in blocks)
        mean = kind.prompt_tokens + sum(each.tokens for each in kind.shared)
        worth *= min(
            FIXED_WORTH_SHARE + (1.0 - FIXED_WORTH_SHARE) * total / mean,
            MAX_SIZE_FACTOR,
        )
    return Arrival(0, at_s * 1000, kind, domain, blocks, outputs, work_ms, worth)


def _choose_shared_blocks(
    scenario: Scenario, kind: CallKind, at_s: float, rng: random.Random
) -> tuple[PromptBlock, ...]:
    subject = rng.random()
    draw = rng.random()
    for fault in scenario.faults:
        if not isinstance(fault, HotSubject) or fault.kind != kind.name:
            continue
        if 0 <= at_s - fault.at_s < fault.for_s and draw < fault.share:
            subject = 0.0
    # The same draw is used at all levels, so that a subject always has the same parent
    # subjects.
    return tuple(
        PromptBlock(f"{kind.name} {level} {int(subject * each.subjects)}", each.tokens)
        for level, each in enumerate(kind.shared)
    )
