from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, strategies as st

from toucanyard.call_waits import NO_REPLICA_WAIT_MS
from toucanyard.errorcodes import Ending, ErrorKind
from toucanyard.names import EndpointName, RequestId
from toucanyard.plain_placement import MAX_OVERCOMMIT
from toucanyard.relay_requests import (
    RelayDispatch,
)
from toucanyard.requests import DispatchEnding, Refuse, Repeatability

from .flow_node import SLOTS, Node
from .relay_examples import (
    ENGINES,
    MODEL,
    OPTIONS,
    build_prompt,
    build_replica,
)

UNPROVED = [DispatchEnding.LOST, DispatchEnding.FAILED]
UNRUN = [DispatchEnding.NOT_SENT, DispatchEnding.REFUSED]


@pytest.mark.parametrize("ending", UNPROVED)
def test_call_that_may_run_once_is_never_sent_again(ending: DispatchEnding) -> None:
    """Guards against running a call twice that may run only once.

    A replica resets the connection or fails after it received the call, which may
    therefore have run. Neither a retry nor the ending "not run" is allowed.
    """
    node = Node()
    node.arrive("q", repeatability=Repeatability.RUN_ONCE, max_attempts=3)
    node.end("q", ending)
    last = node.find_last("q")
    assert not isinstance(last, RelayDispatch)
    if isinstance(last, Refuse):
        assert last.ending is Ending.UNKNOWN
        assert last.kind is ErrorKind.OUTCOME_UNKNOWN
    assert node.flow.count_pending() == 0


@pytest.mark.parametrize("ending", UNRUN)
def test_call_that_surely_did_not_run_goes_elsewhere(ending: DispatchEnding) -> None:
    node = Node()
    node.arrive("q", repeatability=Repeatability.RUN_ONCE)
    first = node.find_dispatch("q").replica
    node.end("q", ending)
    assert node.find_dispatch("q").replica != first


def test_attempts_bound_the_sends_that_reached_a_replica() -> None:
    node = Node()
    node.arrive("q", repeatability=Repeatability.RUN_ONCE, max_attempts=1)
    node.end("q", DispatchEnding.NOT_SENT, is_dead=True)
    node.end("q", DispatchEnding.REFUSED)
    refusal = node.find_refusal("q")
    assert refusal.ending is Ending.NOT_RUN
    assert refusal.retry_after_ms > 0


def test_call_that_found_another_replica_at_an_address_is_served_all_the_same() -> None:
    """Guards against refusing the first call after a restore of the store.

    The restored list names an earlier incarnation, whose address another one answers.
    """
    node = Node()
    node.arrive("q", repeatability=Repeatability.RUN_ONCE, max_attempts=1)
    first = node.find_dispatch("q")
    node.end("q", DispatchEnding.REFUSED, is_replaced=True)
    second = node.find_dispatch("q")
    assert second.replica != first.replica
    node.end("q", DispatchEnding.COMPLETED)
    assert node.flow.count_pending() == 0


@pytest.mark.parametrize("max_attempts", [1, 2, 3])
def test_call_does_not_go_round_addresses_that_others_answer(max_attempts: int) -> None:
    """Guards against a call without end where every replica says it is another one."""
    node = Node(desks="klmnopqrstuvwxyz")
    node.arrive("q", max_attempts=max_attempts)
    for _ in range(20):
        if not isinstance(node.find_last("q"), RelayDispatch):
            break
        node.end("q", DispatchEnding.REFUSED, is_replaced=True)
    assert node.find_refusal("q").ending is Ending.NOT_RUN
    assert len(node.list_dispatches()) <= 2 * max_attempts + 3


def test_refusal_after_a_try_that_may_have_run_is_no_not_run() -> None:
    """Guards against a false "not run" after an earlier try that may have run.

    The connection to the first replica is lost; the second replica refuses the call
    without running it.
    """
    node = Node()
    node.arrive("q", max_attempts=2)
    node.end("q", DispatchEnding.LOST)
    node.end("q", DispatchEnding.REFUSED)
    assert node.find_refusal("q").ending is Ending.UNKNOWN


