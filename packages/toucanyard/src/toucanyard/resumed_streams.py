"""Decide where a stream that a caller takes up may go on.

It may go on only at the service and software version that began it. Where its try is
not known, it may have a single origin only by what the store held after the call had
arrived: this node may have started or have been out of step while the stream began. A
stream whose origin stays unknown is refused, since any other choice would be a guess.
"""

from __future__ import annotations

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

LOST_RETRY_MS: Final = 2_000.0
"""Retry delay of a stream that can't go on: a replica of its version that has crashed
may be back by then, and nothing sooner helps."""
ISOLATED_RETRY_MS: Final = 200.0
"""Retry delay at a node that the store does not answer; the caller's next node may
know."""
SLOW_READ_MS: Final = 150.0
"""Time without an answer of the store after which peers are asked to read it."""
MAX_LOGGED_ID: Final = 40


class FoundOrigin(msgspec.Struct, frozen=True):
    """Where a stream goes on, and how that is known."""

    origin: StreamOrigin
    source: OriginSource
    age_ms: float


class AwaitedOrigin(msgspec.Struct, frozen=True):
    """The store or peers have been asked."""


class UnknownOrigin(msgspec.Struct, frozen=True):
    """Why a stream can't go on."""

    text: str
    retry_ms: float


Resolution = FoundOrigin | AwaitedOrigin | UnknownOrigin


class ResumedStreams:
    """What one node decides about streams that callers take up."""

    __slots__ = (
        "_exchange",
        "_found",
        "_log_entries",
        "_lost",
        "found_counts",
        "lost_count",
    )

    def __init__(self, exchange: OriginExchange) -> None:
        self._exchange = exchange
        self._found = LogRateLimit("stream_resumed")
        self._lost = LogRateLimit("stream_not_resumed")
        self._log_entries: list[LogEntry] = []
        self.found_counts = dict.fromkeys(OriginSource, 0)
        """Streams that may go on, by where their origin was known from."""
        self.lost_count = 0
        """Streams that were refused: their origin is not known or has no replica."""

    def resolve(
        self, request: RelayRequest, since_ms: float, now_ms: float, *, may_ask: bool
    ) -> Resolution | None:
        """Return where a call's stream goes on; None for a new stream.

        `since_ms` is when the call arrived.
        """
        if request.origin is not None:
            forwarded = KnownOrigin(request.origin, "", OriginSource.TOLD, now_ms)
            return self._check(request, forwarded, now_ms)
        if not request.is_stream or not request.last_event_id:
            return None
        key = compute_resumed_key(request)
        known = None if key is None else self._exchange.origins.find(key)
        if known is not None:
            return self._check(request, known, now_ms)
        origins = self._exchange.versions.find_origins(
            request.route, request.services, now_ms
        )
        is_confirmed = self._is_confirmed(since_ms)
        if is_confirmed and len(origins) == 1:
            age_ms = now_ms - self._exchange.find_confirmed_time()
            return FoundOrigin(origins.pop(), OriginSource.ONLY, age_ms)
        if key is None and len(origins) > 1:
            return UnknownOrigin("the call names no try of its stream", LOST_RETRY_MS)
        return self._await(key, since_ms, now_ms, may_ask=may_ask)

    def _is_confirmed(self, since_ms: float) -> bool:
        """Return whether all origins are known that streams had by a time."""
        return self._exchange.find_confirmed_time() >= since_ms

    def _await(
        self, key: StreamKey | None, since_ms: float, now_ms: float, *, may_ask: bool
    ) -> AwaitedOrigin | UnknownOrigin:
        """Ask the store and peers for an origin, or tell that nobody knows it."""
        exchange, records = self._exchange, self._exchange.records
        if may_ask:
            records.request()
            if key is not None:
                exchange.ask(key, now_ms)
        is_confirmed = self._is_confirmed(since_ms)
        is_slow = now_ms - since_ms >= SLOW_READ_MS or records.is_failing(now_ms)
        if key is not None and not is_confirmed and is_slow:
            exchange.ask_confirmation(key, since_ms, now_ms)
        if not is_confirmed and records.may_be_read(since_ms, now_ms):
            return AwaitedOrigin()
        if key is not None and exchange.is_asking(key, now_ms):
            return AwaitedOrigin()
        if not is_confirmed:
            text = "neither the store nor a peer tells where the stream began"
            return UnknownOrigin(text, ISOLATED_RETRY_MS)
        return UnknownOrigin("nobody knows where the stream began", LOST_RETRY_MS)

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

    def record_placed(self, pending: PendingCall, now_ms: float) -> None:
        """Record where a call was placed whose stream may be taken up later."""
        request, origin = pending.request, pending.sent_origin
        if not request.is_resumable or origin is None or not request.caller_id:
            return
        key = compute_stream_key(request.customer, request.caller_id)
        self._exchange.record_placed(
            key, origin, request.route, request.services, request.request_id, now_ms
        )

    def record_begun(self, pending: PendingCall, now_ms: float) -> None:
        """Record where a stream has begun that may be taken up later."""
        request, origin = pending.request, pending.sent_origin
        if not request.is_resumable or origin is None or not request.caller_id:
            return
        key = compute_stream_key(request.customer, request.caller_id)
        self._exchange.records.record_begun(
            key, origin, request.route, request.services, now_ms
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
                "confirmed_ms_ago": self._compute_confirmed_age(now_ms),
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
                "confirmed_ms_ago": self._compute_confirmed_age(now_ms),
            },
            now_ms,
        )

    def _compute_confirmed_age(self, now_ms: float) -> int:
        return round(min(now_ms - self._exchange.find_confirmed_time(), 1e9))

    def take_log_entries(self) -> list[LogEntry]:
        """Return and clear the log entries about resumed streams."""
        entries, self._log_entries = self._log_entries, []
        return entries


def compute_resumed_key(request: RelayRequest) -> StreamKey | None:
    """Return the key of the try that a call names; None if it names none."""
    if not request.resumed_id or len(request.resumed_id) > MAX_ID_LENGTH:
        return None
    return compute_stream_key(CustomerName(request.customer), request.resumed_id)
