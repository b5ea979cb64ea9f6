"""Cache the encoding of messages that are sent to many peers.

A hub sends one kind of status each to its nodes, to standby nodes and to other hubs, in
the order of its links. Encoding it again for each of 46 peers would delay its calls.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Final, Generic

from toucanyard_node.link_codec import MessageT

CACHED_MESSAGES: Final = 4
"""Number of cached messages, enough for the kinds of message in one status."""


class EncodedMessageCache(Generic[MessageT]):
    """Cache of the most recently encoded messages.

    Invariant: messages are looked up by identity, not by equality.
    """

    __slots__ = ("_encode", "_cached")

    def __init__(self, encode: Callable[[MessageT], bytes]) -> None:
        self._encode = encode
        self._cached: deque[tuple[MessageT, bytes]] = deque(maxlen=CACHED_MESSAGES)

    def find(self, message: MessageT) -> bytes:
        """Return the encoding of a message."""
        for cached, data in self._cached:
            if cached is message:
                return data
        data = self._encode(message)
        self._cached.append((message, data))
        return data
