from __future__ import annotations

import pytest
from hypothesis import given, strategies as st

from toucanyard.answer_times.recent_answers import (
    MAX_KINDS,
    MIN_ANSWERS,
    RecentAnswers,
)
from toucanyard.errorcodes import Ending, ErrorKind
from toucanyard.names import NodeName
from toucanyard.pending_call import PendingCall
from toucanyard.relay_events import AttemptSilent, StopBegun
from toucanyard.relay_requests import HedgeWithheld, RelayDispatch, RelayRequest
from toucanyard.requests import Repeatability
from toucanyard.stop_admission import (
    CLOSE_MS,
    RESTART_MS,
    SIGNAL_DELAY_MS,
    StopAdmission,
)

from .crash_fleet import Call, CrashFleet
from .relay_examples import DESK, build_prompt, build_request

LEFT_MS = 7_400.0
KEPT_MS = 3_000.0
"""How long callers keep the address of a stopping node."""
LISTEN_MS = 3_300.0
"""How long it takes calls."""
TIMEOUT_MS = 15_000.0
STEP_MS = 250.0
LENGTHS_MS = {"short": 50.0, "middle": 2_700.0, "long": 6_300.0}


class StopFleet(CrashFleet):
    """A fleet whose calls take a time that depends on their route."""

    def _deliver_call(self, call: Call, dispatch: RelayDispatch) -> None:
        self.run_ms = LENGTHS_MS[call.request.route]
        super()._deliver_call(call, dispatch)

    def call_route(self, node: NodeName, route: str, deadline_ms: float) -> Call:
        """Deliver a call that may run once."""
        request = build_request(
            f"call-{next(self._numbers)}",
            service=DESK,
            route=route,
            repeatability=Repeatability.RUN_ONCE,
            is_stream=True,
            max_attempts=1,
            arrived_ms=self.now_ms,
            deadline_ms=self.now_ms + deadline_ms,
        )
        return self.deliver(Call(node, request))

    def learn(self, node: NodeName) -> None:
        """Let a node see a few answers of each route."""
        for route in LENGTHS_MS:
            for _ in range(MIN_ANSWERS):
                self.call_route(node, route, TIMEOUT_MS)
        self.run_for(max(LENGTHS_MS.values()) + 1_000.0)

    def play_stop(self, node: NodeName) -> list[tuple[float, Call]]:
        """Stop a node; return calls and when they were sent after that."""
        self.handle(node, StopBegun(KEPT_MS, LEFT_MS))
        begun_ms, sent = self.now_ms, list[tuple[float, Call]]()
        while self.now_ms - begun_ms < LISTEN_MS:
            after_ms = self.now_ms - begun_ms
            for route in LENGTHS_MS:
                sent.append((after_ms, self.call_route(node, route, TIMEOUT_MS)))
            self.run_for(STEP_MS)
        self.run_for(LEFT_MS - (self.now_ms - begun_ms))
        return sent


def build_stopped(
    node: str = "n0", *, is_known: bool, nodes: int = 3
) -> list[tuple[float, Call]]:
    fleet = StopFleet(1, nodes)
    name = NodeName(node)
    if is_known:
        fleet.learn(name)
    return fleet.play_stop(name)


def test_calls_of_known_length_are_answered_or_refused_never_cut() -> None:
    """Guards against a stopping node that begins a stream which its end cuts."""
    sent = build_stopped(is_known=True)
    assert [call for _, call in sent if call.ending is None] == []
    for after_ms, call in sent:
        can_end = after_ms + LENGTHS_MS[call.request.route] <= LEFT_MS - 100.0
        if after_ms < KEPT_MS - CLOSE_MS and can_end:
            assert call.ending == "completed"
        if call.ending == "refused":
            assert call.refusal is not None
            assert call.refusal.kind is ErrorKind.DRAINING
            assert call.refusal.ending is Ending.NOT_RUN
            assert not call.sends
        if after_ms >= KEPT_MS:
            assert call.ending == "refused"


def test_no_late_call_begins_however_short_such_answers_were() -> None:
    """Guards against one answer that takes far longer than all before it."""
    answers = RecentAnswers()
    request = build_late(KEPT_MS)
    for _ in range(2 * MIN_ANSWERS):
        answers.record(request, 1.0)
    stop = StopAdmission(answers, lambda _: True)
    stop.begin(KEPT_MS, LEFT_MS)
    assert stop.check(PendingCall(request), KEPT_MS) is not None
    early = build_late(KEPT_MS - SIGNAL_DELAY_MS)
    assert stop.check(PendingCall(early), early.arrived_ms) is None


def test_calls_of_unknown_length_are_served_while_callers_keep_the_address() -> None:
    """Guards against a stop that cuts calls of callers which should be gone."""
    sent = build_stopped(is_known=False, nodes=1)
    cut = [after_ms for after_ms, call in sent if call.ending is None]
    assert all(after_ms < KEPT_MS for after_ms in cut)
    for after_ms, call in sent:
        if after_ms < KEPT_MS - SIGNAL_DELAY_MS:
            assert call.sends == 1


def test_calls_of_unknown_length_that_run_once_go_to_a_ready_node() -> None:
    """Guards against calls that are cut by a stop though another node takes calls."""
    sent = build_stopped(is_known=False, nodes=3)
    assert {call.ending for _, call in sent} == {"refused"}
    for _, call in sent:
        assert not call.sends
        assert call.refusal is not None
        assert call.refusal.ending is Ending.NOT_RUN
        assert call.refusal.retry_after_ms == 0


