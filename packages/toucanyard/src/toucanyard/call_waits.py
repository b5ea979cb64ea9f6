"""Decide whether a call may wait for a replica, and for how long."""

from __future__ import annotations

import math
from collections.abc import Collection
from typing import Final

from toucanyard.call_placement import CallPlacement
from toucanyard.call_refusals import CallRefusals, RefusalReason
from toucanyard.errorcodes import ErrorKind
from toucanyard.pending_call import PendingCall
from toucanyard.relay_policy import QueuePolicy
from toucanyard.replicas import ReplicaDirectory
from toucanyard.resumed_streams import LOST_RETRY_MS

MIN_RETRY_AFTER_MS: Final = 100
MAX_RETRY_AFTER_MS: Final = 2_000
NO_REPLICA_WAIT_MS: Final = 1_500.0
"""Time that a call waits while its service has no usable replica at all. Loading
weights, or restoring a list of replicas that expired, takes less."""
MAX_BEGUN_WAIT_MS: Final = 1_000.0
"""Time that a stream whose answer has begun waits for a replica; after a longer gap its
caller gives up."""


class CallWaits:
    """Estimates and limits of the waits of one node's calls."""

    __slots__ = ("_calls", "_directory", "_policy", "_refusals")

    def __init__(
        self,
        policy: QueuePolicy,
        directory: ReplicaDirectory,
        calls: CallPlacement,
        refusals: CallRefusals,
    ) -> None:
        self._policy = policy
        self._directory = directory
        self._calls = calls
        self._refusals = refusals

    def check_new(
        self, pending: PendingCall, queue: Collection[PendingCall], now_ms: float
    ) -> RefusalReason | None:
        """Return why a call would not be sent before its deadline, if so."""
        request = pending.request
        if not self._calls.find_listed(pending, now_ms):
            return _build_unlisted(pending)
        if not self._policy.refuses_early:
            return None
        wait_ms = self._compute_wait(pending, queue, now_ms)
        answer_ms = self._estimate_answer(pending)
        if wait_ms + answer_ms <= request.deadline_ms - now_ms:
            return None
        text = f"the wait would be about {wait_ms:.0f} ms"
        if answer_ms:
            text += f", the answer take {answer_ms:.0f} ms"
        if math.isinf(wait_ms):
            text = "limits of all replicas leave room for more urgent calls only"
        return_ms = self._directory.find_return_delay(request.service, now_ms)
        if return_ms is not None:
            text = _describe_deferral(return_ms)
        return RefusalReason(ErrorKind.OVERLOADED, text)

    def check_late(
        self, pending: PendingCall, return_ms: float | None, now_ms: float
    ) -> RefusalReason | None:
        """Return why a queued call should be refused now, if so.

        `return_ms` is the time until a replica is usable again, if that is known.
        """
        if pending.origin is not None and not self._calls.find_listed(pending, now_ms):
            return _build_unlisted(pending)
        if not self._is_late(pending, return_ms, now_ms):
            return None
        text = "no replica had room in time"
        answer_ms = self._estimate_answer(pending)
        if answer_ms:
            text += f" for an answer of about {answer_ms:.0f} ms"
        if return_ms is not None:
            text = _describe_deferral(return_ms)
        return RefusalReason(ErrorKind.OVERLOADED, text)

    def compute_retry_delay(
        self, pending: PendingCall, queue: Collection[PendingCall], now_ms: float
    ) -> float:
        """Return when the caller of a refused call should come back, in ms."""
        wait_ms = self._compute_wait(pending, queue, now_ms)
        wait_ms = min(max(wait_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)
        service = pending.request.service
        return_ms = self._directory.find_return_delay(service, now_ms)
        return max(wait_ms, return_ms or 0.0)

    def _compute_wait(
        self, pending: PendingCall, queue: Collection[PendingCall], now_ms: float
    ) -> float:
        service = pending.request.service
        if self._calls.is_limited(service, now_ms):
            return self._refusals.compute_limited_wait(pending, queue, now_ms)
        wait_ms = self._refusals.compute_wait(pending, queue, now_ms)
        return_ms = self._directory.find_return_delay(service, now_ms)
        return wait_ms if return_ms is None else max(wait_ms, return_ms)

    def _is_late(
        self, pending: PendingCall, return_ms: float | None, now_ms: float
    ) -> bool:
        """Return whether a queued call has waited for as long as it may.

        The time left until its deadline is the time in which its caller can retry.
        """
        request = pending.request
        kept_ms = max(request.target_ms / 4, self._estimate_answer(pending))
        if now_ms + (return_ms or 0.0) >= request.deadline_ms - kept_ms:
            return True
        if return_ms is not None:
            return False
        waited_ms = now_ms - pending.queued_ms
        if pending.has_begun:
            is_late = waited_ms >= MAX_BEGUN_WAIT_MS
            return is_late or not self._calls.may_go_on(pending, now_ms)
        if waited_ms < NO_REPLICA_WAIT_MS:
            return False
        return not self._calls.find_usable(pending, now_ms)

    def _estimate_answer(self, pending: PendingCall) -> float:
        """Return the time to keep for a new call's answer, in ms."""
        if not self._policy.keeps_answer_time or pending.has_begun:
            return 0.0
        return self._calls.answer_times.estimate(pending.request)


def _build_unlisted(pending: PendingCall) -> RefusalReason:
    if pending.origin is None:
        return RefusalReason(ErrorKind.NO_ENDPOINT, "no replica")
    text = f"no replica of software version {pending.origin.software_version}"
    return RefusalReason(ErrorKind.STREAM_NOT_RESUMABLE, text, LOST_RETRY_MS)


def _describe_deferral(return_ms: float) -> str:
    return f"all replicas have deferred calls or are out of use for {return_ms:.0f} ms"
