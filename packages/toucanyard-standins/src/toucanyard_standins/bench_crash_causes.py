"""Measure what attributing crashes to prompt blocks costs a node."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from typing import Final

import msgspec

from toucanyard.link_messages import LostRun
from toucanyard.names import (
    CustomerName,
    EndpointName,
    Fingerprint,
    RequestId,
    ServiceName,
)
from toucanyard.pending_call import PendingCall
from toucanyard.prompt_block_index import PromptBlock
from toucanyard.relay_requests import Prompt, RelayOutcome, RelayRequest
from toucanyard.replicas import ReplicaDirectory
from toucanyard.request_guard import RequestGuard
from toucanyard.request_traits import build_block_trait
from toucanyard.requests import DispatchEnding, Repeatability

SIZES: Final = (4, 40, 255)
"""Shared blocks of a prompt: usual, long, and the most that a call may name."""
REPEATS: Final = 2_000
CRASHES: Final = 20
RUNS_AT_CRASH: Final = 30
CALL_MS: Final = 10.0
SURVIVAL_MS: Final = 1_000.0


def build_pending(number: int, blocks: int) -> PendingCall:
    """Return a call whose prompt shares blocks with other calls."""
    parts = tuple(PromptBlock(f"{each:016x}", 100) for each in range(blocks))
    own = PromptBlock(f"own{number}", 100)
    request = RelayRequest(
        request_id=RequestId(f"q{number}"),
        caller_id=f"q{number}",
        customer=CustomerName("c"),
        route="r",
        service=ServiceName("s"),
        repeatability=Repeatability.REPEATABLE,
        is_stream=True,
        is_resumable=True,
        max_attempts=2,
        rank=0,
        target_ms=200,
        arrived_ms=0.0,
        deadline_ms=1_000.0,
        table_version=1,
        prompt=Prompt("m", (*parts, own), 20),
        fingerprint=Fingerprint(f"body{number}"),
    )
    return PendingCall(request)


def build_guard(*, crashes: int = 0) -> RequestGuard:
    """Return a guard that knows crashes under blocks of other prompts."""
    guard = RequestGuard(ReplicaDirectory(), lambda *_: 0, random.Random(1))
    for number in range(crashes):
        traits = [build_block_trait(f"other{each}") for each in range(RUNS_AT_CRASH)]
        traits += [Fingerprint(f"{number} {each}") for each in range(RUNS_AT_CRASH)]
        at_ms = number * SURVIVAL_MS
        runs = [LostRun(trait, 50.0) for trait in traits]
        name = EndpointName(f"r{number}")
        guard.ledger.add_crash(name, at_ms, runs, at_ms, is_shared=True)
    return guard


def time_calls_us(
    pending: list[PendingCall], act: Callable[[PendingCall], object]
) -> float:
    """Return the mean time of an action on a call, in microseconds."""
    begun_s = time.perf_counter()
    for each in pending:
        act(each)
    return (time.perf_counter() - begun_s) / len(pending) * 1e6


def measure_answers(guard: RequestGuard, pending: list[PendingCall]) -> float:
    """Return the mean time to record an answer and its survival, in microseconds."""
    now_ms = [0.0]

    def answer(each: PendingCall) -> None:
        now_ms[0] += CALL_MS
        outcome = RelayOutcome(
            each.request.request_id, EndpointName("r"), DispatchEnding.COMPLETED
        )
        guard.on_dispatch_ended(
            msgspec.structs.replace(each, sent_ms=now_ms[0]), outcome, now_ms[0]
        )
        guard.tick(now_ms[0])

    return time_calls_us(pending, answer)


def main(_: list[str]) -> int:
    """Print the costs by the number of blocks of a prompt."""
    print("blocks  check, calm us  check, 20 crashes us  answer and survival us")
    for size in SIZES:
        pending = [build_pending(number, size) for number in range(REPEATS)]
        calm, busy = build_guard(), build_guard(crashes=CRASHES)
        costs = [
            time_calls_us(
                pending,
                lambda each, g=guard: g.check(each.request, lambda: False, 1e6),  # type: ignore[misc]
            )
            for guard in (calm, busy)
        ]
        costs.append(measure_answers(calm, pending))
        print(f"{size:6}  {costs[0]:14.2f}  {costs[1]:20.2f}  {costs[2]:22.2f}")
    return 0
