"""Track the dispatches of one request and build its final error response.

The core decides where a request is dispatched and whether it is retried. This module
records whether any attempt may have run, which limits what a response may claim.
"""

from __future__ import annotations

from typing import Final

import trio

from toucanyard.errorcodes import ANSWERS, Ending, ErrorKind
from toucanyard.key_answers import compute_unclaimed_ending
from toucanyard.requests import (
    PROVEN_NOT_RUN,
    Dispatch,
    DispatchEnding,
    Outcome,
    Refuse,
    Repeatability,
    Replay,
    Request,
)
from toucanyard_node.core_messages import CoreClient
from toucanyard_node.exchange import DispatchFailedError

_RETRY_AFTER_MS: Final = 1_000
_MIN_REPORT_S: Final = 1.0


class Attempts:
    """State of the dispatches of one request.

    Invariant: `may_have_run` never returns to false, except for a dispatch that is
    proved not to have run; nothing is sent after the deadline refusal.
    """

    __slots__ = (
        "_core",
        "_is_in_flight",
        "_is_refused",
        "_may_have_run",
        "request",
        "started_ms",
    )

    def __init__(self, core: CoreClient, request: Request) -> None:
        self._core = core
        self._may_have_run = False
        self._is_in_flight = False
        self._is_refused = False
        self.request = request
        self.started_ms = request.arrived_ms

    @property
    def may_have_run(self) -> bool:
        """Return whether any attempt of the request may have been executed."""
        return self._may_have_run or self._is_in_flight

    def is_repeatable(self) -> bool:
        """Return whether the request may be executed more than once."""
        return self.request.repeatability is Repeatability.REPEATABLE

    def start_attempt(self) -> None:
        """Record the start time of a dispatch."""
        self.started_ms = trio.current_time() * 1000

    def record_send(self) -> None:
        """Record that a dispatch is about to be sent, or forbid sending it.

        Raise DispatchFailedError when the caller has already been refused. A keyed
        attempt continues without its caller, so a connection that opens after the
        deadline would execute a request that was reported as "not run".
        """
        if self._is_refused:
            text = "the deadline passed before the request was sent"
            raise DispatchFailedError(DispatchEnding.NOT_SENT, text)
        self._is_in_flight = True

    def find_elapsed_ms(self) -> float:
        """Return the time since the current dispatch started."""
        return trio.current_time() * 1000 - self.started_ms

    async def report_failure(
        self,
        dispatch: Dispatch,
        ending: DispatchEnding,
        text: str,
        weights_version: str = "",
    ) -> Dispatch | Refuse | Replay:
        """Report a failed dispatch and return what to do next.

        The wait is shielded from cancellation: a verdict that nobody receives would
        occupy a slot at an endpoint forever. The request's deadline bounds it.
        """
        self._record_ending(ending)
        request = self.request
        outcome = Outcome(
            request.request_id,
            dispatch.endpoint,
            ending,
            weights_version=weights_version,
            duration_ms=self.find_elapsed_ms(),
        )
        now_s = trio.current_time()
        end_s = max(request.deadline_ms / 1000, now_s + _MIN_REPORT_S)
        with trio.CancelScope(deadline=end_s, shield=True):
            verdict = await self._core.report(outcome)
            return self._check_verdict(verdict, text)
        self._core.report_without_reply(
            Outcome(request.request_id, dispatch.endpoint, DispatchEnding.CANCELLED)
        )
        return self.build_deadline_refusal()

    def report_end(self, outcome: Outcome) -> None:
        """Report the end of a dispatch without asking for another verdict."""
        self._record_ending(outcome.ending)
        self._core.report_without_reply(outcome)

    def report_first_token(self) -> None:
        """Report to the core that the first byte of the response arrived."""
        self._core.report_first_token(self.request.request_id, self.find_elapsed_ms())

    def check_refusal(self, refusal: Refuse) -> Refuse:
        """Return a refusal that claims no more than is proved.

        The core refuses the current attempt only. If an earlier one may have run,
        "not run" would be false.
        """
        if not self.may_have_run or refusal.ending is not Ending.NOT_RUN:
            return refusal
        if self.is_repeatable():
            return self._build(refusal.kind, Ending.UNKNOWN, refusal.text, refusal)
        return self._build(
            ErrorKind.OUTCOME_UNKNOWN, Ending.UNKNOWN, refusal.text, refusal
        )

    def build_deadline_refusal(self) -> Refuse:
        """Return the refusal for a request whose deadline has passed."""
        self._is_refused = True
        text = "the deadline has passed"
        if not self.may_have_run and self._may_other_attempt_have_run():
            # Without a verdict nothing is known about the key: another node may have
            # run the request. After "not run" the caller would repeat it under a new
            # key, for example book a second seat.
            return self._build(ErrorKind.DEADLINE_EXCEEDED, Ending.UNKNOWN, text)
        if not self.may_have_run:
            return self._build(ErrorKind.DEADLINE_EXCEEDED, Ending.NOT_RUN, text)
        if self.is_repeatable():
            return self._build(ErrorKind.DEADLINE_EXCEEDED, Ending.UNKNOWN, text)
        return self._build(ErrorKind.OUTCOME_UNKNOWN, Ending.UNKNOWN, text)

    def build_incomplete_refusal(self, text: str) -> Refuse:
        """Return the refusal for a started stream that can't be continued."""
        return self._build(ErrorKind.STREAM_INCOMPLETE, Ending.UNKNOWN, text)

    def _may_other_attempt_have_run(self) -> bool:
        request = self.request
        if request.repeatability is not Repeatability.KEYED:
            return False
        return compute_unclaimed_ending(request.key_age_ms) is Ending.UNKNOWN

    def _record_ending(self, ending: DispatchEnding) -> None:
        self._is_in_flight = False
        if ending not in PROVEN_NOT_RUN:
            self._may_have_run = True

    def _check_verdict(
        self, verdict: Dispatch | Refuse | Replay | None, text: str
    ) -> Dispatch | Refuse | Replay:
        match verdict:
            case Refuse():
                return self.check_refusal(verdict)
            case None:
                return self._build_last_refusal(text)
            case _:
                return verdict

    def _build_last_refusal(self, text: str) -> Refuse:
        if not self.may_have_run:
            return self._build(ErrorKind.NO_ENDPOINT, Ending.NOT_RUN, text)
        if self.is_repeatable():
            return self._build(ErrorKind.ENDPOINT_LOST, Ending.UNKNOWN, text)
        return self._build(ErrorKind.OUTCOME_UNKNOWN, Ending.UNKNOWN, text)

    def _build(
        self, kind: ErrorKind, ending: Ending, text: str, origin: Refuse | None = None
    ) -> Refuse:
        fixed = ANSWERS[kind].ending
        assert ending is Ending.UNKNOWN or fixed is Ending.NOT_RUN
        retry_after_ms = origin.retry_after_ms if origin else _RETRY_AFTER_MS
        return Refuse(self.request.request_id, kind, ending, text, retry_after_ms)
