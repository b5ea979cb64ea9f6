from __future__ import annotations

import random

import pytest

from toucanyard.link_messages import ReplicaUpdate
from toucanyard.names import EndpointName, NodeName
from toucanyard.prompt_block_index import PromptBlockIndex
from toucanyard.replica_gossip import (
    PAUSE_TOLERANCE_MS,
    ReplicaGossip,
)
from toucanyard.replica_weights import UPDATE_TTL_MS, ReplicaWeights
from toucanyard.replicas import LEAVE_REPORT_MS, KnownReplica, ReplicaDirectory
from toucanyard.stated_weights import StatedSpan

from .relay_examples import ENGINES, MODEL, build_replica

NAME = EndpointName("r")
PEER = NodeName("peer")
LATENCY_MS = 5.0
"""Latency of a message between two nodes."""
SLOW_LATENCY_MS = 200.0
"""The same on congested links."""


class GossipNode:
    """One node's state of one replica, and its gossip."""

    def __init__(self, number: int = 0) -> None:
        directory = ReplicaDirectory()
        known = directory.apply(build_replica(NAME), 0.0)
        assert known is not None
        self.known: KnownReplica = known
        self.gossip = ReplicaGossip(
            directory,
            ReplicaWeights(directory, PromptBlockIndex()),
            random.Random(number),
        )

    def send_to(
        self, other: GossipNode, now_ms: float, delay_ms: float = LATENCY_MS
    ) -> bool:
        updates = tuple(self.gossip.list_updates(now_ms))
        return other.gossip.apply(updates, PEER, now_ms + delay_ms)


def test_pause_that_goes_round_does_not_grow() -> None:
    """A replica refuses a call; two nodes send each other its pause for seconds.

    Each message takes some milliseconds. If each one extended the pause by that time,
    the replica would never get a call again.
    """
    one, two = GossipNode(), GossipNode()
    one.known.loading_until_ms = 600.0
    one.gossip.record_change(NAME, 0.0)
    assert one.send_to(two, 0.0)
    now_ms = 0.0
    while now_ms < 3_000.0:
        now_ms += 25.0
        assert not one.send_to(two, now_ms)
        assert not two.send_to(one, now_ms)
    for node in (one, two):
        assert node.known.loading_until_ms <= 600.0 + PAUSE_TOLERANCE_MS
        assert not node.known.is_loading(600.0 + PAUSE_TOLERANCE_MS)


def test_pause_that_goes_round_on_slow_links_ends() -> None:
    """A replica refuses one call; two nodes exchange the pause over congested links.

    Each receives its own pause again, 400 ms longer. When it counted as a new one, the
    pause lasted as long as the links were slow, and no node sent calls to the replica.
    """
    one, two = GossipNode(1), GossipNode(2)
    one.known.loading_until_ms = 600.0
    one.gossip.record_change(NAME, 0.0)
    assert one.send_to(two, 0.0, SLOW_LATENCY_MS)
    for now_ms in (250.0, 500.0, 750.0, 1_000.0, 1_250.0, 1_500.0):
        two.send_to(one, now_ms, SLOW_LATENCY_MS)
        one.send_to(two, now_ms, SLOW_LATENCY_MS)
    assert not one.known.is_loading(600.0)
    assert not two.known.is_loading(600.0 + SLOW_LATENCY_MS)


def test_pause_that_its_holder_renews_goes_on() -> None:
    """The node that orders weights renews the pause until the replica has them."""
    one, two = GossipNode(1), GossipNode(2)
    for now_ms in (0.0, 250.0, 500.0, 750.0, 1_000.0):
        one.known.loading_until_ms = now_ms + 1_500.0
        one.gossip.record_changing({NAME}, now_ms)
        one.send_to(two, now_ms)
    assert two.known.is_loading(2_200.0)


def test_longer_pause_is_news_again() -> None:
    one, two = GossipNode(), GossipNode()
    one.known.loading_until_ms = 600.0
    one.gossip.record_change(NAME, 0.0)
    assert one.send_to(two, 0.0)
    one.known.loading_until_ms = 2_000.0
    assert one.send_to(two, 100.0)
    assert two.known.is_loading(1_900.0)


def test_pause_from_before_new_weights_is_over() -> None:
    """A lagging node sends a replica's pause after the replica loaded its new weights.

    If it were applied, the first replica with new weights would stay idle.
    """
    node = GossipNode()
    node.known.record_weights(MODEL, 2, StatedSpan(0.0, 0.0))
    late = ReplicaUpdate(NAME, 1_000.0, ((MODEL, 1),))
    assert not node.gossip.apply((late,), PEER, 0.0)
    assert not node.known.is_loading(1.0)


def test_new_weights_end_a_pause_and_are_news() -> None:
    node = GossipNode()
    node.known.loading_until_ms = 5_000.0
    assert node.gossip.apply((ReplicaUpdate(NAME, 0.0, ((MODEL, 2),)),), PEER, 100.0)
    assert not node.known.is_loading(100.0)


def test_leave_is_forwarded_to_peers_and_ends_unless_it_is_stated() -> None:
    """Guards against a wrong word of a peer that bars a replica for good."""
    first, second, third = (GossipNode(number) for number in range(3))
    first.known.leave_stated_ms = 0.0
    first.gossip.record_change(NAME, 0.0)
    assert first.send_to(second, 0.0)
    assert second.send_to(third, 10.0)
    assert not third.send_to(second, 20.0)
    assert second.known.is_reported_leaving(UPDATE_TTL_MS)
    assert [each.fields["source"] for each in third.gossip.take_log_entries()] == [PEER]
    now_ms = 0.0
    while now_ms < 4 * LEAVE_REPORT_MS:
        now_ms += 1_000.0
        second.send_to(third, now_ms)
        third.send_to(second, now_ms)
    assert not second.known.is_reported_leaving(now_ms)
    assert not third.known.is_reported_leaving(now_ms)
    assert not second.known.has_left()


@pytest.mark.parametrize(("heard", "usable"), [(1, 5), (3, 3), (4, 6), (6, 6)])
def test_peers_words_do_not_take_a_service_out_of_use(heard: int, usable: int) -> None:
    """Guards against a faulty peer that reports that all replicas leave."""
    directory = ReplicaDirectory()
    names = "abcdef"
    for name in names:
        directory.apply(build_replica(name), 0.0)
    gossip = ReplicaGossip(
        directory, ReplicaWeights(directory, PromptBlockIndex()), random.Random(1)
    )
    updates = [
        ReplicaUpdate(EndpointName(name), 0.0, (), is_leaving=True)
        for name in names[:heard]
    ]
    gossip.apply(updates, PEER, 0.0)
    assert len(directory.find_usable(ENGINES, 1.0)) == usable
