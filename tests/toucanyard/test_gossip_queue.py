from __future__ import annotations

from toucanyard.digests import Leaving, Recovered, Restarted, Suspected
from toucanyard.gossip_queue import GossipQueue
from toucanyard.names import Address, EndpointName, Incarnation, NodeName

TTL_MS = 30_000.0
PEERS = [NodeName(f"p{n}") for n in range(8)]
ENDPOINT = EndpointName("e")


def build_queue() -> GossipQueue:
    return GossipQueue(TTL_MS)


def count_sent(queue: GossipQueue) -> int:
    return sum(len(queue.take_for(peer, 0.0, 9)) for peer in PEERS)


def test_own_news_goes_to_all_and_before_that_of_others() -> None:
    """Many endpoints fail together and the budget is limited. Updates that only this
    node has must not wait behind those that also arrive over other paths."""
    queue = build_queue()
    queue.enqueue(Suspected(EndpointName("own"), NodeName("me"), 0), 0.0, None)
    queue.enqueue(Suspected(ENDPOINT, NodeName("other"), 0), 1.0, PEERS[0])
    (first,) = queue.take_for(PEERS[1], 2.0, 1)
    assert isinstance(first, Suspected) and first.endpoint == "own"
    assert len(queue.take_for(PEERS[1], 2.0, 9)) == 1


def test_news_of_others_is_passed_to_some_and_of_leaving_to_all() -> None:
    """If every node forwarded every update to all peers, a small fleet would need ten
    times as long with its budget. A leaving VM must still reach every node at once."""
    queue = build_queue()
    queue.enqueue(Suspected(ENDPOINT, NodeName("other"), 0), 0.0, PEERS[0])
    assert count_sent(queue) == 4
    queue.enqueue(Leaving(Address("10.0.0.1:1"), 0), 0.0, PEERS[0])
    assert count_sent(queue) == 7


def test_equal_and_older_news_ends_its_travel() -> None:
    queue = build_queue()
    assert queue.enqueue(Suspected(ENDPOINT, PEERS[0], 0), 1_000.0, PEERS[0])
    assert not queue.enqueue(Suspected(ENDPOINT, PEERS[0], 300), 1_200.0, PEERS[1])
    assert queue.enqueue(Recovered(ENDPOINT, PEERS[0], 0), 1_300.0, PEERS[1])
    assert not queue.enqueue(Suspected(ENDPOINT, PEERS[0], 400), 1_400.0, PEERS[2])
    restarted = Restarted(ENDPOINT, Incarnation("i2"), 0)
    assert queue.enqueue(restarted, 1_000.0, PEERS[0])
    assert not queue.enqueue(restarted, 9_000.0, PEERS[1])


def test_peer_that_comes_back_is_told_again_and_old_news_ends() -> None:
    queue = build_queue()
    queue.enqueue(Leaving(Address("10.0.0.1:1"), 0), 0.0, None)
    assert queue.take_for(PEERS[0], 500.0, 9) == (Leaving(Address("10.0.0.1:1"), 500),)
    assert not queue.has_updates_for(PEERS[0])
    queue.forget_peer(PEERS[0])
    assert queue.has_updates_for(PEERS[0])
    queue.prune(TTL_MS + 1)
    assert not queue.has_updates_for(PEERS[0])
    assert not queue.enqueue(Leaving(Address("10.0.0.1:1"), int(TTL_MS) + 1), 0.0, None)
