"""Attempts that fall silent, their hedges and which of them continues."""

from __future__ import annotations

import pytest
from hypothesis import given, strategies as st

from toucanyard.errorcodes import Ending
from toucanyard.hedged_calls import CHECK_MS, HedgedCalls
from toucanyard.names import EndpointName, NodeName, RequestId
from toucanyard.pending_call import PendingCall
from toucanyard.relay_events import AttemptContinued, AttemptSilent
from toucanyard.relay_requests import HedgeWithheld, RelayDispatch, RelayOutcome
from toucanyard.requests import DispatchEnding, Refuse, Repeatability
from toucanyard.silent_replicas import MAX_COMMON_MS

from .flow_node import SLOTS, Node
from .relay_examples import OPTIONS, build_request

Q = RequestId("q")


def fall_silent(
    node: Node, name: str = "q", now_ms: float = 500.0, *, has_begun: bool = False
) -> None:
    dispatch = node.find_dispatch(name)
    event = AttemptSilent(RequestId(name), dispatch.attempt, 1, has_begun)
    node.take(node.flow.handle_silent(event, now_ms))


def end(
    node: Node, dispatch: RelayDispatch, ending: DispatchEnding, now_ms: float = 600.0
) -> None:
    outcome = RelayOutcome(
        dispatch.request_id, dispatch.replica, ending, attempt=dispatch.attempt
    )
    node.take(node.flow.end_dispatch(outcome, now_ms))


def count_running(node: Node) -> int:
    return sum(each.running for each in node.flow.usage.list_own())


def check_released(node: Node) -> None:
    assert node.flow.count_pending() == 0
    assert node.flow.count_waiting() == 0
    assert node.flow.hedged.count_silent() == 0
    assert node.flow.usage.list_own() == ()


def test_silent_attempt_stays_open_beside_its_hedge() -> None:
    """Guards against ending an attempt for its silence alone."""
    node = Node()
    node.arrive("q", max_attempts=2)
    first = node.find_dispatch("q")
    fall_silent(node)
    hedge = node.find_dispatch("q")
    assert hedge.replica != first.replica
    assert (hedge.attempt, hedge.hedged, hedge.silence) == (2, 1, 1)
    assert count_running(node) == 2


@pytest.mark.parametrize(
    "ending",
    [
        DispatchEnding.NOT_SENT,
        DispatchEnding.REFUSED,
        DispatchEnding.FAILED,
        DispatchEnding.LOST,
    ],
)
def test_hedge_that_fails_leaves_the_silent_attempt_its_call(
    ending: DispatchEnding,
) -> None:
    """Guards against ending a call for the end of its hedge."""
    node = Node()
    node.arrive("q", max_attempts=2)
    first = node.find_dispatch("q")
    fall_silent(node)
    for _ in range(9):
        if not isinstance(node.find_last("q"), RelayDispatch):
            break
        end(node, node.find_dispatch("q"), ending)
    assert isinstance(node.find_last("q"), HedgeWithheld)
    assert count_running(node) == 1
    end(node, first, DispatchEnding.COMPLETED)
    assert node.find_last("q") is None
    check_released(node)


def test_silent_attempt_that_ends_leaves_the_call_to_its_hedge() -> None:
    node = Node()
    node.arrive("q", max_attempts=2)
    first = node.find_dispatch("q")
    fall_silent(node)
    hedge = node.find_dispatch("q")
    end(node, first, DispatchEnding.LOST)
    assert node.find_last("q") is hedge
    assert count_running(node) == 1
    end(node, hedge, DispatchEnding.LOST)
    refusal = node.find_refusal("q")
    assert refusal.ending is Ending.UNKNOWN
    check_released(node)


def test_attempt_that_continues_releases_the_others() -> None:
    """Guards against slots that stay taken by attempts that were cancelled."""
    for wins_first in (True, False):
        node = Node()
        node.arrive("q", max_attempts=2)
        first = node.find_dispatch("q")
        fall_silent(node)
        hedge = node.find_dispatch("q")
        winner = first if wins_first else hedge
        event = AttemptContinued(Q, winner.attempt)
        node.take(node.flow.handle_continued(event, 700.0))
        assert [each.replica for each in node.flow.usage.list_own()] == [winner.replica]
        end(node, winner, DispatchEnding.COMPLETED)
        check_released(node)


def test_call_that_may_run_once_is_not_hedged() -> None:
    """Guards against a second run of what may run once."""
    node = Node()
    node.arrive("q", max_attempts=3, repeatability=Repeatability.RUN_ONCE)
    fall_silent(node)
    withheld = node.find_last("q")
    assert isinstance(withheld, HedgeWithheld)
    assert withheld.attempt == 1
    assert count_running(node) == 1


