from __future__ import annotations

import heapq

import pytest
from hypothesis import given, strategies as st

from toucanyard.answer_times.answer_times import (
    MARGIN,
    MAX_ROUTES,
    MAX_SHARE,
    MIN_ANSWERS,
    AnswerTimes,
)
from toucanyard.errorcodes import Ending
from toucanyard.relay_policy import QueuePolicy, RelayPolicy
from toucanyard.relay_requests import RelayDispatch
from toucanyard.requests import DispatchEnding, Refuse

from ..flow_node import Node
from ..relay_examples import DESK, build_request

ANSWER_MS = 400.0
DEADLINE_MS = 1_000.0
STEP_MS = 10.0
PLACES = 6
"""Calls that a node sends to a replica of four slots at once."""


def test_estimate_needs_a_few_answers() -> None:
    """A node has just started and knows nothing."""
    times = AnswerTimes()
    request = build_request("q", arrived_ms=0.0, deadline_ms=10_000.0)
    for _ in range(MIN_ANSWERS):
        assert times.estimate(request) == 0.0
        times.record(request, 300.0)
    assert times.estimate(request) == pytest.approx(300.0 * MARGIN)


def test_estimate_leaves_time_to_wait() -> None:
    """Answers that took nearly all of the time would end all queues."""
    times = AnswerTimes()
    request = build_request("q", arrived_ms=0.0, deadline_ms=1_000.0)
    for _ in range(MIN_ANSWERS):
        times.record(request, 990.0)
    assert times.estimate(request) == 1_000.0 * MAX_SHARE


def test_number_of_routes_is_bounded() -> None:
    """Operators add and drop thousands of routes a day."""
    times = AnswerTimes()
    for number in range(MAX_ROUTES + 50):
        times.record(build_request("q", route=f"r{number}"), 10.0)
    first = build_request("q", route="r0")
    for _ in range(MIN_ANSWERS - 1):
        times.record(first, 10.0)
    assert times.estimate(first) == 0.0


@given(
    st.lists(st.floats(min_value=-1e9, max_value=1e9), max_size=30),
    st.floats(min_value=-1e6, max_value=1e6),
)
def test_any_answers_give_a_bounded_estimate(took: list[float], left: float) -> None:
    """The clock steps back, and a call arrives past its deadline."""
    times = AnswerTimes()
    request = build_request("q", arrived_ms=0.0, deadline_ms=left)
    for each in took:
        times.record(request, each)
    assert 0.0 <= times.estimate(request) <= max(left, 0.0) * MAX_SHARE


class Overload:
    """Calls at twice what one plain replica of six places can answer in time."""

    def __init__(self, *, keeps: bool) -> None:
        policy = RelayPolicy(queue=QueuePolicy(keeps_answer_time=keeps))
        self.node = Node("x", "", policy)
        self.begun: dict[str, float] = {}
        self.ends: list[tuple[float, str]] = []
        self.answered = 0
        self.cut = 0
        self.refused = 0

    def play(self, for_ms: float, gap_ms: float) -> None:
        now_ms, sent = 0.0, 0
        while now_ms < for_ms:
            while sent * gap_ms <= now_ms:
                self.node.arrive(f"q{sent}", now_ms, service=DESK, route="r")
                sent += 1
            while self.ends and self.ends[0][0] <= now_ms:
                self._end(*heapq.heappop(self.ends))
            self.node.take(self.node.flow.tick(now_ms))
            self._collect(now_ms)
            now_ms += STEP_MS

    def _collect(self, now_ms: float) -> None:
        for request_id, replies in list(self.node.replies.items()):
            match replies[-1]:
                case RelayDispatch() if request_id not in self.begun:
                    self.begun[request_id] = now_ms
                    arrived_ms = int(request_id[1:]) * self.gap_ms
                    end_ms = min(now_ms + ANSWER_MS, arrived_ms + DEADLINE_MS)
                    heapq.heappush(self.ends, (end_ms, request_id))
                case Refuse() as refusal:
                    assert refusal.ending is Ending.NOT_RUN
                    self.refused += 1
                    del self.node.replies[request_id]

    gap_ms = 33.0

    def _end(self, at_ms: float, name: str) -> None:
        is_whole = at_ms - self.begun[name] >= ANSWER_MS - STEP_MS
        ending = DispatchEnding.COMPLETED if is_whole else DispatchEnding.CANCELLED
        self.answered += is_whole
        self.cut += not is_whole
        self.node.end(name, ending, at_ms)
        del self.node.replies[name]  # type: ignore[arg-type]


def test_no_queued_call_begins_that_its_deadline_cuts() -> None:
    """Calls that begin too late take the room of calls that had time."""
    before, after = Overload(keeps=False), Overload(keeps=True)
    for each in (before, after):
        each.play(20_000.0, each.gap_ms)
    assert before.cut > 20
    # The first answers show how long an answer takes.
    assert after.cut <= MIN_ANSWERS
    assert after.answered >= 0.95 * 20_000.0 / ANSWER_MS * PLACES
    assert after.answered > before.answered


def test_calls_that_find_room_are_not_refused() -> None:
    """Less than what the replica can answer."""
    calm = Overload(keeps=True)
    calm.gap_ms = 100.0
    calm.play(10_000.0, calm.gap_ms)
    assert calm.refused == 0
    assert calm.cut == 0
