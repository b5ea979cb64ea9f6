from __future__ import annotations

from toucanyard_node.encoded_messages import CACHED_MESSAGES, EncodedMessageCache


def test_messages_that_go_to_many_peers_in_turn_are_encoded_once_each() -> None:
    """A hub sends three kinds of status to 46 peers, in the order of their links.

    Encoding them again for each peer would delay the hub's messages and calls.
    """
    encoded: list[str] = []

    def encode(message: str) -> bytes:
        encoded.append(message)
        return message.encode()

    messages = EncodedMessageCache(encode)
    kinds = ["to its nodes", "to hubs", "standing by"]
    for peer in range(46):
        kind = kinds[peer % 3]
        assert messages.find(kind) == kind.encode()
    assert encoded == kinds


def test_equal_messages_and_old_ones_are_encoded_anew() -> None:
    messages: EncodedMessageCache[list[int]] = EncodedMessageCache(bytes)
    message = [1, 2]
    assert messages.find(message) == b"\x01\x02"
    message.append(3)
    assert messages.find([1, 2, 3]) == b"\x01\x02\x03"
    for number in range(CACHED_MESSAGES):
        messages.find([number])
    assert messages.find(message) == b"\x01\x02\x03"