def test_queued_hedge_that_finds_no_room_costs_the_call_nothing() -> None:
    """Guards against refusing a call whose replica is only silent."""
    node = Node()
    node.arrive("q", max_attempts=2, deadline_ms=3_000.0)
    first = node.find_dispatch("q")
    for number in range(3 * SLOTS * 2):
        node.arrive(f"other{number}", deadline_ms=9_000.0)
    fall_silent(node)
    assert node.find_last("q") is first
    node.take(node.flow.tick(2_990.0))
    assert isinstance(node.find_last("q"), HedgeWithheld)
    end(node, first, DispatchEnding.COMPLETED, 2_995.0)
    assert node.find_last("q") is None


def test_queued_hedge_takes_the_first_slot_as_a_retry_would() -> None:
    """Guards against leaving a replica that died in silence later than before."""
    node = Node(desks="xy")
    node.arrive("q", max_attempts=2, deadline_ms=9_000.0)
    first = node.find_dispatch("q")
    others = [f"other{number}" for number in range(2 * SLOTS * 2)]
    for name in others:
        node.arrive(name, deadline_ms=9_000.0)
    fall_silent(node)
    assert node.find_last("q") is first
    for name in others:
        dispatch = node.find_last(name)
        if isinstance(dispatch, RelayDispatch) and dispatch.replica != first.replica:
            end(node, dispatch, DispatchEnding.COMPLETED)
    assert node.find_dispatch("q").replica != first.replica


def test_call_whose_hedge_is_queued_gets_a_last_reply_when_it_is_cancelled() -> None:
    """Guards against reply channels that are kept after their caller has left."""
    node = Node(desks="x")
    node.arrive("q", max_attempts=2, deadline_ms=9_000.0)
    first = node.find_dispatch("q")
    fall_silent(node)
    assert node.flow.count_waiting() == 1
    end(node, first, DispatchEnding.CANCELLED)
    assert node.find_last("q") is None
    check_released(node)


def test_hedge_never_goes_to_a_replica_with_an_open_attempt() -> None:
    """Guards against sending a call twice to the replica that is silent."""
    node = Node(desks="x")
    node.arrive("q", max_attempts=3, deadline_ms=3_000.0)
    first = node.find_dispatch("q")
    fall_silent(node)
    assert node.find_last("q") is first
    node.take(node.flow.tick(2_990.0))
    assert isinstance(node.find_last("q"), HedgeWithheld)


def test_streams_that_fall_silent_together_stay_within_the_retry_budget() -> None:
    """Guards against flooding other replicas when one with many streams pauses."""
    node = Node(desks="uvwxyz")
    limits = OPTIONS.retries
    names = [f"q{number}" for number in range(20)]
    for name in names:
        node.arrive(name, max_attempts=2, deadline_ms=9_000.0)
    sent = len(node.list_dispatches())
    for name in names:
        if isinstance(node.find_last(name), RelayDispatch):
            fall_silent(node, name)
    hedges = len(node.list_dispatches()) - sent
    assert hedges <= limits.slack + limits.ratio * len(names)


def test_hedge_that_is_not_sent_returns_its_retry() -> None:
    """Guards against a budget that is used up by hedges that never ran."""
    node = Node(desks="x")
    node.arrive("q", max_attempts=9, deadline_ms=1e9)
    slack = int(OPTIONS.retries.slack)
    for number in range(slack + 5):
        fall_silent(node, now_ms=500.0 + number)
        node.take(node.flow.tick(1e9 - 1.0))
        withheld = node.find_last("q")
        assert isinstance(withheld, HedgeWithheld)
        assert "budget" not in withheld.text
        node.replies[Q].append(node.list_dispatches()[0])


def test_forward_that_asks_again_for_a_hedge_uses_up_no_attempts() -> None:
    """Guards against a call out of attempts since its peer was silent for long."""
    hedged = HedgedCalls()
    silent = PendingCall(build_request("q"), sends=1)
    silent.peer, silent.granted_attempts = NodeName("n2"), 2
    for _ in range(5):
        hedge = hedged.begin(silent, 1, 0.0)
        hedge.sends += silent.granted_attempts
        assert hedged.withhold(hedge) is silent
    assert silent.sends == 1


ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(
            ["silent", "continue", "lost", "refused", "failed", "complete", "tick"]
        ),
        st.integers(0, 2),
    ),
    max_size=14,
)


@given(ACTIONS, st.integers(1, 4), st.sampled_from(["x", "xy", "wxyz"]))
def test_attempts_of_a_call_are_counted_once_each_until_it_ends(
    actions: list[tuple[str, int]], max_attempts: int, desks: str
) -> None:
    """Guards against slots, budget or replies that any order of events loses."""
    node = Node(desks=desks)
    node.arrive("q", max_attempts=max_attempts, deadline_ms=60_000.0)
    exchange = Exchange(node)
    exchange.follow()
    for number, (action, index) in enumerate(actions):
        if exchange.is_over:
            break
        exchange.act(action, index, 100.0 * (number + 1))
        exchange.follow()
        if not exchange.is_over:
            assert count_running(node) == len(exchange.live)
            assert exchange.live or node.flow.count_waiting() == 1
        assert len({each.replica for each in exchange.live}) == len(exchange.live)
    node.take(node.flow.leave(Q, 5_000.0))
    check_released(node)


