"""Encoding of the messages on node links, and the events built from them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

from toucanyard.names import NodeId, NodeName

MessageT = TypeVar("MessageT")
MessageT_co = TypeVar("MessageT_co", covariant=True)
EventT = TypeVar("EventT")


class Addressed(Protocol[MessageT_co]):
    """A message addressed to one peer."""

    @property
    def node(self) -> NodeName:
        """Return the name of the peer."""
        ...

    @property
    def message(self) -> MessageT_co:
        """Return the message to send."""
        ...


class LinkCodec(Generic[MessageT, EventT]):
    """Message format of one kind of link, and constructors of its events.

    `decode` raises MessageInvalidError.
    """

    __slots__ = ("build_linked", "build_read", "decode", "encode", "max_bytes")

    def __init__(
        self,
        encode: Callable[[MessageT], bytes],
        decode: Callable[[bytes], MessageT],
        build_linked: Callable[[tuple[NodeId, ...]], EventT],
        build_read: Callable[[NodeId, MessageT], EventT],
        max_bytes: int,
    ) -> None:
        self.encode = encode
        self.decode = decode
        self.build_linked = build_linked
        self.build_read = build_read
        self.max_bytes = max_bytes
