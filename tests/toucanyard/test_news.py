from __future__ import annotations

from toucanyard.digests import Leaving, Recovered, Restarted, Suspected
from toucanyard.names import Address, EndpointName, Incarnation, NodeName
from toucanyard.news import NewsBoard

KEEP_MS = 30_000.0
PEERS = [NodeName(f"p{n}") for n in range(8)]
ENDPOINT = EndpointName("e")


def build_board() -> NewsBoard:
    return NewsBoard(KEEP_MS)


def count_told(board: NewsBoard) -> int:
    return sum(len(board.take(peer, 0.0, 9)) for peer in PEERS)


def test_own_news_goes_to_all_and_before_that_of_others() -> None:
    """Many endpoints die together and the budget is short. What this node alone knows
    must not wait behind what comes on other ways as well."""
    board = build_board()
    board.post(Suspected(EndpointName("own"), NodeName("me"), 0), 0.0, None)
    board.post(Suspected(ENDPOINT, NodeName("other"), 0), 1.0, PEERS[0])
    (first,) = board.take(PEERS[1], 2.0, 1)
    assert isinstance(first, Suspected) and first.endpoint == "own"
    assert len(board.take(PEERS[1], 2.0, 9)) == 1


def test_news_of_others_is_passed_to_some_and_of_leaving_to_all() -> None:
    """If everyone told everything to everyone, the budget of a small fleet would last
    ten times as long as needed. A leaving VM must reach every node at once, though."""
    board = build_board()
    board.post(Suspected(ENDPOINT, NodeName("other"), 0), 0.0, PEERS[0])
    assert count_told(board) == 4
    board.post(Leaving(Address("10.0.0.1:1"), 0), 0.0, PEERS[0])
    assert count_told(board) == 7


def test_equal_and_older_news_ends_its_travel() -> None:
    board = build_board()
    assert board.post(Suspected(ENDPOINT, PEERS[0], 0), 1_000.0, PEERS[0])
    assert not board.post(Suspected(ENDPOINT, PEERS[0], 300), 1_200.0, PEERS[1])
    assert board.post(Recovered(ENDPOINT, PEERS[0], 0), 1_300.0, PEERS[1])
    assert not board.post(Suspected(ENDPOINT, PEERS[0], 400), 1_400.0, PEERS[2])
    restarted = Restarted(ENDPOINT, Incarnation("i2"), 0)
    assert board.post(restarted, 1_000.0, PEERS[0])
    assert not board.post(restarted, 9_000.0, PEERS[1])


def test_peer_that_comes_back_is_told_again_and_old_news_ends() -> None:
    board = build_board()
    board.post(Leaving(Address("10.0.0.1:1"), 0), 0.0, None)
    assert board.take(PEERS[0], 500.0, 9) == (Leaving(Address("10.0.0.1:1"), 500),)
    assert not board.has_news_for(PEERS[0])
    board.forget_peer(PEERS[0])
    assert board.has_news_for(PEERS[0])
    board.prune(KEEP_MS + 1)
    assert not board.has_news_for(PEERS[0])
    assert not board.post(Leaving(Address("10.0.0.1:1"), int(KEEP_MS) + 1), 0.0, None)