class Exchange:
    """The open attempts of one call, as its exchange knows them."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.live: list[RelayDispatch] = []
        self.is_over = False
        self._read = 0
        self._silence = 0

    def follow(self) -> None:
        verdicts = self.node.replies.get(Q, [])
        for verdict in verdicts[self._read :]:
            match verdict:
                case RelayDispatch():
                    self.live.append(verdict)
                case Refuse() | None:
                    self.is_over = True
        self._read = len(verdicts)

    def act(self, action: str, index: int, now_ms: float) -> None:
        flow = self.node.flow
        if action == "tick":
            self.node.take(flow.tick(now_ms))
        elif self.live:
            dispatch = self.live[index % len(self.live)]
            match action:
                case "silent" if dispatch is self.live[-1]:
                    self._silence += 1
                    event = AttemptSilent(Q, dispatch.attempt, self._silence, False)
                    self.node.take(flow.handle_silent(event, now_ms))
                case "silent":
                    pass
                case "continue":
                    self._continue(dispatch, now_ms)
                case "complete":
                    self._continue(dispatch, now_ms)
                    self.live.remove(dispatch)
                    end(self.node, dispatch, DispatchEnding.COMPLETED, now_ms)
                case _:
                    self.live.remove(dispatch)
                    end(self.node, dispatch, DispatchEnding(action), now_ms)

    def _continue(self, dispatch: RelayDispatch, now_ms: float) -> None:
        event = AttemptContinued(Q, dispatch.attempt)
        self.live = [dispatch]
        self.node.take(self.node.flow.handle_continued(event, now_ms))


def tick_until(node: Node, first_ms: float, last_ms: float) -> float:
    """Tick until the call "q" is sent again; return when that was."""
    now_ms = first_ms
    while now_ms < last_ms:
        node.take(node.flow.tick(now_ms))
        if not isinstance(node.find_last("q"), HedgeWithheld):
            return now_ms
        now_ms += 50.0
    return now_ms


def withhold_for_silence(deadline_ms: float) -> tuple[Node, RelayDispatch]:
    """Return a node at which a call is silent 10 ms after the only other replica."""
    node = Node(desks="xy")
    node.arrive("q", max_attempts=3, target_ms=2_000.0, deadline_ms=deadline_ms)
    first = node.find_dispatch("q")
    other = EndpointName("y" if first.replica == "x" else "x")
    node.calls.silences.record_silent(other, 5_990.0)
    fall_silent(node, now_ms=6_000.0)
    withheld = node.find_last("q")
    assert isinstance(withheld, HedgeWithheld)
    assert "silent" in withheld.text
    return node, first


def test_hedge_withheld_for_a_common_silence_is_sent_when_that_is_over() -> None:
    """Guards against a call that waits for a dead replica until its deadline."""
    node, first = withhold_for_silence(10_000.0)
    sent_ms = tick_until(node, 6_050.0, 12_000.0)
    assert sent_ms <= 6_000.0 + CHECK_MS + 50.0
    hedge = node.find_dispatch("q")
    assert hedge.replica != first.replica
    assert (hedge.hedged, hedge.silence) == (1, 1)
    assert node.flow.hedged.silence_count == 1


def test_hedge_withheld_is_dropped_when_its_attempt_continues_or_ends() -> None:
    """Guards against hedges of calls whose answer goes on."""
    node, first = withhold_for_silence(10_000.0)
    event = AttemptContinued(Q, first.attempt)
    node.take(node.flow.handle_continued(event, 6_100.0))
    assert tick_until(node, 6_150.0, 9_000.0) >= 9_000.0
    end(node, first, DispatchEnding.COMPLETED, 9_000.0)
    check_released(node)
    node, first = withhold_for_silence(10_000.0)
    end(node, first, DispatchEnding.COMPLETED, 6_100.0)
    node.take(node.flow.tick(9_000.0))
    assert node.find_last("q") is None
    check_released(node)


def test_call_lost_where_others_are_answered_is_queued_in_the_end() -> None:
    """Guards against a lost call that is never retried while other calls wait."""
    node = Node(desks="xy")
    node.arrive("q", max_attempts=3, deadline_ms=10_000.0)
    first = node.find_dispatch("q")
    for number in range(3 * SLOTS):
        node.arrive(f"other{number}", deadline_ms=30_000.0)
    assert node.flow.count_waiting() > 0
    waiting = node.flow.count_waiting()
    for now_ms in range(600, 600 + int(MAX_COMMON_MS) + 600, 600):
        node.calls.silences.record_heard(first.replica, now_ms - 10.0)
        event = AttemptSilent(Q, first.attempt, now_ms // 600, has_begun=False)
        node.take(node.flow.handle_silent(event, float(now_ms)))
    assert node.flow.count_waiting() == waiting + 1