@pytest.mark.parametrize("ending", UNPROVED)
def test_call_given_up_in_the_queue_after_such_a_try_is_no_not_run(
    ending: DispatchEnding,
) -> None:
    """Guards against a false "not run" when a call times out in the queue.

    Its first try is lost or fails at the only replica, which then loads weights, so the
    call is queued again until its deadline. That try may have run. If it failed, the
    replica's own response is relayed.
    """
    node = Node(desks="x")
    node.arrive("q", deadline_ms=2_000.0)
    known = node.directory.find(EndpointName("x"))
    assert known is not None
    known.loading_until_ms = 9_000.0
    node.end("q", ending)
    assert node.flow.count_waiting() == 1
    node.take(node.flow.tick(1_990.0))
    assert node.flow.count_pending() == 0
    if ending is DispatchEnding.FAILED:
        assert node.find_last("q") is None
    else:
        assert node.find_refusal("q").ending is Ending.UNKNOWN
        assert node.find_refusal("q").kind is ErrorKind.ENDPOINT_LOST


def test_replicas_own_failure_is_passed_on_when_nothing_is_left() -> None:
    node = Node()
    node.arrive("q", max_attempts=2)
    node.end("q", DispatchEnding.FAILED)
    node.end("q", DispatchEnding.FAILED)
    assert node.find_last("q") is None


def test_retries_of_all_calls_stay_in_the_budget() -> None:
    """Guards against retries that double the load when every replica fails."""
    node = Node()
    node.flow.apply_node_count(4)
    retries = 0
    for number in range(100):
        name = f"q{number}"
        node.arrive(name, float(number))
        node.end(name, DispatchEnding.FAILED, float(number))
        if isinstance(node.find_last(name), RelayDispatch):
            retries += 1
            node.end(name, DispatchEnding.FAILED, float(number))
    limits = OPTIONS.retries
    assert 0 < retries <= limits.slack / 4 + limits.ratio * 100


def test_stream_goes_on_only_under_the_weights_it_began_with() -> None:
    """Guards against resuming a stream under other weights than it began with.

    A replica dies during a stream, and the only other one has newer weights. Its tokens
    would not continue the response that the caller has begun to read.
    """
    stream: dict[str, Any] = {
        "service": ENGINES,
        "prompt": build_prompt(),
        "is_stream": True,
        "is_resumable": True,
    }
    node = Node()
    node.arrive("q", **stream)
    first = node.find_dispatch("q").replica
    other = "b" if first == "a" else "a"
    node.directory.apply(build_replica(other, weights=((MODEL, 2),)), 0.0)
    node.end("q", DispatchEnding.LOST, has_begun=True)
    assert node.find_refusal("q").kind is ErrorKind.ENDPOINT_LOST
    node = Node()
    node.arrive("q", **stream)
    node.end("q", DispatchEnding.LOST, has_begun=True)
    assert node.find_dispatch("q").weights_version == 1


def test_stream_that_may_not_be_resumed_ends_with_its_replica() -> None:
    node = Node()
    node.arrive(
        "q",
        service=ENGINES,
        prompt=build_prompt(),
        is_stream=True,
        repeatability=Repeatability.RUN_ONCE,
    )
    node.end("q", DispatchEnding.LOST, has_begun=True)
    assert node.find_refusal("q").ending is Ending.UNKNOWN


def test_calls_wait_for_a_slot_most_urgent_first() -> None:
    node = Node(desks="x")
    running = int(SLOTS * MAX_OVERCOMMIT)
    for number in range(running):
        node.arrive(f"r{number}")
    node.arrive("late", 1.0, rank=2)
    node.arrive("urgent", 2.0, rank=0)
    assert node.flow.count_waiting() == 2
    node.end("r0", DispatchEnding.COMPLETED, 20.0)
    assert node.find_dispatch("urgent").replica == "x"
    assert node.find_last("late") == "nothing"


