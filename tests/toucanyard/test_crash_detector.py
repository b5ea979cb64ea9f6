"""Which failures count as a crash of a replica."""

from __future__ import annotations

import pytest

from toucanyard.answered_calls import SURVIVAL_DELAY_MS, AnsweredCall
from toucanyard.crash_detector import (
    LOSS_TTL_MS,
    MAX_CLOSED_PROBES,
    CrashDetector,
    Reachability,
)
from toucanyard.names import EndpointName, Fingerprint, RequestId
from toucanyard.relay_requests import RelayOutcome
from toucanyard.replicas import ReplicaDirectory
from toucanyard.requests import DispatchEnding

from .relay_examples import build_replica

ONE = EndpointName("one")
BODY = Fingerprint("f")


class World:
    def __init__(self) -> None:
        self.directory = ReplicaDirectory()
        self.directory.apply(build_replica(ONE), 0.0)
        self.detector = CrashDetector(self.directory)

    def lose(self, at_ms: float, **changes: object) -> bool:
        fields: dict[str, object] = {"is_closed": True}
        outcome = RelayOutcome(
            RequestId("q"),
            ONE,
            DispatchEnding.LOST,
            **(fields | changes),  # type: ignore[arg-type]
        )
        return self.detector.record_outcome(outcome, (BODY,), at_ms - 10.0, at_ms)

    def answer(self, at_ms: float, *, is_confirmed: bool = True) -> None:
        call = AnsweredCall(ONE, (BODY,), at_ms - 10.0, at_ms, is_probed=True)
        self.detector.record_answer(call, is_confirmed=is_confirmed)

    def count_probes(self, now_ms: float) -> int:
        return len(list(self.detector.take_probes(now_ms)))


def test_closed_connection_is_probed_and_a_silent_one_is_not() -> None:
    world = World()
    world.lose(100.0, is_closed=False)
    assert world.count_probes(100.0) == 0
    world.lose(110.0)
    assert world.count_probes(110.0) == 1
    assert world.count_probes(120.0) == 0


@pytest.mark.parametrize("reach", [Reachability.NO_LISTENER, Reachability.REPLACED])
def test_replica_that_is_not_there_any_more_has_crashed(reach: Reachability) -> None:
    world = World()
    world.lose(100.0)
    assert world.detector.record_probe(ONE, reach, 101.0)
    assert [each.traits for each in world.detector.take_losses(ONE)] == [(BODY,)]


def test_frozen_replica_has_not_crashed() -> None:
    """Guards against attributing a crash to calls lost while a replica was frozen."""
    world = World()
    world.lose(100.0)
    for number in range(10):
        assert not world.detector.record_probe(
            ONE, Reachability.NO_ANSWER, 101.0 + number
        )


def test_replica_behind_a_proxy_has_crashed_once_probes_are_closed_in_a_row() -> None:
    """Guards against a proxy that outlives its replica and hides each crash."""
    world = World()
    world.lose(100.0)
    found = [
        world.detector.record_probe(ONE, Reachability.CLOSED, 101.0) for _ in range(2)
    ]
    assert found == [False] * (MAX_CLOSED_PROBES - 1) + [True]


def test_probe_that_is_answered_clears_what_was_lost_before_it() -> None:
    """Guards against attributing a later crash to a call lost by a reset before."""
    world = World()
    world.lose(100.0)
    world.detector.record_probe(ONE, Reachability.CLOSED, 101.0)
    world.lose(300.0)
    assert not world.detector.record_probe(ONE, Reachability.ANSWERED, 200.0)
    assert [each.at_ms for each in world.detector.take_losses(ONE)] == [300.0]


def test_replica_that_was_taken_for_ended_counts_again_once_it_answers() -> None:
    """Guards against attributing a crash for each later loss at a live replica."""
    world = World()
    world.detector.mark_ended(ONE)
    assert world.lose(100.0)
    world.detector.take_losses(ONE)
    world.detector.mark_alive(ONE, 150.0)
    assert not world.lose(200.0)


def test_life_that_another_one_follows_at_its_address_has_ended() -> None:
    """Guards against a crash that no probe sees since the replica restarts at once."""
    world = World()
    world.lose(100.0)
    assert world.detector.find_replaced(100.0) == []
    address = build_replica(ONE).address
    world.directory.apply(build_replica("two", address=address), 200.0)
    assert world.detector.find_replaced(200.0) == [ONE]


def test_loss_is_forgotten_when_nothing_is_heard_of_its_replica() -> None:
    world = World()
    world.lose(100.0)
    assert world.detector.has_unresolved_loss(BODY)
    world.count_probes(100.0 + LOSS_TTL_MS)
    assert not world.detector.has_unresolved_loss(BODY)


def test_call_that_may_not_have_run_is_no_loss() -> None:
    world = World()
    outcome = RelayOutcome(RequestId("q"), ONE, DispatchEnding.REFUSED)
    assert not world.detector.record_outcome(outcome, (BODY,), 0.0, 1.0)
    assert not world.detector.has_unresolved_loss(BODY)


def test_answer_counts_once_its_replica_has_outlived_it() -> None:
    """Guards against clearing a request answered just before its replica crashes."""
    world = World()
    world.answer(100.0)
    assert (
        list(world.detector.answered.take_survived(100.0 + SURVIVAL_DELAY_MS - 1)) == []
    )
    survived = list(world.detector.answered.take_survived(100.0 + SURVIVAL_DELAY_MS))
    assert [each.traits for each in survived] == [(BODY,)]
    assert list(world.detector.answered.take_survived(9_000.0)) == []


def test_answer_of_a_life_that_has_ended_is_no_survival() -> None:
    world = World()
    world.answer(100.0)
    assert [each.traits for each in world.detector.answered.take_last(ONE)] == [(BODY,)]
    assert list(world.detector.answered.take_survived(9_000.0)) == []


def test_unconfirmed_answer_counts_after_a_later_sign_of_life() -> None:
    """Guards against answers that end with their connection, as at a crash."""
    world = World()
    world.answer(100.0, is_confirmed=False)
    assert world.count_probes(100.0) == 1
    world.detector.mark_alive(ONE, 100.0 + SURVIVAL_DELAY_MS - 1)
    assert list(world.detector.answered.take_survived(2_000.0)) == []
    world.detector.mark_alive(ONE, 100.0 + SURVIVAL_DELAY_MS)
    survived = list(world.detector.answered.take_survived(2_000.0))
    assert [each.traits for each in survived] == [(BODY,)]
    assert world.count_probes(2_000.0) == 0


def test_unconfirmed_answers_just_before_an_end_were_running_there() -> None:
    world = World()
    for at_ms in (100.0, 3_000.0, 3_010.0):
        world.answer(at_ms, is_confirmed=False)
    last = world.detector.answered.take_last(ONE)
    assert [each.at_ms for each in last] == [3_000.0, 3_010.0]


def test_unconfirmed_answer_expires_without_a_sign_of_life() -> None:
    world = World()
    world.answer(100.0, is_confirmed=False)
    assert list(world.detector.answered.take_survived(9_000.0)) == []
    assert world.detector.answered.take_last(ONE) == []
