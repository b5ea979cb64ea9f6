"""Say how a call ends that is given up, and when its caller is to come back."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable

from toucanyard.drain_rate import DrainRate
from toucanyard.errorcodes import Ending, ErrorKind
from toucanyard.names import ServiceName
from toucanyard.pending_call import PendingCall
from toucanyard.relay_requests import RelayReply, RelayRequest
from toucanyard.requests import Refuse, Repeatability


class CallRefusals:
    """The refusals of one node, and how fast its queues drain."""

    __slots__ = ("_drains", "_queued", "_rng")

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._drains: dict[ServiceName, DrainRate] = {}
        self._queued: dict[tuple[ServiceName, int], DrainRate] = {}
        """Calls that began to wait, by service and rank."""

    def record_freed_slot(self, service: ServiceName, now_ms: float) -> None:
        """Count a call that has freed its place."""
        self._find_drain(service).record_event(now_ms)

    def compute_wait(
        self, pending: PendingCall, queue: Iterable[PendingCall], now_ms: float
    ) -> float:
        """Return how long a call would wait for a replica, in ms."""
        rank = pending.rank()
        ahead = sum(
            each.rank() <= rank for each in queue if not each.is_awaiting_credit
        )
        return self._find_drain(pending.request.service).compute_wait(ahead, now_ms)

    def record_queued(self, request: RelayRequest, now_ms: float) -> None:
        """Count a call that waits for a place."""
        key = (request.service, request.rank)
        self._queued.setdefault(key, DrainRate()).record_event(now_ms)

    def compute_limited_wait(
        self, pending: PendingCall, queue: Iterable[PendingCall], now_ms: float
    ) -> float:
        """Return the same where replicas take only so many calls a second.

        More urgent calls that are still to come go first, and may leave nothing. One
        call waits at least, as only that shows when there is a place.
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
        """Return the end of a call, with no more than is proved.

        The kind says why it is given up now. An earlier try may have run all the same;
        told "not run", a caller would repeat what was done.
        """
        request = pending.request
        if pending.has_failed:
            # The replica's own answer is passed on; there is nothing to add.
            return RelayReply(request.request_id, None)
        ending = Ending.NOT_RUN
        if pending.may_have_run:
            ending = Ending.UNKNOWN
            is_repeatable = request.repeatability is Repeatability.REPEATABLE
            kind = (
                ErrorKind.ENDPOINT_LOST if is_repeatable else ErrorKind.OUTCOME_UNKNOWN
            )
        # Callers refused in one instant must not come back in one instant.
        retry_after_ms = int(wait_ms * self._rng.uniform(1.0, 2.0))
        refusal = Refuse(request.request_id, kind, ending, text, retry_after_ms)
        return RelayReply(request.request_id, refusal)

    def _find_drain(self, service: ServiceName) -> DrainRate:
        return self._drains.setdefault(service, DrainRate())
