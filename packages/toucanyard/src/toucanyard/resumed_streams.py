"""Decide where a stream that a caller takes up may go on.

It may go on only at the service and software version that began it. A stream whose
origin is not known is refused, since any other choice would be a guess.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import msgspec

from toucanyard.log_entries import LogEntry
from toucanyard.log_rate_limit import LogRateLimit
from toucanyard.names import CustomerName
from toucanyard.origin_exchange import OriginExchange
from toucanyard.pending_call import PendingCall
from toucanyard.relay_requests import RelayRequest
from toucanyard.stream_origins import (
    MAX_ID_LENGTH,
    KnownOrigin,
    OriginSource,
    StreamKey,
    StreamOrigin,
    compute_stream_key,
)

MAX_VIEW_AGE_MS: Final = 3_000.0
"""Age of the list of replicas up to which a node without peers relies on it."""
LOST_RETRY_MS: Final = 2_000.0
"""Retry delay of a stream that can't go on: a replica of its version that has crashed
may be back by then, and nothing sooner helps."""
ISOLATED_RETRY_MS: Final = 200.0
"""Retry delay at a node that can ask no peer; the caller's next node may know."""
MAX_LOGGED_ID: Final = 40


class FoundOrigin(msgspec.Struct, frozen=True):
    """Where a stream goes on, and how that is known."""

    origin: StreamOrigin
    source: OriginSource
    age_ms: float


class AwaitedOrigin(msgspec.Struct, frozen=True):
    """Peers have been asked."""


class UnknownOrigin(msgspec.Struct, frozen=True):
    """Why a stream can't go on."""

    text: str
    retry_ms: float


Resolution = FoundOrigin | AwaitedOrigin | UnknownOrigin


class ResumedStreams:
    """What one node decides about streams that callers take up."""

    __slots__ = (
        "_exchange",
        "_find_view_age",
        "_found",
        "_log_entries",
        "_lost",
        "found_counts",
        "lost_count",
    )

    def __init__(
        self,
        exchange: OriginExchange,
        find_view_age: Callable[[float], float],
    ) -> None:
        self._exchange = exchange
        self._find_view_age = find_view_age
        self._found = LogRateLimit("stream_resumed")
        self._lost = LogRateLimit("stream_not_resumed")
        self._log_entries: list[LogEntry] = []
        self.found_counts = dict.fromkeys(OriginSource, 0)
        """Streams that may go on, by where their origin was known from."""
        self.lost_count = 0
        """Streams that were refused: their origin is not known or has no replica."""

    def resolve(
        self, request: RelayRequest, now_ms: float, *, may_ask: bool
    ) -> Resolution | None:
        """Return where a call's stream goes on; None for a new stream."""
        if request.origin is not None:
            forwarded = KnownOrigin(request.origin, "", OriginSource.TOLD, now_ms)
            return self._check(request, forwarded, now_ms)
        if not request.is_stream or not request.last_event_id:
            return None
        key = compute_resumed_key(request)
        known = None if key is None else self._exchange.origins.find(key)
        if known is not None:
            return self._check(request, known, now_ms)
        only = self._find_only(request, now_ms)
        if only is not None:
            return FoundOrigin(only, OriginSource.ONLY, self._find_view_age(now_ms))
        if key is None:
            return UnknownOrigin("the call names no try of its stream", LOST_RETRY_MS)
        if may_ask:
            self._exchange.ask(key, now_ms)
        if self._exchange.is_asking(key, now_ms):
            return AwaitedOrigin()
        retry_ms = LOST_RETRY_MS if self._exchange.is_linked() else ISOLATED_RETRY_MS
        return UnknownOrigin("nobody knows where the stream began", retry_ms)

    def _check(
        self, request: RelayRequest, known: KnownOrigin, now_ms: float
    ) -> FoundOrigin | UnknownOrigin:
        if known.is_ambiguous:
            text = "the try that began the stream has the id of another one"
            return UnknownOrigin(text, LOST_RETRY_MS)
        if known.origin.service not in request.services:
            text = f"the route no longer leads to {known.origin.service}"
            return UnknownOrigin(text, LOST_RETRY_MS)
        return FoundOrigin(known.origin, known.source, now_ms - known.seen_ms)

    def _find_only(self, request: RelayRequest, now_ms: float) -> StreamOrigin | None:
        """Return the only origin that the stream can have, if there is one."""
        if (
            not self._exchange.is_linked()
            and self._find_view_age(now_ms) > MAX_VIEW_AGE_MS
        ):
            # Another version may serve by now without this node's knowledge.
            return None
        origins = self._exchange.versions.find_origins(
            request.route, request.services, now_ms
        )
        return origins.pop() if len(origins) == 1 else None

    def record_placed(self, pending: PendingCall, now_ms: float) -> None:
        """Record where a call was placed whose stream may be taken up later."""
        request, origin = pending.request, pending.sent_origin
        if not request.is_resumable or origin is None or not request.caller_id:
            return
        key = compute_stream_key(request.customer, request.caller_id)
        self._exchange.record_placed(
            key, origin, request.route, request.services, request.request_id, now_ms
        )

    def record_found(
        self, request: RelayRequest, found: FoundOrigin, now_ms: float
    ) -> None:
        """Count and log a stream that may go on."""
        self.found_counts[found.source] += 1
        self._log_entries += self._found.log(
            {
                "call": request.request_id,
                "resumes": request.resumed_id[:MAX_LOGGED_ID],
                "last_event": request.last_event_id[:MAX_LOGGED_ID],
                "service": found.origin.service,
                "software": found.origin.software_version,
                "source": found.source.value,
                "age_ms": round(min(found.age_ms, 1e9)),
            },
            now_ms,
        )

    def record_lost(self, request: RelayRequest, text: str, now_ms: float) -> None:
        """Count and log a stream that can't go on."""
        self.lost_count += 1
        self._log_entries += self._lost.log(
            {
                "call": request.request_id,
                "resumes": request.resumed_id[:MAX_LOGGED_ID],
                "last_event": request.last_event_id[:MAX_LOGGED_ID],
                "reason": text,
            },
            now_ms,
        )

    def take_log_entries(self) -> list[LogEntry]:
        """Return and clear the log entries about resumed streams."""
        entries, self._log_entries = self._log_entries, []
        return entries


def compute_resumed_key(request: RelayRequest) -> StreamKey | None:
    """Return the key of the try that a call names; None if it names none."""
    if not request.resumed_id or len(request.resumed_id) > MAX_ID_LENGTH:
        return None
    return compute_stream_key(CustomerName(request.customer), request.resumed_id)
