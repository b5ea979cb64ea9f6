"""Remember at which service and software version each stream began.

Replicas of several software versions may serve side by side, and events of two versions
do not form one stream. A caller names the try that began its stream, possibly at
another node, so nodes exchange this knowledge. It is soft state, bounded in entries and
age. What is not known is never guessed.
"""

from __future__ import annotations

import enum
from itertools import takewhile
from typing import Final

import msgspec
import xxhash

from toucanyard.names import CustomerName, ServiceName, SoftwareVersion

MAX_STREAMS: Final = 65_536
"""Streams that are remembered; about 15 MB."""
MAX_ID_LENGTH: Final = 128
"""Maximum number of characters of a caller's id that is looked up."""
KEY_BYTES: Final = 8

StreamKey = bytes
"""Hash of a customer and the id of one of its tries."""


class StreamOrigin(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Where a stream began, and the only place where it may go on."""

    service: ServiceName
    software_version: SoftwareVersion


class OriginSource(enum.StrEnum):
    """Where the knowledge of a stream's origin comes from."""

    ANSWER = "answer"
    """The same answer has begun there."""
    OWN = "own"
    """This node placed the try that the caller names."""
    TOLD = "told"
    """A peer reported the try before the caller named it."""
    ASKED = "asked"
    """A peer reported it when asked."""
    STORED = "stored"
    """A node appended the try to the store."""
    ONLY = "only"
    """The route has led to a single service and software version."""


class KnownOrigin(msgspec.Struct, gc=False):
    """What a node remembers of one try."""

    origin: StreamOrigin
    placed_by: str
    """The call or the peer that placed the try."""
    source: OriginSource
    seen_ms: float
    is_ambiguous: bool = False
    """Two calls with the same id were placed at different origins."""


def compute_stream_key(customer: CustomerName, caller_id: str) -> StreamKey:
    """Return the key of a try; another customer's ids never match."""
    name = customer.encode()
    text = len(name).to_bytes(4, "big") + name + caller_id.encode()
    return xxhash.xxh3_64_digest(text)


class StreamOrigins:
    """The origins of recent streams, as one node knows them.

    Invariants: at most MAX_STREAMS are kept, the oldest are dropped first; an id that
    was used for two origins has none.
    """

    __slots__ = ("_known",)

    def __init__(self) -> None:
        self._known: dict[StreamKey, KnownOrigin] = {}

    def __len__(self) -> int:
        return len(self._known)

    def record(
        self,
        key: StreamKey,
        origin: StreamOrigin,
        placed_by: str,
        source: OriginSource,
        now_ms: float,
    ) -> None:
        """Record where a try was placed.

        A later placement of the same call replaces the earlier one, which brought no
        event. Another call with the same id makes the origin ambiguous.
        """
        before = self._known.pop(key, None)
        is_ambiguous = before is not None and (
            before.is_ambiguous
            or (before.placed_by != placed_by and before.origin != origin)
        )
        self._known[key] = KnownOrigin(origin, placed_by, source, now_ms, is_ambiguous)
        if len(self._known) > MAX_STREAMS:
            del self._known[next(iter(self._known))]

    def record_stored(
        self, key: StreamKey, origin: StreamOrigin, placed_by: str, now_ms: float
    ) -> None:
        """Record a try that the store lists, unless it is known from another source.

        What a node itself placed or was told may be a later placement of the same call.
        """
        before = self._known.get(key)
        if before is None or before.source is OriginSource.STORED:
            self.record(key, origin, placed_by, OriginSource.STORED, now_ms)

    def find(self, key: StreamKey) -> KnownOrigin | None:
        """Return what is known of a try."""
        return self._known.get(key)

    def prune(self, before_ms: float) -> None:
        """Drop streams that were seen last before a time."""
        old = takewhile(lambda each: each[1].seen_ms < before_ms, self._known.items())
        for key in [key for key, _ in old]:
            del self._known[key]
