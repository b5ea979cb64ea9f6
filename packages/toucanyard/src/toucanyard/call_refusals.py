"""Build the final reply to a call that is given up, with its retry delay."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable

import msgspec

from toucanyard.drain_rate import DrainRate
from toucanyard.errorcodes import Ending, ErrorKind
from toucanyard.names import ServiceName
from toucanyard.pending_call import PendingCall
from toucanyard.relay_requests import RelayReply, RelayRequest
from toucanyard.requests import Refuse, Repeatability


class RefusalReason(msgspec.Struct, frozen=True):
    """Why a call is refused; `retry_ms` is None if its queue decides that."""

    kind: ErrorKind
    text: str
    retry_ms: float | None = None


class CallRefusals:
    """Builds the refusals of one node and tracks how fast its queues drain."""

    __slots__ = ("_drains", "_queued", "_rng")

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._drains: dict[ServiceName, DrainRate] = {}
        self._queued: dict[tuple[ServiceName, int], DrainRate] = {}
        """Rate of calls that were queued, by service and rank."""

    def record_freed_slot(self, service: ServiceName, now_ms: float) -> None:
        """Count a call that has freed its slot."""
        self._find_drain(service).record_event(now_ms)

    def compute_wait(
        self, pending: PendingCall, queue: Iterable[PendingCall], now_ms: float
    ) -> float:
        """Return the estimated wait of a call for a replica, in ms."""
        rank = pending.rank()
        ahead = sum(
            each.rank() <= rank for each in queue if not each.is_awaiting_credit
        )
        return self._find_drain(pending.request.service).compute_wait(ahead, now_ms)

    def record_queued(self, request: RelayRequest, now_ms: float) -> None:
        """Count a call that was queued."""
        key = (request.service, request.rank)
        self._queued.setdefault(key, DrainRate()).record_event(now_ms)

    def compute_limited_wait(
        self, pending: PendingCall, queue: Iterable[PendingCall], now_ms: float
    ) -> float:
        """Return the estimated wait where all replicas are rate-limited, in ms.

        More urgent calls that arrive later go first and may leave no capacity. The
        wait is zero while the queue is empty: at least one call has to wait, as only
        that shows when capacity is free.
        """
        rank = pending.rank()
        waiting = [each for each in queue if not each.is_awaiting_credit]
        if not waiting:
            return 0.0
        ahead = sum(each.rank() <= rank for each in waiting)
        service = pending.request.service
        left_per_s = self._find_drain(service).compute_rate(now_ms)
        for (queued_for, queued_rank), queued in self._queued.items():
            if queued_for == service and queued_rank < pending.request.rank:
                left_per_s -= queued.compute_rate(now_ms)
        if left_per_s <= 0.0:
            return math.inf
        return (ahead + 1) / left_per_s * 1_000

    def build(
        self, pending: PendingCall, kind: ErrorKind, text: str, wait_ms: float
    ) -> RelayReply:
        """Return the final reply to a call, claiming no more than is proved.

        `kind` is the reason for giving up now. An earlier try may still have run; on an
        answer of "not run", the caller would repeat a completed operation.
        """
        request = pending.request
        if pending.has_failed:
            # The replica's own error response is relayed unchanged.
            return RelayReply(request.request_id, None)
        ending = Ending.NOT_RUN
        if pending.may_have_run:
            ending = Ending.UNKNOWN
            is_repeatable = request.repeatability is Repeatability.REPEATABLE
            kind = (
                ErrorKind.ENDPOINT_LOST if is_repeatable else ErrorKind.OUTCOME_UNKNOWN
            )
        # Jitter keeps callers that were refused together from retrying together.
        retry_after_ms = int(wait_ms * self._rng.uniform(1.0, 2.0))
        refusal = Refuse(
            request.request_id, kind, ending, text, retry_after_ms, pending.sends
        )
        return RelayReply(request.request_id, refusal)

    def _find_drain(self, service: ServiceName) -> DrainRate:
        return self._drains.setdefault(service, DrainRate())
