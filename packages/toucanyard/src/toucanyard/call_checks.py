"""Check whether a call may be sent at all: its request, its node, its limit."""

from __future__ import annotations

from collections.abc import Iterable

from toucanyard.call_limits import CallLimits
from toucanyard.call_refusals import RefusalReason
from toucanyard.errorcodes import ErrorKind
from toucanyard.pending_call import PendingCall
from toucanyard.request_guard import RequestGuard
from toucanyard.stop_admission import StopAdmission


class CallChecks:
    """The checks of one node; each returns why a call is refused, if it is."""

    __slots__ = ("_guard", "_limits", "_stop")

    def __init__(
        self, guard: RequestGuard, limits: CallLimits, stop: StopAdmission
    ) -> None:
        self._guard = guard
        self._stop = stop
        self._limits = limits

    def check(
        self, pending: PendingCall, others: Iterable[PendingCall], now_ms: float
    ) -> RefusalReason | None:
        """Check a call by its request, the node's stop and its customer's limit."""
        return (
            self.check_guard(pending, others, now_ms)
            or self._stop.check(pending, now_ms)
            or self.check_limits(pending, now_ms)
        )

    def check_guard(
        self, pending: PendingCall, others: Iterable[PendingCall], now_ms: float
    ) -> RefusalReason | None:
        """Check a call by its request; update whether it is suspect."""
        request = pending.request
        pending.is_suspect = self._guard.is_suspect(request.fingerprint)
        rejection = self._guard.check(
            request, lambda: _is_running(pending, others), now_ms
        )
        if rejection is None:
            return None
        kind, retry_ms = ErrorKind.REQUEST_QUARANTINED, rejection.retry_after_ms
        return RefusalReason(kind, rejection.text, retry_ms)

    def check_limits(self, pending: PendingCall, now_ms: float) -> RefusalReason | None:
        """Check a call by its customer's limit.

        The node that forwards a call has taken the credit for it.
        """
        if pending.request.is_forwarded:
            return None
        over = self._limits.check(pending, now_ms)
        if over is None:
            return None
        return RefusalReason(ErrorKind.CUSTOMER_LIMIT, over.text, over.retry_ms)


def _is_running(pending: PendingCall, others: Iterable[PendingCall]) -> bool:
    """Return whether another call with the same request runs at a replica."""
    return any(
        each.replica is not None and each is not pending
        for each in others
        if each.request.fingerprint == pending.request.fingerprint
    )
