from __future__ import annotations

import random

from toucanyard.call_placement import CallPlacement
from toucanyard.names import EndpointName, Incarnation, NodeName
from toucanyard.node_directory import NodeDirectory
from toucanyard.node_records import NodeRecord
from toucanyard.part_sources import PartSources, name_store
from toucanyard.pending_call import PendingCall
from toucanyard.relay_requests import Prompt, RelayDispatch
from toucanyard.replica_credits import ReplicaCredits
from toucanyard.replica_limits import ReplicaLimits
from toucanyard.replicas import ReplicaDirectory
from toucanyard.routes import RouteIndex
from toucanyard.weights_goals import WantedWeights, WeightsGoals

from .relay_examples import (
    ENGINES,
    LISTEN,
    MODEL,
    OPTIONS,
    STORE,
    build_prompt,
    build_replica,
    build_request,
    build_table,
)

STORE_NAME = name_store(STORE)


class Calls:
    """The placement of one node that heard from a store a moment ago."""

    def __init__(self) -> None:
        directory = ReplicaDirectory()
        for name in "ab":
            directory.apply(build_replica(name), 0.0)
        goals = WeightsGoals()
        goals.apply(WantedWeights(MODEL, 1), 0.0)
        own = NodeRecord(
            NodeName("n1"),
            Incarnation("i"),
            OPTIONS.domain,
            LISTEN.callers,
            LISTEN.peers,
        )
        sources = PartSources(directory, NodeDirectory(own, ()))
        sources.note_heard(STORE_NAME, 0.0, 1)
        rng = random.Random(1)
        credits = ReplicaCredits(ReplicaLimits(rng))
        self.placement = CallPlacement(OPTIONS, directory, goals, sources, credits, rng)
        self.placement.index = RouteIndex(build_table())

    def place(self, name: str, prompt: Prompt, now_ms: float = 10.0) -> RelayDispatch:
        request = build_request(name, service=ENGINES, prompt=prompt)
        dispatch = self.placement.place(PendingCall(request), now_ms)
        assert dispatch is not None
        return dispatch


def test_what_a_replica_reads_is_kept_in_a_store_and_told_to_peers() -> None:
    """The replica that reads a part drops it a moment later, or dies.

    A later call fetches it from the store, sent there by whichever node.
    """
    calls = Calls()
    dispatch = calls.place("q", build_prompt())
    assert dispatch.save_to == STORE.address
    told = calls.placement.reports.take(0, 10.0)
    assert {(each.replica, each.part) for each in told} == {
        (dispatch.replica, "book"),
        (dispatch.replica, "own"),
        (STORE_NAME, "book"),
    }
    parts = build_prompt().parts[:1]
    book = calls.placement.book
    assert book.count_leading(STORE_NAME, "m/1/", parts, float("inf")) == 2_500


def test_what_is_held_or_small_is_not_saved() -> None:
    calls = Calls()
    assert calls.place("q", build_prompt()).save_to is not None
    assert calls.place("p", build_prompt(), 5_000.0).save_to is None
    small = build_prompt(("greeting", 120), ("own", 600))
    assert calls.place("r", small).save_to is None


def test_dispatch_is_counted_until_it_is_ended() -> None:
    calls = Calls()
    dispatch = calls.place("q", build_prompt())
    uses = calls.placement.uses
    assert uses.compute(dispatch.replica, 10.0).running == 1
    uses.end(EndpointName(dispatch.replica), dispatch.request_id)
    assert uses.compute(dispatch.replica, 10.0).running == 0
