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
from toucanyard.relay_requests import RelayRequest
from toucanyard.requests import Repeatability

MAX_SHARE_CUT: Final = 0.5
"""Share of recent answers to such calls that may have taken longer than is left."""
MAX_SHARE_LOST: Final = 0.1
"""The same for a call that may run only once, while another node takes calls: its
caller loses more by a cut than by going there."""
SIGNAL_DELAY_MS: Final = 250.0
"""How late a busy node may handle the signal. Calls that arrive up to so much before
its own count says that callers are gone may come from callers that should be."""
CLOSE_MS: Final = 50.0
"""How long before callers are gone no more calls begin that the end could cut."""
LATE_MARGIN: Final = 1.5
"""How much longer than any recent answer the time left must be for a call that may be
too late."""
UNKNOWN_SHARE: Final = 0.5
"""Share of the time from the last such arrivals to the end in which a call may begin of
which it is not known how long it takes."""
RESTART_MS: Final = 1_000.0
"""Time from the end of a process until it takes calls again."""


class StopAdmission:
    """Which calls a node may still begin; all of them until it stops."""

    __slots__ = (
        "_answers",
        "_asked_ms",
        "_ends_ms",
        "_gone_ms",
        "_has_ready_peer",
        "_is_peer_ready",
    )

    def __init__(
        self, answers: RecentAnswers, has_ready_peer: Callable[[float], bool]
    ) -> None:
        """`has_ready_peer`: whether callers may be sent to another node."""
        self._answers = answers
        self._has_ready_peer = has_ready_peer
        self._asked_ms: float | None = None
        self._is_peer_ready = False
        """Whether another node took calls at `_asked_ms`."""
        self._gone_ms = float("inf")
        """When callers have been told of other nodes for long enough."""
        self._ends_ms = float("inf")

    def begin(self, gone_ms: float, ends_ms: float) -> None:
        """Record that the node stops: when callers should be gone and when it ends."""
        self._gone_ms = gone_ms
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
        has_ready_peer = self._find_ready_peer(now_ms)
        text = self._find_obstacle(request, left_ms, has_ready_peer=has_ready_peer)
        if text is None:
            return None
        return RefusalReason(
            ErrorKind.DRAINING,
            f"this node ends in {left_ms:.0f} ms, {text}",
            0.0 if has_ready_peer else max(left_ms, 0.0) + RESTART_MS,
        )

    def _find_ready_peer(self, now_ms: float) -> bool:
        """Return whether another node takes calls; asked once for all queued calls."""
        if now_ms != self._asked_ms:
            self._asked_ms = now_ms
            self._is_peer_ready = self._has_ready_peer(now_ms)
        return self._is_peer_ready

    def _find_obstacle(
        self, request: RelayRequest, left_ms: float, *, has_ready_peer: bool
    ) -> str | None:
        """Return why a call may not end in time, if so."""
        is_once = request.repeatability is Repeatability.RUN_ONCE
        goes_elsewhere = is_once and has_ready_peer
        late_ms = request.arrived_ms - self._gone_ms
        if late_ms >= -CLOSE_MS:
            return "its callers should be gone"
        may_be_late = late_ms >= -SIGNAL_DELAY_MS
        time_ms = left_ms / LATE_MARGIN if may_be_late else left_ms
        longer = self._answers.find_share_longer(request, time_ms)
        if longer is None:
            most_ms = self._ends_ms - self._gone_ms
            is_short = may_be_late or left_ms < most_ms * (1.0 - UNKNOWN_SHARE)
            is_short |= goes_elsewhere
            return "how long such answers take is not known" if is_short else None
        most = MAX_SHARE_LOST if goes_elsewhere else MAX_SHARE_CUT
        if longer > (0.0 if may_be_late else most):
            return f"{longer:.0%} of such answers took longer than {time_ms:.0f} ms"
        return None