def test_call_that_would_wait_too_long_is_refused_at_once() -> None:
    """Guards against queueing calls that can't be sent before their deadlines.

    A burst fills the queue. Callers that are refused only at their deadline have no
    time left to retry.
    """
    node = Node(desks="x")
    for number in range(100):
        node.arrive(f"q{number}", repeatability=Repeatability.RUN_ONCE)
    refusals = [
        each
        for replies in node.replies.values()
        for each in replies
        if isinstance(each, Refuse)
    ]
    assert len(refusals) > 50
    assert {each.ending for each in refusals} == {Ending.NOT_RUN}
    assert len({each.retry_after_ms for each in refusals}) > 10


def test_call_without_any_replica_is_refused_at_once() -> None:
    node = Node(desks="")
    node.arrive("q")
    assert node.find_refusal("q").kind is ErrorKind.NO_ENDPOINT


def test_call_waits_a_moment_for_replicas_that_load() -> None:
    node = Node(desks="x")
    known = node.directory.find(EndpointName("x"))
    assert known is not None
    known.loading_until_ms = 500.0
    node.arrive("q", deadline_ms=9_000.0)
    node.take(node.flow.tick(499.0))
    assert node.find_last("q") == "nothing"
    node.take(node.flow.tick(500.0))
    assert node.find_dispatch("q").replica == "x"
    known.loading_until_ms = 99_000.0
    node.arrive("p", 600.0, deadline_ms=9_000.0)
    node.take(node.flow.tick(600.0 + NO_REPLICA_WAIT_MS))
    assert node.find_refusal("p").ending is Ending.NOT_RUN


def test_waiting_call_is_told_while_its_caller_can_still_retry() -> None:
    node = Node(desks="x")
    for number in range(int(SLOTS * MAX_OVERCOMMIT)):
        node.arrive(f"r{number}", deadline_ms=9_000.0)
    node.arrive("q", deadline_ms=400.0)
    node.take(node.flow.tick(400.0 - 200 / 4))
    assert node.find_refusal("q").ending is Ending.NOT_RUN


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["arrive", "end", "leave", "tick"]),
        st.sampled_from(list(DispatchEnding)),
        st.sampled_from(list(Repeatability)[:2]),
        st.integers(0, 5),
    ),
    max_size=60,
)


@given(STEPS)
def test_every_question_gets_one_reply_and_nothing_is_left(
    steps: list[tuple[str, DispatchEnding, Repeatability, int]],
) -> None:
    """Guards against lost and duplicate replies, for any order of events.

    A lost reply would occupy a replica's slot forever; a duplicate one would be taken
    for the reply to another call.
    """
    node = Node(desks="xy")
    open_calls: list[str] = []
    expected_replies: dict[str, int] = {}
    now_ms = 0.0
    for number, (step, ending, repeatability, pick) in enumerate(steps):
        now_ms += 7.0
        name = open_calls[pick % len(open_calls)] if open_calls else ""
        if step == "arrive":
            name = f"q{number}"
            open_calls.append(name)
            expected_replies[name] = 1
            node.arrive(name, now_ms, repeatability=repeatability)
        elif step == "end" and isinstance(node.find_last(name), RelayDispatch):
            expected_replies[name] += 1
            node.end(name, ending, now_ms)
        elif step == "leave" and name:
            open_calls.remove(name)
            expected_replies[name] = -1
            node.take(node.flow.leave(RequestId(name), now_ms))
        else:
            node.take(node.flow.tick(now_ms))
        for each in list(open_calls):
            last = node.find_last(each)
            if last != "nothing" and not isinstance(last, RelayDispatch):
                open_calls.remove(each)
    node.take(node.flow.tick(now_ms + 5_000))
    for name, count in expected_replies.items():
        replies = node.replies.get(RequestId(name), [])
        assert count < 0 or len(replies) == count
    running = sum(
        isinstance(node.find_last(each), RelayDispatch) for each in open_calls
    )
    assert node.flow.count_pending() == running
    assert sum(each.running for each in node.flow.usage.list_own()) == running
