from __future__ import annotations

import random

from toucanyard.link_messages import ReplicaNews
from toucanyard.names import EndpointName
from toucanyard.prompt_block_index import PromptBlockIndex
from toucanyard.replica_gossip import SAME_PAUSE_MS, ReplicaGossip
from toucanyard.replicas import KnownReplica, ReplicaDirectory

from .relay_examples import MODEL, build_replica

NAME = EndpointName("r")
WAY_MS = 5.0
"""How long a message takes from one node to the next."""
SLOW_MS = 200.0
"""The same on links that are full."""


class Teller:
    """What one node knows of one replica, and its gossip."""

    def __init__(self, number: int = 0) -> None:
        directory = ReplicaDirectory()
        known = directory.apply(build_replica(NAME), 0.0)
        assert known is not None
        self.known: KnownReplica = known
        self.gossip = ReplicaGossip(
            directory, PromptBlockIndex(), random.Random(number)
        )

    def tell(self, other: Teller, now_ms: float, way_ms: float = WAY_MS) -> bool:
        news = tuple(self.gossip.list_news(now_ms))
        return other.gossip.apply(news, now_ms + way_ms)


def test_pause_that_goes_round_does_not_grow() -> None:
    """A replica refuses a call; two nodes tell each other of its pause for seconds.

    Each telling takes some milliseconds. If the pause ended that much later each time,
    the replica would never get a call again.
    """
    one, two = Teller(), Teller()
    one.known.loading_until_ms = 600.0
    one.gossip.note(NAME, 0.0)
    assert one.tell(two, 0.0)
    now_ms = 0.0
    while now_ms < 3_000.0:
        now_ms += 25.0
        assert not one.tell(two, now_ms)
        assert not two.tell(one, now_ms)
    for teller in (one, two):
        assert teller.known.loading_until_ms <= 600.0 + SAME_PAUSE_MS
        assert not teller.known.is_loading(600.0 + SAME_PAUSE_MS)


def test_pause_that_goes_round_on_slow_links_ends() -> None:
    """A replica refuses one call; two nodes tell each other of it over full links.

    Each hears of its own pause again, 400 ms longer. Taken for a new one, it went on
    for as long as the links were slow, and the replica got no calls from any node.
    """
    one, two = Teller(1), Teller(2)
    one.known.loading_until_ms = 600.0
    one.gossip.note(NAME, 0.0)
    assert one.tell(two, 0.0, SLOW_MS)
    for now_ms in (250.0, 500.0, 750.0, 1_000.0, 1_250.0, 1_500.0):
        two.tell(one, now_ms, SLOW_MS)
        one.tell(two, now_ms, SLOW_MS)
    assert not one.known.is_loading(600.0)
    assert not two.known.is_loading(600.0 + SLOW_MS)


def test_pause_that_its_holder_renews_goes_on() -> None:
    """A node that orders weights renews the pause until the replica has them."""
    one, two = Teller(1), Teller(2)
    for now_ms in (0.0, 250.0, 500.0, 750.0, 1_000.0):
        one.known.loading_until_ms = now_ms + 1_500.0
        one.gossip.note_changing({NAME}, now_ms)
        one.tell(two, now_ms)
    assert two.known.is_loading(2_200.0)


def test_longer_pause_is_news_again() -> None:
    one, two = Teller(), Teller()
    one.known.loading_until_ms = 600.0
    one.gossip.note(NAME, 0.0)
    assert one.tell(two, 0.0)
    one.known.loading_until_ms = 2_000.0
    assert one.tell(two, 100.0)
    assert two.known.is_loading(1_900.0)


def test_pause_from_before_new_weights_is_over() -> None:
    """A node that lags says that a replica pauses; it has its new weights already.

    Taken for news, it would leave the first replica with new weights idle.
    """
    teller = Teller()
    teller.known.note_weights(MODEL, 2)
    late = ReplicaNews(NAME, 1_000.0, ((MODEL, 1),))
    assert not teller.gossip.apply((late,), 0.0)
    assert not teller.known.is_loading(1.0)


def test_new_weights_end_a_pause_and_are_news() -> None:
    teller = Teller()
    teller.known.loading_until_ms = 5_000.0
    assert teller.gossip.apply((ReplicaNews(NAME, 0.0, ((MODEL, 2),)),), 100.0)
    assert not teller.known.is_loading(100.0)
