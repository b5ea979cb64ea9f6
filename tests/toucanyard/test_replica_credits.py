from __future__ import annotations

import random

from toucanyard.limit_buckets import CreditGrant
from toucanyard.names import EndpointName
from toucanyard.pending_call import PendingCall
from toucanyard.replica_credits import (
    ANSWER_WAIT_MS,
    CREDIT_MS,
    MAX_DENIED_PER_S,
    MIN_RATE_PER_S,
    ReplicaCredits,
)
from toucanyard.replica_limits import ReplicaLimits
from toucanyard.replicas import KnownReplica

from .relay_examples import build_replica, build_request

LIMITED = KnownReplica(build_replica("limited"))
OPEN = KnownReplica(build_replica("open"))
NAME = LIMITED.replica.name


class Node:
    """The replica credits of one node; one replica announces a limit."""

    def __init__(self, rate_per_s: float = 1.0) -> None:
        self.limits = ReplicaLimits(random.Random(1))
        list(self.limits.on_answer(NAME, rate_per_s, 0.0))
        self.credits = ReplicaCredits(self.limits)
        self._calls = 0

    def build_call(self, *, has_begun: bool = False) -> PendingCall:
        self._calls += 1
        return PendingCall(build_request(f"c{self._calls}"), has_begun=has_begun)

    def select(self, call: PendingCall, now_ms: float) -> list[EndpointName]:
        usable = self.credits.select(call, (LIMITED, OPEN), now_ms)
        return [each.replica.name for each in usable]

    def answer(self, granted: float, now_ms: float, denial_ms: float = 0.0) -> None:
        for credit_request in list(self.credits.accounts.list_requests(now_ms)):
            grant = CreditGrant(granted, denial_ms, denial_ms)
            self.credits.accounts.apply_grant(
                credit_request.subject, credit_request.number, grant, now_ms
            )


def test_call_is_sent_to_a_limited_replica_once_it_was_granted() -> None:
    node = Node()
    call = node.build_call()
    assert node.select(call, 0.0) == [NAME, OPEN.replica.name]
    assert not node.credits.claim(call, NAME, 0.0)
    assert node.credits.is_awaiting_replica_credit(call, 1.0)
    node.answer(1.0, 5.0)
    assert not node.credits.is_awaiting_replica_credit(call, 5.0)
    assert node.select(call, 5.0) == [NAME]
    assert node.credits.claim(call, NAME, 5.0)
    other = node.build_call()
    assert not node.credits.claim(other, NAME, 6.0)


def test_granted_request_lapses() -> None:
    """Guards against credit that is saved up and spent in a later window."""
    node = Node()
    call = node.build_call()
    node.credits.claim(call, NAME, 0.0)
    node.answer(1.0, 5.0)
    assert not node.credits.claim(call, NAME, CREDIT_MS + 6.0)


def test_denied_replica_is_no_place_for_a_call() -> None:
    node = Node()
    call = node.build_call()
    node.credits.claim(call, NAME, 0.0)
    node.answer(0.0, 5.0, denial_ms=400.0)
    assert not node.credits.is_awaiting_replica_credit(call, 5.0)
    assert node.select(call, 5.0) == [OPEN.replica.name]
    assert NAME in node.select(node.build_call(), 406.0)


def test_home_that_does_not_answer_holds_no_call_for_long() -> None:
    node = Node()
    call = node.build_call()
    node.credits.claim(call, NAME, 0.0)
    late_ms = ANSWER_WAIT_MS + 1.0
    assert not node.credits.is_awaiting_replica_credit(call, late_ms)
    assert node.select(call, late_ms) == [OPEN.replica.name]


def test_begun_answer_goes_on_without_asking() -> None:
    """Guards against delaying a stream that its caller could resume elsewhere."""
    node = Node()
    assert node.select(node.build_call(has_begun=True), 0.0) == [OPEN.replica.name]


def test_denied_questions_are_bounded() -> None:
    """Guards against a flood of credit requests when most replicas are limited."""
    node = Node()
    requests = 0
    for number in range(1_000):
        now_ms = number * 1.0
        call = node.build_call()
        if NAME in node.select(call, now_ms):
            requests += 1
            node.credits.claim(call, NAME, now_ms)
            node.answer(0.0, now_ms, denial_ms=0.0)
        node.credits.release(call)
    assert requests <= 2 * MAX_DENIED_PER_S


def test_ended_limit_frees_the_replica() -> None:
    node = Node()
    call = node.build_call()
    node.credits.claim(call, NAME, 0.0)
    list(node.limits.on_answer(NAME, None, 10.0))
    assert node.credits.consume_changed_flag()
    assert not node.credits.is_awaiting_replica_credit(call, 11.0)
    assert node.credits.claim(call, NAME, 11.0)
    assert not node.credits.accounts.has_requests() or not list(
        node.credits.accounts.list_requests(12.0)
    )


def test_replica_that_takes_nothing_is_asked_now_and_then() -> None:
    """Guards against a limit of zero whose end would never be detected."""
    limit = Node(0.0).credits.find_limit(NAME)
    assert limit is not None
    assert limit.rate_per_s == MIN_RATE_PER_S
