"""Evaluate failure detectors on the same seeded traces.

A trace contains the outcome of each poll of each watcher. All rules are evaluated on
the same traces: time to detect a dead endpoint, and false condemnations caused by
lossy links, pauses of endpoints and nodes with a bad network of their own.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterator
from typing import Final

import msgspec

from toucanyard.detectors import (
    AccrualDetector,
    Detector,
    ErrorRunDetector,
    SourceQuorum,
    TimeoutDetector,
)
from toucanyard.options import MembershipTimings

_TIMINGS: Final = MembershipTimings()
POLL_MS: Final = 250.0
TIMEOUT_MS: Final = 500.0
DISSEMINATION_MS: Final = 150.0
"""Time until a report of one source reaches the others."""
WATCHERS: Final = 9
ENDPOINTS: Final = 14


class Scenario(msgspec.Struct, frozen=True):
    """The failures in one trace."""

    name: str
    duration_ms: float
    loss: float = 0.0
    dead_at_ms: float | None = None
    is_silent: bool = False
    gray_nodes: int = 0
    gray_loss: float = 0.0
    pause_share: float = 0.0
    """Share of the time for which an endpoint is paused, in pauses of 1.2 s."""


class Rule(msgspec.Struct, frozen=True):
    """A detector and the number of sources that must agree."""

    name: str
    build: Callable[[float], Detector]
    sources: int
    ignores_own_outage: bool = False
    """Whether a watcher reports no endpoint while most endpoints fail for it."""


class Poll(msgspec.Struct, frozen=True, order=True):
    """The outcome of one poll, at its end."""

    at_ms: float
    watcher: int
    endpoint: int
    is_ok: bool


class Result(msgspec.Struct):
    """The result of one rule on the traces of a scenario."""

    detection_ms: list[float] = msgspec.field(default_factory=list)
    missed: int = 0
    wrong: int = 0
    """The number of condemnations of live endpoints."""
    wrong_ms: float = 0.0
    hours: float = 0.0


SCENARIOS: Final = (
    Scenario("process dies", 20_000, 0.01, 10_000),
    Scenario("VM goes silent", 20_000, 0.01, 10_000, is_silent=True),
    Scenario("dies, 10% loss", 20_000, 0.1, 10_000, is_silent=True),
    Scenario("5% loss", 300_000, 0.05),
    Scenario("20% loss", 300_000, 0.2),
    Scenario("pauses of 1.2 s", 300_000, 0.01, pause_share=0.02),
    Scenario("one gray node", 300_000, 0.01, gray_nodes=1, gray_loss=0.8),
    Scenario("one node cut off", 300_000, 0.01, gray_nodes=1, gray_loss=1.0),
    Scenario("two gray nodes", 300_000, 0.01, gray_nodes=2, gray_loss=0.8),
)


def build_rules() -> tuple[Rule, ...]:
    """Return the rules to compare."""
    reports, window_ms = _TIMINGS.condemn_reports, float(_TIMINGS.condemn_window_ms)
    silence_ms = float(_TIMINGS.suspect_after_ms)
    sources = _TIMINGS.condemn_sources
    return (
        Rule(
            "timeout, 1 source", lambda now_ms: TimeoutDetector(silence_ms, now_ms), 1
        ),
        Rule(
            "accrual, 1 source", lambda now_ms: AccrualDetector(8.0, POLL_MS, now_ms), 1
        ),
        Rule("N errors, 1 source", lambda _: ErrorRunDetector(reports, window_ms), 1),
        Rule(
            "timeout, S sources",
            lambda now_ms: TimeoutDetector(silence_ms, now_ms),
            sources,
        ),
        Rule(
            "accrual, S sources",
            lambda now_ms: AccrualDetector(8.0, POLL_MS, now_ms),
            sources,
        ),
        Rule(
            "accrual wide, S",
            lambda now_ms: AccrualDetector(8.0, POLL_MS, now_ms, POLL_MS),
            sources,
        ),
        Rule(
            "N errors, S sources",
            lambda _: ErrorRunDetector(reports, window_ms),
            sources,
        ),
        Rule(
            "same, doubts itself",
            lambda _: ErrorRunDetector(reports, window_ms),
            sources,
            ignores_own_outage=True,
        ),
    )


def build_trace(scenario: Scenario, seed: int) -> list[Poll]:
    """Return the polls of all watchers, ordered by their end."""
    rng = random.Random(f"{scenario.name} {seed}")
    pauses = [_build_pauses(scenario, rng) for _ in range(ENDPOINTS)]
    polls: list[Poll] = []
    for watcher in range(WATCHERS):
        loss = scenario.gray_loss if watcher < scenario.gray_nodes else scenario.loss
        for endpoint in range(ENDPOINTS):
            at_ms = rng.uniform(0, POLL_MS)
            while at_ms < scenario.duration_ms:
                took_ms, is_ok = _poll(scenario, endpoint, at_ms, loss, pauses, rng)
                polls.append(Poll(at_ms + took_ms, watcher, endpoint, is_ok))
                at_ms += max(took_ms, POLL_MS * rng.uniform(0.95, 1.05))
    polls.sort()
    return polls


def _build_pauses(scenario: Scenario, rng: random.Random) -> list[float]:
    starts: list[float] = []
    if scenario.pause_share:
        at_ms = 0.0
        while at_ms < scenario.duration_ms:
            at_ms += rng.expovariate(scenario.pause_share / 1_200)
            starts.append(at_ms)
    return starts


def _poll(
    scenario: Scenario,
    endpoint: int,
    at_ms: float,
    loss: float,
    pauses: list[list[float]],
    rng: random.Random,
) -> tuple[float, bool]:
    dead_ms = scenario.dead_at_ms
    if endpoint == 0 and dead_ms is not None and at_ms >= dead_ms:
        return (TIMEOUT_MS if scenario.is_silent else 1.0), False
    if rng.random() < loss:
        return TIMEOUT_MS, False
    waits = [start + 1_200 - at_ms for start in pauses[endpoint] if start <= at_ms]
    wait_ms = max([0.0, *waits])
    if wait_ms >= TIMEOUT_MS:
        return TIMEOUT_MS, False
    return wait_ms + rng.uniform(1.0, 5.0), True


def evaluate_rule(
    rule: Rule, scenario: Scenario, polls: list[Poll], result: Result
) -> None:
    """Evaluate one rule on one trace and add to its result."""
    local = {
        (watcher, endpoint): rule.build(0.0)
        for watcher in range(WATCHERS)
        for endpoint in range(ENDPOINTS)
    }
    agreed = [SourceQuorum(rule.sources, 1e12) for _ in range(ENDPOINTS)]
    condemned_since: dict[int, float] = {}
    failing: list[set[int]] = [set() for _ in range(WATCHERS)]
    is_detected = False
    for now_ms, watcher, endpoint, poll in _iterate_polls_and_checks(
        polls, scenario.duration_ms
    ):
        detector = local[watcher, endpoint]
        if poll is not None:
            _record_poll(detector, failing[watcher], poll)
        is_ignored = rule.ignores_own_outage and 2 * len(failing[watcher]) > ENDPOINTS
        if detector.is_suspect(now_ms) and not is_ignored:
            agreed[endpoint].record_report(str(watcher), now_ms)
        else:
            agreed[endpoint].withdraw(str(watcher))
        is_condemned = agreed[endpoint].is_condemned(now_ms)
        dead_ms = scenario.dead_at_ms
        is_dead = endpoint == 0 and dead_ms is not None and now_ms >= dead_ms
        if is_condemned and endpoint not in condemned_since:
            condemned_since[endpoint] = now_ms
            if not is_dead:
                result.wrong += 1
        if not is_condemned and endpoint in condemned_since:
            result.wrong_ms += now_ms - condemned_since.pop(endpoint)
        if (
            is_dead
            and dead_ms is not None
            and endpoint in condemned_since
            and not is_detected
        ):
            is_detected = True
            result.detection_ms.append(
                max(now_ms, dead_ms) - dead_ms + DISSEMINATION_MS
            )
    if scenario.dead_at_ms is not None and not is_detected:
        result.missed += 1
    result.hours += scenario.duration_ms / 3_600_000 * ENDPOINTS


def _record_poll(detector: Detector, failing: set[int], poll: Poll) -> None:
    if poll.is_ok:
        detector.record_success(poll.at_ms)
        failing.discard(poll.endpoint)
    else:
        detector.record_error(poll.at_ms)
        failing.add(poll.endpoint)


def _iterate_polls_and_checks(
    polls: list[Poll], duration_ms: float
) -> Iterator[tuple[float, int, int, Poll | None]]:
    """Yield polls, and checks every 100 ms, because silence causes no event."""
    checks = (
        (at_ms * 100.0, watcher, endpoint, None)
        for at_ms in range(int(duration_ms / 100))
        for watcher in range(WATCHERS)
        for endpoint in range(ENDPOINTS)
    )
    ends = ((poll.at_ms, poll.watcher, poll.endpoint, poll) for poll in polls)
    return heapq.merge(checks, ends, key=lambda each: each[0])
