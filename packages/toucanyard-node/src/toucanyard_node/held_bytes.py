"""Count the bytes that a node holds of messages that are still incomplete or in use.

One sum belongs to one kind of sender. A single sender can use only part of it, and
large messages can't use the part that is reserved for small ones. So neither one
replica nor a few endless messages keep the others from being read.
"""

from __future__ import annotations

import enum
from collections import Counter
from types import TracebackType
from typing import Final

from toucanyard.byte_limits import ByteLimits

SENDER_SHARE: Final = 0.5
"""Maximum share of a sum that the messages of one sender may use."""
RESERVED_SHARE: Final = 0.25
"""Share of a sum that only small messages may use."""
SMALL_BYTES: Final = 262_144
"""Maximum size of a small message."""


class ByteBound(enum.Enum):
    """Bounds on received bytes."""

    HEAD = "head"
    MESSAGE = "message"
    EVENT = "event"
    SENDER = "sender"
    SUM = "sum"

    def is_shared(self) -> bool:
        """Return whether the bound counts more than the message that exceeds it."""
        return self in (ByteBound.SENDER, ByteBound.SUM)


class ByteBoundError(Exception):
    """A message does not fit a bound; `received_bytes` were counted until then."""

    def __init__(self, bound: ByteBound, received_bytes: int) -> None:
        super().__init__(f"over the bound {bound.value} after {received_bytes} bytes")
        self.bound = bound
        self.received_bytes = received_bytes


class HeldBytes:
    """The bytes held of one kind of sender.

    Invariant: `total_bytes` is the sum over all open messages and at most `max_bytes`.
    """

    __slots__ = ("_by_sender", "exceeded", "max_bytes", "peak_bytes", "total_bytes")

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.total_bytes = 0
        self.peak_bytes = 0
        self.exceeded: Counter[ByteBound] = Counter()
        """How often each bound was exceeded."""
        self._by_sender: Counter[str] = Counter()

    def open(self, sender: str, max_message_bytes: int) -> HeldMessage:
        """Return the count of one message, which its reader releases."""
        return HeldMessage(self, sender, max_message_bytes)

    def has_room(self, size_bytes: int = SMALL_BYTES) -> bool:
        """Return whether a message of that size fits now."""
        return self.total_bytes + size_bytes <= self._find_limit(size_bytes)

    def check(
        self, sender: str, message_bytes: int, added_bytes: int
    ) -> ByteBound | None:
        """Return the bound that more bytes of a message would exceed."""
        if self.total_bytes + added_bytes > self._find_limit(message_bytes):
            return ByteBound.SUM
        if self._by_sender[sender] + added_bytes > self.max_bytes * SENDER_SHARE:
            return ByteBound.SENDER
        return None

    def add(self, sender: str, size_bytes: int) -> None:
        """Count bytes that `check` allows."""
        self.total_bytes += size_bytes
        self.peak_bytes = max(self.peak_bytes, self.total_bytes)
        self._by_sender[sender] += size_bytes

    def remove(self, sender: str, size_bytes: int) -> None:
        """Count bytes that are no longer held."""
        self.total_bytes -= size_bytes
        self._by_sender[sender] -= size_bytes
        if self._by_sender[sender] <= 0:
            del self._by_sender[sender]

    def _find_limit(self, message_bytes: int) -> float:
        if message_bytes <= SMALL_BYTES:
            return self.max_bytes
        return self.max_bytes * (1.0 - RESERVED_SHARE)


class HeldMessage:
    """The bytes held of one message; a context manager that releases them."""

    __slots__ = ("_held", "_max_bytes", "_sender", "size_bytes")

    def __init__(self, held: HeldBytes, sender: str, max_bytes: int) -> None:
        self._held = held
        self._sender = sender
        self._max_bytes = max_bytes
        self.size_bytes = 0

    def add(self, size_bytes: int) -> None:
        """Count received bytes before they are kept, or raise ByteBoundError."""
        wanted_bytes = self.size_bytes + size_bytes
        bound: ByteBound | None = ByteBound.MESSAGE
        if wanted_bytes <= self._max_bytes:
            bound = self._held.check(self._sender, wanted_bytes, size_bytes)
        if bound is not None:
            self._held.exceeded[bound] += 1
            raise ByteBoundError(bound, wanted_bytes)
        self._held.add(self._sender, size_bytes)
        self.size_bytes = wanted_bytes

    def record_exceeded(self, bound: ByteBound) -> None:
        """Count a bound that the reader of this message has found to be exceeded."""
        self._held.exceeded[bound] += 1

    def release(self) -> None:
        """Count all bytes of this message as no longer held; idempotent."""
        if self.size_bytes:
            self._held.remove(self._sender, self.size_bytes)
        self.size_bytes = 0

    def __enter__(self) -> HeldMessage:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.release()


class ReceivedBytes:
    """The sums of one node by kind of sender."""

    __slots__ = ("answers", "limits", "peers", "reports", "requests", "store")

    def __init__(self, limits: ByteLimits) -> None:
        self.limits = limits
        self.answers = HeldBytes(limits.max_held_answer_bytes)
        self.requests = HeldBytes(limits.max_held_request_bytes)
        self.reports = HeldBytes(limits.max_held_report_bytes)
        self.store = HeldBytes(limits.max_held_store_bytes)
        self.peers = HeldBytes(limits.max_held_peer_bytes)

    def list_sums(self) -> tuple[tuple[str, HeldBytes], ...]:
        """Return the name and the sum of each kind of sender."""
        return (
            ("answers", self.answers),
            ("requests", self.requests),
            ("reports", self.reports),
            ("store", self.store),
            ("peers", self.peers),
        )
