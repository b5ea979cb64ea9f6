"""Encode a message once that goes to many peers.

A hub sends its nodes, the nodes that stand by and other hubs one status each, in the
order of their links. Encoding it anew for each of 46 peers would hold up its calls.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Final, Generic

from toucanyard_node.link_codec import MessageT

KEPT: Final = 4
"""Messages whose bytes are kept: those of one status are of so many kinds."""


class EncodedMessages(Generic[MessageT]):
    """The bytes of the messages that were encoded last.

    Invariant: bytes are found by the message itself, not by one that equals it.
    """

    __slots__ = ("_encode", "_kept")

    def __init__(self, encode: Callable[[MessageT], bytes]) -> None:
        self._encode = encode
        self._kept: deque[tuple[MessageT, bytes]] = deque(maxlen=KEPT)

    def find(self, message: MessageT) -> bytes:
        """Return the bytes of a message."""
        for kept, data in self._kept:
            if kept is message:
                return data
        data = self._encode(message)
        self._kept.append((message, data))
        return data
