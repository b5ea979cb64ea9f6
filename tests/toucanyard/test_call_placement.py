from __future__ import annotations

import random

from toucanyard.brittle_replicas import BrittleReplicas
from toucanyard.call_forwards import CallForwards
from toucanyard.call_placement import CallPlacement
from toucanyard.names import EndpointName, Incarnation, NodeName
from toucanyard.node_directory import NodeDirectory
from toucanyard.node_records import NodeRecord
from toucanyard.pending_call import PendingCall
from toucanyard.prompt_block_index import PromptBlockIndex
from toucanyard.prompt_block_sources import PromptBlockSources, compute_store_name
from toucanyard.relay_requests import Prompt, RelayDispatch
from toucanyard.replica_credits import ReplicaCredits
from toucanyard.replica_limits import ReplicaLimits
from toucanyard.replica_reach import ReplicaReach
from toucanyard.replica_weights import ReplicaWeights
from toucanyard.replicas import ReplicaDirectory
from toucanyard.routes import RouteIndex
from toucanyard.software_versions import SoftwareVersions
from toucanyard.target_weights import TargetWeightsTable, WantedWeights
from toucanyard.uneven_load.placement_inputs import UnevenLoad

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

STORE_NAME = compute_store_name(STORE)


class Calls:
    """The placement of one node to which a store has just answered."""

    def __init__(self) -> None:
        directory = ReplicaDirectory()
        for name in "ab":
            directory.apply(build_replica(name), 0.0)
        weight_targets = TargetWeightsTable()
        weight_targets.apply(WantedWeights(MODEL, 1), 0.0)
        own = NodeRecord(
            NodeName("n1"),
            Incarnation("i"),
            OPTIONS.domain,
            LISTEN.callers,
            LISTEN.peers,
        )
        nodes, reach = NodeDirectory(own, ()), ReplicaReach(directory)
        sources = PromptBlockSources(directory, nodes)
        sources.record_answer(STORE_NAME, 0.0, 1)
        rng = random.Random(1)
        credits = ReplicaCredits(ReplicaLimits(rng))
        self.placement = CallPlacement(
            OPTIONS,
            directory,
            weight_targets,
            sources,
            credits,
            CallForwards(nodes, reach, rng),
            lambda usage: BrittleReplicas(
                ReplicaLimits(rng), directory, nodes, reach, usage
            ),
            SoftwareVersions(directory),
            UnevenLoad(directory, OPTIONS.policy.uneven),
            ReplicaWeights(directory, PromptBlockIndex()),
            rng,
        )
        self.placement.index = RouteIndex(build_table())

    def place(self, name: str, prompt: Prompt, now_ms: float = 10.0) -> RelayDispatch:
        request = build_request(name, service=ENGINES, prompt=prompt)
        dispatch = self.placement.place(PendingCall(request), now_ms)
        assert isinstance(dispatch, RelayDispatch)
        return dispatch


def test_what_a_replica_reads_is_kept_in_a_store_and_told_to_peers() -> None:
    """The replica that reads a block evicts it a moment later, or dies.

    A later call fetches the block from the store, whichever node sends it.
    """
    calls = Calls()
    dispatch = calls.place("q", build_prompt())
    assert dispatch.save_to == STORE.address
    reported = calls.placement.reports.take(0, 10.0)
    assert {(each.replica, each.part) for each in reported} == {
        (dispatch.replica, "book"),
        (dispatch.replica, "own"),
        (STORE_NAME, "book"),
    }
    parts = build_prompt().parts[:1]
    block_index = calls.placement.block_index
    assert block_index.count_leading(STORE_NAME, "m/1/", parts, float("inf")) == 2_500


def test_what_is_held_or_small_is_not_saved() -> None:
    calls = Calls()
    assert calls.place("q", build_prompt()).save_to is not None
    assert calls.place("p", build_prompt(), 5_000.0).save_to is None
    small = build_prompt(("greeting", 120), ("own", 600))
    assert calls.place("r", small).save_to is None


def test_dispatch_is_counted_until_it_is_ended() -> None:
    calls = Calls()
    dispatch = calls.place("q", build_prompt())
    usage = calls.placement.usage
    assert usage.compute(dispatch.replica, 10.0).running == 1
    usage.end(EndpointName(dispatch.replica), dispatch.request_id)
    assert usage.compute(dispatch.replica, 10.0).running == 0
