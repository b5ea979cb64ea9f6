"""Record connections that end after a whole request without a status.

A caller that leaves first is told apart from what the node has done or left undone.
"""

from __future__ import annotations

import enum
from collections import Counter
from typing import Final

import structlog
import trio

_LOG: Final = structlog.get_logger()
_MAX_PATH_CHARACTERS: Final = 64


class CloseReason(enum.StrEnum):
    """Why a connection ended without a status."""

    CALLER_LEFT = "caller_left"
    CANCELLED = "cancelled"
    """The node ended the handler, as it does when its process ends."""
    HANDLER_FAILED = "handler_failed"
    NO_RESPONSE = "no_response"
    """The handler returned without a response."""


class OpenRequest:
    """A whole request without a status so far."""

    __slots__ = ("call", "path", "received_s")

    def __init__(self, path: str, call: str = "") -> None:
        self.path = path
        self.call = call
        self.received_s = trio.current_time()


class Closings:
    """Counts and logs connections that end without a status."""

    __slots__ = ("counts",)

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def record(self, request: OpenRequest, reason: CloseReason, state: str) -> None:
        """Record one connection; `state` is what was done for its request."""
        self.counts[reason.value] += 1
        _LOG.info(
            "closed_without_status",
            call=request.call,
            path=request.path[:_MAX_PATH_CHARACTERS],
            state=state,
            reason=reason.value,
            age_ms=round((trio.current_time() - request.received_s) * 1000),
        )
