"""Test that no path leads to a replica that states that it wants no calls."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from hypothesis import given, strategies as st

from toucanyard.errorcodes import Ending
from toucanyard.names import EndpointName, Fingerprint
from toucanyard.pending_call import PendingCall
from toucanyard.relay_requests import RelayDispatch
from toucanyard.requests import DispatchEnding

from .flow_node import SLOTS, Node
from .relay_examples import ENGINES, build_prompt, build_request

STATED_MS = 5.0


def state_leave(node: Node, *names: str) -> None:
    for name in names:
        known = node.directory.find(EndpointName(name))
        assert known is not None
        known.leave_stated_ms = STATED_MS


def state_rest(node: Node, *names: str) -> None:
    for name in names:
        known = node.directory.find(EndpointName(name))
        assert known is not None
        known.record_deferral(STATED_MS + 100_000.0)


STATEMENTS = pytest.mark.parametrize("state", [state_leave, state_rest])
State = Callable[..., None]


@STATEMENTS
def test_new_calls_go_elsewhere(state: State) -> None:
    node = Node()
    state(node, "x", "y")
    for number in range(5):
        node.arrive(f"q{number}", 10.0)
        assert node.find_dispatch(f"q{number}").replica == "z"


@STATEMENTS
@pytest.mark.parametrize("ending", list(DispatchEnding))
def test_retries_go_elsewhere(state: State, ending: DispatchEnding) -> None:
    """Guards against a retry that uses the only replica not tried yet."""
    node = Node(desks="xyz")
    node.arrive("q")
    first = node.find_dispatch("q").replica
    second, third = sorted({"x", "y", "z"} - {first})
    state(node, second)
    node.end("q", ending)
    if ending not in (DispatchEnding.COMPLETED, DispatchEnding.CANCELLED):
        assert node.find_dispatch("q").replica == third


@STATEMENTS
def test_retry_does_not_return_to_a_replica_that_was_tried(state: State) -> None:
    """Guards against trying all replicas again where none is left untried."""
    node = Node(desks="x")
    node.arrive("q")
    state(node, "x")
    node.end("q", DispatchEnding.NOT_SENT, is_withdrawn=True)
    node.take(node.flow.tick(20.0))
    assert len(node.list_dispatches()) == 1
    known = node.directory.find(EndpointName("x"))
    assert known is not None
    assert known.compute_failures(10.0) == 0.0


@STATEMENTS
def test_queued_calls_are_not_sent_when_a_slot_becomes_free(state: State) -> None:
    """Guards against calls that were queued before the replica stated it."""
    node = Node(desks="x")
    for number in range(3 * SLOTS):
        node.arrive(f"q{number}", deadline_ms=9_000.0)
    assert node.flow.count_waiting() > 0
    state(node, "x")
    before = len(node.list_dispatches())
    node.end("q0", DispatchEnding.COMPLETED, 20.0)
    node.take(node.flow.tick(30.0))
    assert len(node.list_dispatches()) == before


@STATEMENTS
def test_stream_is_resumed_elsewhere_or_not_at_all(state: State) -> None:
    """Guards against resuming a stream at the only replica with its weights."""
    node = Node(engines="ab")
    node.arrive(
        "q",
        service=ENGINES,
        prompt=build_prompt(),
        is_stream=True,
        is_resumable=True,
    )
    first = node.find_dispatch("q").replica
    state(node, "b" if first == "a" else "a")
    node.end("q", DispatchEnding.LOST, has_begun=True)
    assert len(node.list_dispatches()) <= 2
    assert node.find_last("q") is not None
    assert all(each.replica == first for each in node.list_dispatches())


@STATEMENTS
def test_prompt_is_neither_placed_nor_fetched_there(state: State) -> None:
    """Guards against fetching a cached prompt from a replica that wants no calls."""
    node = Node(engines="ab")
    node.arrive("q", service=ENGINES, prompt=build_prompt())
    holder = node.find_dispatch("q")
    node.end("q", DispatchEnding.COMPLETED)
    state(node, holder.replica)
    node.arrive("p", 60_000.0, service=ENGINES, prompt=build_prompt())
    dispatch = node.find_dispatch("p")
    assert dispatch.replica != holder.replica
    assert dispatch.fetch_from != holder.address


@STATEMENTS
def test_request_held_for_one_replica_goes_to_another(state: State) -> None:
    """Guards against the fixed replica of a request that is suspected of crashes."""
    node = Node(desks="xyz")
    request = build_request("q", fingerprint=Fingerprint("suspect"))

    def place(now_ms: float) -> EndpointName | None:
        pending = PendingCall(request, is_suspect=True)
        dispatch = node.calls.place(pending, now_ms)
        return dispatch.replica if isinstance(dispatch, RelayDispatch) else None

    preferred = place(0.0)
    assert preferred == place(1.0)
    assert preferred is not None
    state(node, preferred)
    assert place(10.0) not in (None, preferred)


def rest(node: Node, name: str, until_ms: float) -> None:
    known = node.directory.find(EndpointName(name))
    assert known is not None
    known.record_deferral(until_ms)


def test_call_that_rests_would_delay_past_its_deadline_is_refused_at_once() -> None:
    """Guards against a call that waits in vain, or comes back before the rest ends."""
    node = Node(desks="xy")
    rest(node, "x", 3_000.0)
    rest(node, "y", 4_000.0)
    node.arrive("q", 10.0, deadline_ms=2_900.0)
    refusal = node.find_refusal("q")
    assert refusal.ending is Ending.NOT_RUN
    assert refusal.retry_after_ms >= 2_990.0


def test_call_that_can_wait_for_the_end_of_a_rest_is_served() -> None:
    """Guards against refusing a call that its replicas will take in time."""
    node = Node(desks="xy")
    rest(node, "x", 3_000.0)
    rest(node, "y", 4_000.0)
    node.arrive("q", 10.0, deadline_ms=6_000.0)
    node.take(node.flow.tick(2_999.0))
    assert node.find_last("q") == "nothing"
    node.take(node.flow.tick(3_000.0))
    assert node.find_dispatch("q").replica == "x"


def test_waiting_call_is_refused_as_soon_as_a_longer_rest_is_known() -> None:
    node = Node(desks="x")
    rest(node, "x", 500.0)
    node.arrive("q", 10.0, deadline_ms=2_000.0)
    rest(node, "x", 9_000.0)
    node.take(node.flow.tick(25.0))
    assert node.find_refusal("q").retry_after_ms >= 8_975.0


def test_rest_does_not_count_as_a_failure_or_end_with_a_success() -> None:
    """Guards against an answer to an earlier call that ends a rest."""
    node = Node(desks="x")
    node.arrive("q", 10.0)
    node.arrive("p", 10.0)
    rest(node, "x", 3_000.0)
    node.end("q", DispatchEnding.REFUSED)
    node.end("p", DispatchEnding.COMPLETED, 400.0)
    known = node.directory.find(EndpointName("x"))
    assert known is not None
    assert known.is_deferred(2_999.0)
    assert known.compute_failures(400.0) == 0.0


@given(st.lists(st.tuples(st.floats(0.0, 5_000.0), st.floats(0.0, 60_000.0))))
def test_a_rest_is_never_shortened(rests: list[tuple[float, float]]) -> None:
    node = Node(desks="x")
    known = node.directory.find(EndpointName("x"))
    assert known is not None
    for stated_ms, retry_after_ms in rests:
        known.record_deferral(stated_ms + retry_after_ms)
    for stated_ms, retry_after_ms in rests:
        assert not known.is_deferred(max(s + r for s, r in rests))
        assert known.deferred_until_ms >= stated_ms + retry_after_ms
