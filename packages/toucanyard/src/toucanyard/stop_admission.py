"""Refuse the calls that a stopping node could not answer before it ends.

A refusal that states "not run" lets the caller go to another node at once; an answer
that is cut in the middle is lost.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from toucanyard.answer_times.recent_answers import RecentAnswers
from toucanyard.call_refusals import RefusalReason
from toucanyard.errorcodes import ErrorKind
from toucanyard.pending_call import PendingCall

MAX_SHARE_CUT: Final = 0.5
"""Share of recent answers to such calls that may have taken longer than is left."""
LATE_MARGIN: Final = 1.5
"""How much longer than any recent answer the time left must be for a late call."""
UNKNOWN_SHARE: Final = 0.5
"""Share of the time from the last arrivals to the end in which a call may begin of
which it is not known how long it takes."""
RESTART_MS: Final = 1_000.0
"""Time from the end of a process until it takes calls again."""


class StopAdmission:
    """Which calls a node may still begin; all of them until it stops."""

    __slots__ = ("_accept_until_ms", "_answers", "_ends_ms", "_has_ready_peer")

    def __init__(
        self, answers: RecentAnswers, has_ready_peer: Callable[[float], bool]
    ) -> None:
        """`has_ready_peer`: whether callers may be sent to another node."""
        self._answers = answers
        self._has_ready_peer = has_ready_peer
        self._accept_until_ms = float("inf")
        self._ends_ms = float("inf")

    def begin(self, accept_until_ms: float, ends_ms: float) -> None:
        """Record that the node stops: when callers should be gone and when it ends."""
        self._accept_until_ms = accept_until_ms
        self._ends_ms = ends_ms

    def check(self, pending: PendingCall, now_ms: float) -> RefusalReason | None:
        """Return why a call should not begin now, if so.

        A call whose own time is over before the node ends is never cut by the stop. A
        stream that has begun has nothing to lose by going on.
        """
        request = pending.request
        if request.deadline_ms <= self._ends_ms or pending.has_begun:
            return None
        left_ms = self._ends_ms - now_ms
        if request.arrived_ms >= self._accept_until_ms:
            longer = self._answers.find_share_longer(request, left_ms / LATE_MARGIN)
            is_refused = longer is None or longer > 0.0
        else:
            longer = self._answers.find_share_longer(request, left_ms)
            is_refused = longer is not None and longer > MAX_SHARE_CUT
            if longer is None:
                most_ms = self._ends_ms - self._accept_until_ms
                is_refused = left_ms < most_ms * (1.0 - UNKNOWN_SHARE)
        if not is_refused:
            return None
        text = f"this node ends in {left_ms:.0f} ms"
        if longer is not None:
            text += f", {longer:.0%} of such answers took too long"
        return RefusalReason(
            ErrorKind.DRAINING, text, self._find_retry(left_ms, now_ms)
        )

    def _find_retry(self, left_ms: float, now_ms: float) -> float:
        """Return when the caller should come back: at once if another node is ready."""
        if self._has_ready_peer(now_ms):
            return 0.0
        return max(left_ms, 0.0) + RESTART_MS
