"""Encode a message once that goes to many peers.

A hub sends its nodes, the nodes that stand by and other hubs one status each, in the
order of their links. Encoding it anew for each of 46 peers would hold up its calls.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Final, Generic

from toucanyard_node.link_codec import MessageT

CACHED_MESSAGES: Final = 4
"""Messages whose bytes are kept: those of one status are of so many kinds."""


class EncodedMessageCache(Generic[MessageT]):
    """The bytes of the messages that were encoded last.

    Invariant: bytes are found by the message itself, not by one that equals it.
    """

    __slots__ = ("_encode", "_cached")

    def __init__(self, encode: Callable[[MessageT], bytes]) -> None:
        self._encode = encode
        self._cached: deque[tuple[MessageT, bytes]] = deque(maxlen=CACHED_MESSAGES)

    def find(self, message: MessageT) -> bytes:
        """Return the bytes of a message."""
        for cached, data in self._cached:
            if cached is message:
                return data
        data = self._encode(message)
        self._cached.append((message, data))
        return data
