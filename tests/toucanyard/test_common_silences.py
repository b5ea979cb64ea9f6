"""Replicas that are silent together, and what hedging costs and saves then."""

from __future__ import annotations

import pytest

from toucanyard.names import EndpointName
from toucanyard.relay_policy import RelayPolicy, RetryPolicy
from toucanyard.silent_replicas import (
    FORGET_MS,
    GO_ON_MS,
    MAX_COMMON_MS,
    MAX_PAUSE_MS,
    SilentReplicas,
)

from .flow_node import Node
from .relay_examples import OPTIONS
from .silent_fleet import IDLE_MS, Pause, SilentFleet

NAMES = tuple(f"r{number}" for number in range(8))
PAUSES = tuple(
    Pause(begin_ms, begin_ms + 1_500.0, NAMES)
    for begin_ms in (4_000.0, 8_000.0, 12_000.0, 16_000.0)
)
AT_ONCE = RelayPolicy(retries=RetryPolicy(avoids_silent=False, spares_slots=False))
X = EndpointName("x")


def play(seed: int, *, is_hedged: bool, policy: RelayPolicy) -> SilentFleet:
    node = Node(desks="", policy=policy)
    fleet = SilentFleet(seed, is_hedged=is_hedged, pauses=PAUSES, node=node)
    fleet.play(36.0, 19_000.0, 6_000.0)
    return fleet


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_replicas_that_pause_together_are_hardly_hedged(seed: int) -> None:
    """Guards against hedges that take slots from which no call gains anything."""
    chosen = play(seed, is_hedged=True, policy=OPTIONS.policy)
    at_once = play(seed, is_hedged=True, policy=AT_ONCE)
    assert chosen.compute_whole() > at_once.compute_whole()
    assert chosen.count_extra() < at_once.count_extra()
    budget = OPTIONS.retries.slack + OPTIONS.retries.ratio * len(chosen.calls)
    assert chosen.count_extra() <= 2 * budget


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_replicas_that_pause_together_answer_as_many_calls_as_without_hedges(
    seed: int,
) -> None:
    """Guards against calls that end at their deadline for others' hedges."""
    hedged = play(seed, is_hedged=True, policy=OPTIONS.policy)
    unhedged = play(seed, is_hedged=False, policy=OPTIONS.policy)
    assert hedged.compute_whole() >= unhedged.compute_whole()


def test_dead_replica_among_sound_ones_is_left_as_before() -> None:
    """Guards against calls that wait for a dead replica beside answering ones."""
    whole = []
    for policy in (OPTIONS.policy, AT_ONCE):
        fleet = SilentFleet(
            1,
            pauses=[Pause(4_000.0, 99_000.0, NAMES[:1])],
            node=Node(desks="", policy=policy),
        )
        fleet.play(20.0, 10_000.0, 6_000.0)
        whole.append(fleet.compute_whole())
    assert whole[0] >= whole[1]


def test_dead_replica_is_left_for_one_that_was_silent_for_a_moment() -> None:
    """Guards against "all are silent" meaning that nothing is ever hedged."""
    fleet = SilentFleet(
        1,
        replicas=2,
        pauses=[
            Pause(1_000.0, 99_000.0, ("r0",)),
            Pause(1_000.0, 2_300.0, ("r1",)),
        ],
    )
    for _ in range(4):
        fleet.arrive(9_000.0)
    fleet.run(9_000.0)
    assert fleet.count_endings() == {"whole": 4}
    ended_ms = max(call.ended_ms for call in fleet.calls.values())
    assert ended_ms <= 2_300.0 + GO_ON_MS + IDLE_MS + 4_000.0


def test_call_is_hedged_in_the_end_though_all_others_are_silent() -> None:
    """Guards against a call that is never sent to a sound replica.

    The other one has been silent for a call that never ends there.
    """
    fleet = SilentFleet(1, replicas=2, pauses=[Pause(1_000.0, 99_000.0, ("r0", "r1"))])
    for _ in range(4):
        fleet.arrive(9_000.0)
    fleet.run(1_000.0 + IDLE_MS + MAX_COMMON_MS + IDLE_MS + 100.0)
    assert fleet.count_extra() > 0


def test_silent_replica_may_pause_until_it_is_heard_or_silent_for_long() -> None:
    silences = SilentReplicas()
    assert not silences.may_pause(X, 0.0)
    silences.record_silent(X, 0.0)
    silences.record_silent(X, 1_000.0)
    assert silences.may_pause(X, MAX_PAUSE_MS - 1.0)
    assert not silences.may_pause(X, MAX_PAUSE_MS)
    silences.record_heard(X, 2_000.0)
    assert silences.may_pause(X, 2_000.0 + GO_ON_MS - 1.0)
    assert not silences.may_pause(X, 2_000.0 + GO_ON_MS)
    assert silences.is_answering(X, 2_100.0)
    silences.prune(2_000.0 + FORGET_MS)
    assert not silences.is_answering(X, 2_100.0)
