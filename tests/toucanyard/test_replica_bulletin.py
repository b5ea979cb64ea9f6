from __future__ import annotations

from toucanyard.link_messages import ReplicaNews
from toucanyard.names import EndpointName
from toucanyard.part_book import PartBook
from toucanyard.replica_bulletin import SAME_PAUSE_MS, ReplicaBulletin
from toucanyard.replicas import KnownReplica, ReplicaDirectory

from .relay_examples import MODEL, build_replica

NAME = EndpointName("r")
WAY_MS = 5.0
"""How long a message takes from one node to the next."""


class Teller:
    """What one node knows of one replica, and its bulletin."""

    def __init__(self) -> None:
        directory = ReplicaDirectory()
        known = directory.apply(build_replica(NAME), 0.0)
        assert known is not None
        self.known: KnownReplica = known
        self.bulletin = ReplicaBulletin(directory, PartBook())

    def tell(self, other: Teller, now_ms: float) -> bool:
        news = tuple(self.bulletin.list_news(now_ms))
        return other.bulletin.apply(news, now_ms + WAY_MS)


def test_pause_that_goes_round_does_not_grow() -> None:
    """A replica refuses a call; two nodes tell each other of its pause for seconds.

    Each telling takes some milliseconds. If the pause ended that much later each time,
    the replica would never get a call again.
    """
    one, two = Teller(), Teller()
    one.known.loading_until_ms = 600.0
    one.bulletin.note(NAME, 0.0)
    assert one.tell(two, 0.0)
    now_ms = 0.0
    while now_ms < 3_000.0:
        now_ms += 25.0
        assert not one.tell(two, now_ms)
        assert not two.tell(one, now_ms)
    for teller in (one, two):
        assert teller.known.loading_until_ms <= 600.0 + SAME_PAUSE_MS
        assert not teller.known.is_loading(600.0 + SAME_PAUSE_MS)


def test_longer_pause_is_news_again() -> None:
    one, two = Teller(), Teller()
    one.known.loading_until_ms = 600.0
    one.bulletin.note(NAME, 0.0)
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
    assert not teller.bulletin.apply((late,), 0.0)
    assert not teller.known.is_loading(1.0)


def test_new_weights_end_a_pause_and_are_news() -> None:
    teller = Teller()
    teller.known.loading_until_ms = 5_000.0
    assert teller.bulletin.apply((ReplicaNews(NAME, 0.0, ((MODEL, 2),)),), 100.0)
    assert not teller.known.is_loading(100.0)
