"""Test applying what replicas state about themselves."""

from __future__ import annotations

import random

import msgspec

from toucanyard.log_entries import LogEntry
from toucanyard.names import Address, EndpointName, ReplicaId
from toucanyard.prompt_block_index import PromptBlockIndex
from toucanyard.relay_events import ReplicaStatementSeen
from toucanyard.relay_policy import UnevenLoadPolicy
from toucanyard.replica_gossip import ReplicaGossip
from toucanyard.replica_incarnations import name_incarnation
from toucanyard.replica_limits import ReplicaLimits
from toucanyard.replica_statements import (
    InvalidStatement,
    ReplicaStatement,
    StatementKind,
)
from toucanyard.replica_weights import ReplicaWeights
from toucanyard.replicas import KnownReplica, ReplicaDirectory
from toucanyard.statement_events import StatementEvents
from toucanyard.uneven_load.placement_inputs import UnevenLoad

from .relay_examples import build_replica

ADDRESS = Address("10.1.0.1:1")
LEAVING = ReplicaStatement(is_leaving=True)


class Node:
    """The directory and limits of one node, and a handler of statements."""

    def __init__(self, *names: str, seed: int = 1) -> None:
        rng = random.Random(seed)
        self.directory = ReplicaDirectory()
        self.limits = ReplicaLimits(rng)
        gossip = ReplicaGossip(
            self.directory, ReplicaWeights(self.directory, PromptBlockIndex()), rng
        )
        self.brittleness = ReplicaLimits(rng)
        self.events = StatementEvents(
            self.directory,
            self.limits,
            gossip,
            self.brittleness,
            UnevenLoad(self.directory, UnevenLoadPolicy()),
            rng,
        )
        for name in names:
            self.directory.apply(build_replica(name, address=ADDRESS), 0.0)

    def see(
        self,
        name: str,
        statement: ReplicaStatement,
        now_ms: float = 0.0,
        *,
        ends_limit: bool = False,
    ) -> list[LogEntry]:
        seen = ReplicaStatementSeen(EndpointName(name), statement, ends_limit)
        return list(self.events.on_seen(seen, now_ms))

    def find(self, name: str) -> KnownReplica:
        known = self.directory.find(EndpointName(name))
        assert known is not None
        return known


def test_leave_is_recorded_and_logged_once() -> None:
    node = Node("a")
    entries = node.see("a", LEAVING, 5.0) + node.see("a", LEAVING, 9.0)
    assert node.find("a").leave_stated_ms == 5.0
    assert [each.event for each in entries] == ["replica_leaving"]
    assert entries[0].fields["source"] == "answer"


def test_statement_concerns_the_replica_that_made_it() -> None:
    """Guards against barring a replica for what another one at its address states."""
    node = Node("a", "b")
    node.see("a", msgspec.structs.replace(LEAVING, replica_id="b"))
    node.see("a", msgspec.structs.replace(LEAVING, replica_id="unknown"))
    assert node.find("a").leave_stated_ms is None
    assert node.find("b").leave_stated_ms == 0.0


def test_late_response_of_an_earlier_incarnation_bars_no_later_one() -> None:
    """Guards against an old response that takes a restarted replica out of use."""
    node = Node()
    listed_as = ReplicaId("a")
    for born_ms in (1, 2):
        name = name_incarnation(listed_as, born_ms)
        replica = build_replica(name, listed_as=listed_as, born_ms=born_ms)
        node.directory.apply(replica, 0.0)
    node.see("a@1", msgspec.structs.replace(LEAVING, replica_id="a"))
    assert node.find("a@2").leave_stated_ms is None


def test_rest_is_kept_until_the_latest_time() -> None:
    """Guards against a shorter rest of another response ending a longer one."""
    node = Node("a")
    node.see("a", ReplicaStatement(retry_after_ms=3_000.0), 1_000.0)
    until_ms = node.find("a").deferred_until_ms
    assert until_ms >= 4_000.0
    entries = node.see("a", ReplicaStatement(retry_after_ms=500.0), 1_100.0)
    assert node.find("a").deferred_until_ms == until_ms
    assert entries[0].fields["left_ms"] == round(until_ms - 1_100.0)


def test_invalid_statements_are_logged_in_bounds_and_change_nothing() -> None:
    """Guards against a value that can't be parsed ending or beginning a limit."""
    node = Node("a")
    node.see("a", ReplicaStatement(limit_per_s=1.5))
    invalid = ReplicaStatement(invalid=(InvalidStatement(StatementKind.LIMIT, "many"),))
    lines = [
        entry
        for _ in range(1_000)
        for entry in node.see("a", invalid, 1.0, ends_limit=True)
    ]
    assert 0 < len(lines) <= 20
    assert lines[0].fields["value"] == "many"
    assert node.limits.find_rate(EndpointName("a")) == 1.5


def test_limit_ends_only_with_a_response_to_a_limited_request() -> None:
    node = Node("a")
    node.see("a", ReplicaStatement(limit_per_s=1.5))
    node.see("a", LEAVING)
    assert node.limits.find_rate(EndpointName("a")) == 1.5
    node.see("a", ReplicaStatement(), ends_limit=True)
    assert node.limits.find_rate(EndpointName("a")) is None


def test_nodes_that_are_turned_away_together_return_one_after_another() -> None:
    """Guards against a herd of nodes at the end of a rest."""
    ends = []
    for seed in range(320):
        node = Node("a", seed=seed)
        node.see("a", ReplicaStatement(retry_after_ms=3_000.0), 1_000.0)
        ends.append(node.find("a").deferred_until_ms)
    assert min(ends) >= 4_000.0
    assert max(ends) <= 4_600.0
    most = max(sum(begin <= each < begin + 50.0 for each in ends) for begin in ends)
    assert most <= 320 / 4


def test_brittleness_lasts_until_a_response_no_longer_states_it() -> None:
    node = Node("a")
    name = EndpointName("a")
    brittle = ReplicaStatement(brittle_per_s=3.0)
    assert [entry.event for entry in node.see("a", brittle)] == [
        "replica_limit_changed"
    ]
    assert node.brittleness.find_rate(name) == 3.0
    assert node.events.consume_urgent_flag()
    node.see("a", ReplicaStatement())
    assert node.brittleness.find_rate(name) == 3.0
    sound = ReplicaStatementSeen(name, ReplicaStatement(), ends_brittle=True)
    list(node.events.on_seen(sound, 10.0))
    assert node.brittleness.find_rate(name) is None


def test_invalid_statement_does_not_end_brittleness() -> None:
    """Guards against taking a value that can't be parsed for a sound replica."""
    node = Node("a")
    node.see("a", ReplicaStatement(brittle_per_s=3.0))
    invalid = (InvalidStatement(StatementKind.BRITTLE, "nan"),)
    seen = ReplicaStatementSeen(
        EndpointName("a"), ReplicaStatement(invalid=invalid), ends_brittle=True
    )
    list(node.events.on_seen(seen, 10.0))
    assert node.brittleness.find_rate(EndpointName("a")) == 3.0