@pytest.mark.parametrize("repeatability", Repeatability)
def test_share_of_long_answers_that_keeps_a_call_from_beginning(
    repeatability: Repeatability,
) -> None:
    """Guards against a call that may run once and is cut with one of four alike."""
    answers = RecentAnswers()
    request = build_late(1_000.0, repeatability=repeatability)
    for number in range(4 * MIN_ANSWERS):
        answers.record(request, 9_000.0 if number % 4 == 0 else 100.0)
    is_once = repeatability is Repeatability.RUN_ONCE
    for has_peer in (False, True):
        ready = {1_000.0} if has_peer else set[float]()
        stop = StopAdmission(answers, ready.__contains__)
        stop.begin(KEPT_MS, LEFT_MS)
        refused = stop.check(PendingCall(request), 1_000.0)
        assert (refused is not None) == (is_once and has_peer)


def test_caller_is_sent_to_another_node_at_once_if_there_is_one() -> None:
    for has_peer, retry_ms in ((True, 0.0), (False, 400.0 + RESTART_MS)):
        peers = {600.0} if has_peer else set[float]()
        stop = StopAdmission(RecentAnswers(), peers.__contains__)
        stop.begin(100.0, 1_000.0)
        refused = stop.check(PendingCall(build_late(600.0)), 600.0)
        assert refused is not None
        assert refused.retry_ms == retry_ms


def build_late(arrived_ms: float, **changes: object) -> RelayRequest:
    """Return a request whose time is not over before the node ends."""
    fields: dict[str, object] = {"arrived_ms": arrived_ms, "deadline_ms": 60_000.0}
    return build_request("q", **(fields | changes))


def test_call_whose_time_is_over_first_is_always_taken() -> None:
    """Guards against refusing calls that the stop does not touch."""
    stop = StopAdmission(RecentAnswers(), lambda _: True)
    stop.begin(100.0, 1_000.0)
    assert stop.check(PendingCall(build_late(600.0)), 600.0) is not None
    short = build_late(600.0, deadline_ms=1_000.0)
    assert stop.check(PendingCall(short), 600.0) is None


@pytest.mark.parametrize("is_forwarded", [False, True])
def test_call_that_waited_too_long_is_refused_not_begun(is_forwarded: bool) -> None:
    """Guards against a queued call that finds room shortly before its node ends."""
    stop = StopAdmission(RecentAnswers(), lambda _: True)
    stop.begin(KEPT_MS, LEFT_MS)
    pending = PendingCall(build_late(1_000.0, is_forwarded=is_forwarded))
    assert stop.check(pending, 5_000.0) is None
    assert stop.check(pending, 6_900.0) is not None
    pending.has_begun = True
    assert stop.check(pending, 6_900.0) is None


def test_silent_call_is_not_hedged_shortly_before_the_end() -> None:
    """Guards against an attempt that is begun in the last second of a node."""
    fleet = StopFleet(1, 1)
    node = NodeName("n0")
    fleet.learn(node)
    call = fleet.call_route(node, "long", 60_000.0)
    fleet.run_for(50.0)
    fleet.handle(node, StopBegun(KEPT_MS, LEFT_MS))
    fleet.run_for(6_000.0)
    core = fleet.core(node)
    silent = AttemptSilent(call.request.request_id, 1, 1, False)
    replies = list(core.flow.handle_silent(silent, fleet.now_ms))
    assert [type(each.verdict) for each in replies] == [HedgeWithheld]


@given(
    st.lists(st.floats(1, 10_000), min_size=MIN_ANSWERS, max_size=40),
    st.floats(0, 500),
)
def test_late_call_begins_only_if_all_recent_answers_would_have_ended(
    times: list[float], arrived_ms: float
) -> None:
    """Guards against a late stream that is cut as its node ends."""
    answers = RecentAnswers()
    request = build_late(arrived_ms)
    for each in times:
        answers.record(request, each)
    stop = StopAdmission(answers, lambda _: True)
    stop.begin(SIGNAL_DELAY_MS, LEFT_MS)
    if stop.check(PendingCall(request), arrived_ms) is None:
        assert arrived_ms < SIGNAL_DELAY_MS
        assert max(times[-32:]) <= LEFT_MS - arrived_ms


def test_answers_are_kept_by_route_and_size_and_bounded_in_number() -> None:
    answers = RecentAnswers()
    request = build_late(0.0, prompt=build_prompt())
    for number in range(2 * MAX_KINDS):
        other = build_late(0.0, route=f"r{number}")
        answers.record(other, 10.0)
    for _ in range(MIN_ANSWERS):
        answers.record(request, 900.0)
    assert answers.find_share_longer(request, 500.0) == 1.0
    assert answers.find_share_longer(build_late(0.0), 500.0) is None
    assert len(answers._kinds) == MAX_KINDS


def test_ready_nodes_are_listed_once_for_all_calls_of_a_tick() -> None:
    """Guards against a cost of a stop that grows with queue times fleet."""
    asked: list[float] = []

    def has_ready_peer(now_ms: float) -> bool:
        asked.append(now_ms)
        return True

    stop = StopAdmission(RecentAnswers(), has_ready_peer)
    stop.begin(KEPT_MS, LEFT_MS)
    for now_ms in (1_000.0, 1_025.0):
        for _ in range(50):
            stop.check(PendingCall(build_late(0.0)), now_ms)
    assert asked == [1_000.0, 1_025.0]
