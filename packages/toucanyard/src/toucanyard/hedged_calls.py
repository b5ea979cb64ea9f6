"""Track the attempts of calls whose replica has fallen silent.

A silent attempt stays open while another one, the hedge, is queued or runs. Whichever
has the next part of the answer continues; the others are cancelled then. A silence
alone never ends an attempt: its replica may be alive and about to continue.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

import msgspec

from toucanyard.names import RequestId
from toucanyard.pending_call import PendingCall
from toucanyard.relay_events import AttemptSilent
from toucanyard.silent_replicas import MAX_PAUSE_MS

CHECK_MS: Final = MAX_PAUSE_MS
"""Least time between two checks of whether a withheld hedge may be sent."""
MAX_CHECKS: Final = 64
"""Withheld hedges that are checked in one tick."""


class WithheldHedge(msgspec.Struct, frozen=True):
    """A hedge that is tried again, as what kept it back passes."""

    event: AttemptSilent
    due_ms: float


class HedgedCalls:
    """The silent attempts of one node's calls, by call.

    Invariant: the attempts of a call are at different replicas, and there are no more
    of them than its route allows.
    """

    __slots__ = (
        "_silent",
        "_withheld",
        "continued_count",
        "silence_count",
        "withheld_count",
    )

    def __init__(self) -> None:
        self._silent: dict[RequestId, list[PendingCall]] = {}
        self._withheld: dict[RequestId, WithheldHedge] = {}
        """Hedges to try again, in the order in which they are checked."""
        self.silence_count = 0
        """Silences of attempts so far."""
        self.continued_count = 0
        """Silent attempts that continued by themselves."""
        self.withheld_count = 0
        """Hedges that were not sent."""

    def has_silent(self, request_id: RequestId) -> bool:
        """Return whether a call has silent attempts that are still open."""
        return request_id in self._silent

    def count_silent(self) -> int:
        """Return the number of silent attempts of all calls."""
        return sum(len(each) for each in self._silent.values())

    def list_all(self) -> Iterator[PendingCall]:
        """Return the silent attempts of all calls."""
        for attempts in self._silent.values():
            yield from attempts

    def begin(self, silent: PendingCall, silence: int, now_ms: float) -> PendingCall:
        """Record that the current attempt of a call is silent; return its hedge."""
        request_id = silent.request.request_id
        if silent.silent_since_ms is None:
            silent.silent_since_ms = now_ms
            self.silence_count += 1
        self._silent.setdefault(request_id, []).append(silent)
        hedge = self.build(silent, now_ms)
        hedge.silence = silence
        return hedge

    def build(self, silent: PendingCall, now_ms: float) -> PendingCall:
        """Return what the hedge of an attempt would be."""
        attempts = list(self._silent.get(silent.request.request_id, ()))
        if all(each is not silent for each in attempts):
            attempts.append(silent)
        hedge = PendingCall(
            silent.request,
            sends=silent.sends,
            dispatches=silent.dispatches,
            tried=silent.tried,
            weights_version=silent.weights_version,
            has_begun=silent.has_begun,
            may_have_run=True,
            is_suspect=silent.is_suspect,
            is_counted=silent.is_counted,
            forwards=silent.forwards,
            origin=silent.origin,
            hedged_since_ms=silent.hedged_since_ms or silent.silent_since_ms or now_ms,
        )
        self._exclude_silent(hedge, attempts)
        return hedge

    def withhold(self, hedge: PendingCall) -> PendingCall:
        """Drop a hedge that is not sent; return the attempt that is current again."""
        self.withheld_count += 1
        request_id = hedge.request.request_id
        restored = self._silent[request_id].pop()
        self._drop_if_empty(request_id)
        _copy_counts(hedge, restored)
        return restored

    def keep_withheld(self, event: AttemptSilent, now_ms: float) -> None:
        """Keep a withheld hedge to try it again."""
        self._withheld.pop(event.request_id, None)
        self._withheld[event.request_id] = WithheldHedge(event, now_ms + CHECK_MS)

    def drop_withheld(self, request_id: RequestId) -> None:
        """Forget the withheld hedge of a call, if there is one."""
        self._withheld.pop(request_id, None)

    def take_due(self, now_ms: float) -> list[AttemptSilent]:
        """Return and remove the withheld hedges to check now, within a bound."""
        due: list[AttemptSilent] = []
        for each in self._withheld.values():
            if each.due_ms > now_ms or len(due) >= MAX_CHECKS:
                break
            due.append(each.event)
        for event in due:
            del self._withheld[event.request_id]
        return due

    def take(self, request_id: RequestId, attempt: int) -> PendingCall | None:
        """Return and remove a silent attempt; None if there is no such one."""
        attempts = self._silent.get(request_id, [])
        for each in attempts:
            if each.attempt == attempt:
                attempts.remove(each)
                self._drop_if_empty(request_id)
                return each
        return None

    def take_all(self, request_id: RequestId) -> list[PendingCall]:
        """Return and remove the silent attempts of a call."""
        return self._silent.pop(request_id, [])

    def record_ended(self, current: PendingCall, ended: PendingCall) -> None:
        """Record that a silent attempt of a call has ended before its hedge."""
        current.has_begun = current.has_begun or ended.has_begun
        current.has_failed = current.has_failed or ended.has_failed
        attempts = self._silent.get(current.request.request_id, [])
        self._exclude_silent(current, attempts)

    def split(
        self, current: PendingCall, attempt: int
    ) -> tuple[PendingCall, list[PendingCall]]:
        """Return the attempt of a call that continues, and the others."""
        request_id = current.request.request_id
        winner = self.take(request_id, attempt)
        losers = self.take_all(request_id)
        if winner is None:
            return current, losers
        return winner, [*losers, current]

    def record_continued(self, winner: PendingCall, losers: list[PendingCall]) -> None:
        """Record which attempt continues."""
        for each in losers:
            _copy_counts(each, winner)
        winner.hedged, winner.silent_at = 0, ()
        if winner.silent_since_ms is not None:
            winner.silent_since_ms = None
            self.continued_count += 1

    def _exclude_silent(self, hedge: PendingCall, attempts: list[PendingCall]) -> None:
        hedge.hedged = len(attempts)
        names = (each.replica for each in attempts)
        hedge.silent_at = tuple(name for name in names if name is not None)

    def _drop_if_empty(self, request_id: RequestId) -> None:
        if not self._silent[request_id]:
            del self._silent[request_id]


def _copy_counts(source: PendingCall, target: PendingCall) -> None:
    """Copy what later attempts of a call have used up."""
    # What a forward may have used is counted at its end.
    granted = 0 if target.peer is None else target.granted_attempts
    target.sends = max(source.sends - granted, target.sends)
    target.dispatches = max(source.dispatches, target.dispatches)
    target.forwards = max(source.forwards, target.forwards)
    target.tried = tuple(dict.fromkeys((*target.tried, *source.tried)))
    target.may_have_run = True
