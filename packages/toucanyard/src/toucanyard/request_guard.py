"""Decide whether a request may be sent to a replica, given the crashes during its runs.

A request that was running when replicas crashed is a suspect: this node runs one copy
at a time, and none while the cause that cut off a run is unknown. A request, or a
shared prompt block, that is confirmed to crash replicas is quarantined; what has it
reaches none. All other requests pass.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Iterator
from typing import Final

import msgspec

from toucanyard.answered_calls import AnsweredCall
from toucanyard.crash_detector import CrashDetector, LostCall, Reachability
from toucanyard.crash_ledger import CrashLedger, Suspicion
from toucanyard.fault_location import FaultLocation
from toucanyard.link_messages import LostRun, ReplicaCrash, RequestSurvival
from toucanyard.log_entries import LogEntry
from toucanyard.names import EndpointName, Fingerprint
from toucanyard.pending_call import PendingCall
from toucanyard.quarantine import (
    FindRank,
    Quarantine,
    QuarantinedRequest,
    Release,
)
from toucanyard.quarantine_verdicts import (
    MAX_LOGGED,
    SUSPECT_RETRY_MS,
    QuarantineVerdicts,
    Rejection,
)
from toucanyard.relay_policy import GuardPolicy
from toucanyard.relay_requests import RelayOutcome, RelayRequest
from toucanyard.replicas import ReplicaDirectory
from toucanyard.request_traits import is_block, list_block_traits, list_traits
from toucanyard.requests import DispatchEnding

DEFAULT_POLICY: Final = GuardPolicy()
PROGRESS_MS: Final = 500.0
"""Time after the first event of an answer from which a crash of the replica is less
likely to be due to its request."""
UNSEEN_END_MS: Final = 300.0
"""Time after which a replica that refuses connects has ended, if no call was lost
there: longer than it takes to notice that this node is cut off."""
REVIEW_MS: Final = 1_000.0
"""Time between two reviews of the blocks under quarantine."""


class RequestGuard:
    """What one node knows of requests and the crashes during their runs.

    Invariant: a request under quarantine passes no check until its entry has ended.
    """

    __slots__ = (
        "_directory",
        "_find_rank",
        "_is_blind",
        "_is_urgent",
        "_log_entries",
        "_policy",
        "_reviewed_ms",
        "_undecided",
        "detector",
        "ledger",
        "quarantine",
        "verdicts",
    )

    def __init__(
        self,
        directory: ReplicaDirectory,
        find_rank: FindRank,
        rng: random.Random,
        policy: GuardPolicy = DEFAULT_POLICY,
        is_blind: Callable[[EndpointName, float], bool] = lambda *_: False,
    ) -> None:
        self._is_blind = is_blind
        """Whether this node's failed connects say nothing about a replica."""
        self._undecided: dict[EndpointName, float] = {}
        """Since when replicas may have ended, or this node may be cut off from them."""
        self._policy = policy
        self._directory = directory
        self._find_rank = find_rank
        self.quarantine = Quarantine(find_rank, rng)
        self.ledger = CrashLedger(self.quarantine.is_held)
        self.verdicts = QuarantineVerdicts(self.ledger, self.quarantine, find_rank)
        self.detector = CrashDetector(directory)
        self._log_entries: list[LogEntry] = []
        self._is_urgent = False
        self._reviewed_ms = float("-inf")

    def check(
        self, request: RelayRequest, is_running: Callable[[], bool], now_ms: float
    ) -> Rejection | None:
        """Return why a request may not be sent now; None if it may.

        `is_running`: whether this node runs the same request for another call.
        """
        if not self._policy.is_enforced:
            return None
        if self.ledger.is_empty() and self.quarantine.is_empty():
            return None
        blocks = list_block_traits(request)
        rejection = self._check_body(request, blocks, is_running, now_ms)
        if rejection is None and self._policy.blocks:
            rejection = self.verdicts.check_blocks(request, blocks, now_ms)
        return rejection

    def is_suspect(self, fingerprint: Fingerprint) -> bool:
        """Return whether more than one crash is attributed to a request."""
        return len(self.ledger.list_attributed_crashes(fingerprint)) > 1

    def on_dispatch_ended(
        self,
        pending: PendingCall,
        outcome: RelayOutcome,
        now_ms: float,
    ) -> None:
        """Record the outcome of the last dispatch of a call."""
        if not self.quarantine.is_empty():
            self.verdicts.end_trials(pending.request)
        traits = list_traits(pending.request)
        sent_ms, begun_ms = pending.sent_ms, pending.begun_ms
        if outcome.wrote_ms is not None:
            begun_ms = now_ms - outcome.wrote_ms
        if outcome.broken_bound:
            # What a replica sends without end shows that it runs, whatever its call.
            self.detector.mark_alive(outcome.replica, sent_ms)
        elif outcome.ending is DispatchEnding.COMPLETED and outcome.is_inconclusive:
            self.detector.mark_alive(outcome.replica, sent_ms)
        elif outcome.ending is DispatchEnding.COMPLETED:
            call = AnsweredCall(outcome.replica, traits, sent_ms, now_ms, begun_ms)
            self._record_answer(call, is_framed=not outcome.is_unframed)
        elif self.detector.record_outcome(outcome, traits, sent_ms, now_ms, begun_ms):
            self._attribute_losses(outcome.replica, now_ms)

    def on_silent(self, pending: PendingCall, now_ms: float) -> None:
        """Record that an attempt is silent: its replica may have ended."""
        if pending.replica is None:
            return
        outcome = RelayOutcome(
            pending.request.request_id, pending.replica, DispatchEnding.LOST
        )
        traits = list_traits(pending.request)
        if self.detector.record_outcome(
            outcome, traits, pending.sent_ms, now_ms, pending.begun_ms
        ):
            self._attribute_losses(outcome.replica, now_ms)

    def on_silence_ended(self, pending: PendingCall) -> None:
        """Record that a silent attempt has continued or ended."""
        if pending.replica is not None:
            self.detector.record_continued(pending.replica, pending.sent_ms)

    def on_probe(
        self, replica: EndpointName, reach: Reachability, asked_ms: float, now_ms: float
    ) -> None:
        """Record the result of a probe of a replica."""
        if self.detector.record_probe(replica, reach, asked_ms):
            self._attribute_losses(replica, now_ms)

    def apply_gossip(
        self,
        crashes: Iterable[ReplicaCrash],
        survivals: Iterable[RequestSurvival],
        source: str,
        now_ms: float,
        *,
        is_relayed: bool,
    ) -> bool:
        """Apply a peer's crashes and survivals; return whether any was new.

        `is_relayed`: whether this node forwards them to its own peers.
        """
        has_changed = False
        if not self._policy.shares:
            return has_changed
        for crash in crashes:
            at_ms = now_ms - crash.age_ms
            has_changed |= self._add_crash(
                crash.replica,
                at_ms,
                crash.runs,
                source,
                now_ms,
                is_shared=is_relayed,
            )
            self._attribute_losses(crash.replica, now_ms)
        for survival in survivals:
            has_changed |= self._record_survival(
                survival, source, now_ms, is_shared=is_relayed
            )
        return has_changed

    def apply_record(
        self, request: QuarantinedRequest, source: str, now_ms: float
    ) -> None:
        """Apply an entry from the log."""
        if self.quarantine.apply_record(request, now_ms):
            self.verdicts.log("request_quarantined", request, source=source)

    def apply_lost(
        self, request: QuarantinedRequest, source: str, now_ms: float
    ) -> None:
        """Apply a record that the restored store has lost."""
        if self.quarantine.apply_lost(request, now_ms):
            self.verdicts.log("request_quarantined", request, source=source)

    def on_record_removed(self, request: QuarantinedRequest) -> None:
        """End the entry whose record was removed from the log."""
        if self.quarantine.on_record_removed(request.fingerprint):
            self.ledger.clear(request.fingerprint)
            self.verdicts.log(
                "quarantine_ended", request, reason="removed from the log"
            )

    def release(self, release: Release, now_ms: float) -> None:
        """End the entry that an operator released."""
        entry = self.quarantine.find(release.fingerprint)
        if self.quarantine.release(release, now_ms) and entry is not None:
            self.ledger.clear(release.fingerprint)
            self.verdicts.log("quarantine_ended", entry.request, reason="released")

    def tick(self, now_ms: float) -> None:
        """Find replicas that were replaced and requests that replicas survived."""
        for replica in self.detector.find_replaced(now_ms):
            self._attribute_losses(replica, now_ms)
        for each in self.detector.answered.take_survived(now_ms):
            begun_ms = each.sent_ms if each.begun_ms is None else each.begun_ms
            wrote_ms = each.at_ms - begun_ms
            for trait in each.traits:
                survival = RequestSurvival(trait, now_ms - each.at_ms, wrote_ms)
                self._is_urgent |= self._record_survival(
                    survival, "own", now_ms, is_shared=True
                )
        if now_ms - self._reviewed_ms >= REVIEW_MS:
            self._reviewed_ms = now_ms
            self.verdicts.end_refuted(now_ms)

    def has_updates(self) -> bool:
        """Return whether there is anything to log or to send to peers."""
        has_logs = bool(self._log_entries) or self.verdicts.has_log_entries()
        return self._is_urgent or has_logs

    def take_urgent(self) -> bool:
        """Return whether a status should be sent at once, and reset that."""
        is_urgent, self._is_urgent = self._is_urgent, False
        return is_urgent

    def take_log_entries(self) -> Iterator[LogEntry]:
        """Return and remove the pending log entries."""
        entries, self._log_entries = self._log_entries, []
        yield from entries
        yield from self.verdicts.take_log_entries()

    def settle_undecided(
        self, locate: Callable[[EndpointName, float], FaultLocation], now_ms: float
    ) -> None:
        """Decide about replicas that seemed to end while none could be reached."""
        for replica, since_ms in list(self._undecided.items()):
            if self._has_ended_unseen(replica, now_ms):
                continue
            match locate(replica, since_ms):
                case FaultLocation.UNDECIDED:
                    continue
                case FaultLocation.NODE:
                    del self._undecided[replica]
                case FaultLocation.NONE | FaultLocation.SERVICE:
                    del self._undecided[replica]
                    self._attribute_end(replica, now_ms)

    def has_undecided(self) -> bool:
        """Return whether it is open if some replicas have ended."""
        return bool(self._undecided)

    def _check_body(
        self,
        request: RelayRequest,
        blocks: tuple[Fingerprint, ...],
        is_running: Callable[[], bool],
        now_ms: float,
    ) -> Rejection | None:
        fingerprint = request.fingerprint
        entry = self.quarantine.find(fingerprint)
        if entry is None:
            suspicion = self.ledger.assess(fingerprint, now_ms, blocks)
            if suspicion is Suspicion.NONE:
                return None
            if suspicion is not Suspicion.CONFIRMED:
                return self._check_suspect(fingerprint, suspicion, is_running, now_ms)
            entry = self.verdicts.begin(fingerprint, request, now_ms)
        return self.verdicts.reject(entry, now_ms)

    def _check_suspect(
        self,
        fingerprint: Fingerprint,
        suspicion: Suspicion,
        is_running: Callable[[], bool],
        now_ms: float,
    ) -> Rejection | None:
        if suspicion is Suspicion.UNSETTLED:
            text = f"replicas have just ended under {fingerprint}"
        elif self.ledger.has_survived(fingerprint):
            return None
        elif self.detector.has_unresolved_loss(fingerprint):
            text = f"a replica may just have ended under {fingerprint}"
        elif suspicion is Suspicion.PROBATION and self._find_rank(fingerprint, now_ms):
            text = f"replicas ended under {fingerprint}, which another node runs again"
        elif is_running():
            text = f"a replica ended under {fingerprint}, which is being run again"
        else:
            return None
        return Rejection(text, SUSPECT_RETRY_MS)

    def _attribute_losses(self, replica: EndpointName, now_ms: float) -> None:
        """Attribute the end of an incarnation to the requests that were lost there."""
        if self._is_blind(replica, now_ms) or self._has_ended_unseen(replica, now_ms):
            self._undecided.setdefault(replica, now_ms)
            return
        self._attribute_end(replica, now_ms)

    def _has_ended_unseen(self, replica: EndpointName, now_ms: float) -> bool:
        """Return whether only failed connects show the end of a replica.

        Peers are told too: one may have had an answer from it just before. A node that
        is cut off must not tell them, and may notice the cut a moment later only.
        """
        since_ms = self._undecided.get(replica, now_ms)
        return (
            now_ms - since_ms < UNSEEN_END_MS
            and self.ledger.find_crash_time(replica) is None
            and not self.detector.has_losses(replica)
            and self._is_listed(replica, now_ms)
        )

    def _attribute_end(self, replica: EndpointName, now_ms: float) -> None:
        self.detector.mark_ended(replica)
        losses = self.detector.take_losses(replica)
        answered = self.detector.answered.take_last(replica)
        known_ms = self.ledger.find_crash_time(replica)
        if known_ms is None and not losses and not self._is_listed(replica, now_ms):
            return
        at_ms = known_ms
        if at_ms is None:
            answered_ms = max((each.at_ms for each in answered), default=now_ms)
            at_ms = min((each.at_ms for each in losses), default=answered_ms)
        runs = _list_runs((*losses, *answered), at_ms)
        self._is_urgent |= self._add_crash(
            replica, at_ms, runs, "own", now_ms, is_shared=True
        )

    def _record_answer(self, call: AnsweredCall, *, is_framed: bool) -> None:
        """Record an answer; an answer to what may crash replicas needs more proof."""
        doubtful = tuple(
            trait for trait in call.traits if not is_framed or self._is_doubtful(trait)
        )
        if doubtful:
            is_probed = any(map(self.ledger.list_attributed_crashes, doubtful))
            self.detector.record_answer(
                msgspec.structs.replace(call, traits=doubtful, is_probed=is_probed),
                is_confirmed=False,
            )
        others = tuple(trait for trait in call.traits if trait not in doubtful)
        self.detector.record_answer(
            msgspec.structs.replace(call, traits=others), is_confirmed=True
        )

    def _is_doubtful(self, trait: Fingerprint) -> bool:
        """Return whether replicas have crashed under a block that none survived."""
        if not is_block(trait):
            return False
        if self.quarantine.is_held(trait):
            return True
        has_crashes = bool(self.ledger.list_attributed_crashes(trait))
        return has_crashes and not self.ledger.has_survived(trait)

    def _is_listed(self, replica: EndpointName, now_ms: float) -> bool:
        known = self._directory.find(replica)
        return known is not None and known.is_listed(now_ms)

    def _add_crash(
        self,
        replica: EndpointName,
        at_ms: float,
        runs: Iterable[LostRun],
        source: str,
        now_ms: float,
        *,
        is_shared: bool,
    ) -> bool:
        added = self.ledger.add_crash(replica, at_ms, runs, now_ms, is_shared=is_shared)
        if added:
            fields: dict[str, object] = {
                "replica": replica,
                "age_ms": round(now_ms - at_ms),
                "count": len(added),
                "requests": ",".join(added[:MAX_LOGGED]),
                "source": source,
            }
            self._log_entries.append(LogEntry("replica_crashed", fields))
            known = self._directory.find(replica)
            if known is not None:
                known.record_crash(at_ms)
            # Peers may not know yet that a replica has survived one of them.
            self._is_urgent |= any(map(self.ledger.has_survived, added))
        return bool(added)

    def _record_survival(
        self,
        survival: RequestSurvival,
        source: str,
        now_ms: float,
        *,
        is_shared: bool,
    ) -> bool:
        fingerprint = survival.fingerprint
        at_ms = now_ms - survival.age_ms
        if not fingerprint or not self.ledger.record_survival(
            fingerprint,
            at_ms,
            now_ms,
            is_shared=is_shared,
            begun_ms=at_ms - survival.wrote_ms,
        ):
            return False
        fields: dict[str, object] = {
            "fingerprint": fingerprint,
            "age_ms": round(now_ms - at_ms),
            "source": source,
        }
        self._log_entries.append(LogEntry("suspect_survived", fields))
        entry = self.quarantine.find(fingerprint)
        if entry is not None and not self._is_confirmed(fingerprint, now_ms):
            self.quarantine.end(fingerprint, now_ms)
            self.verdicts.log(
                "quarantine_ended", entry.request, reason="a replica survived it"
            )
        return True

    def _is_confirmed(self, trait: Fingerprint, now_ms: float) -> bool:
        if is_block(trait):
            return self.verdicts.causes.is_confirmed(trait)
        return self.ledger.assess(trait, now_ms) is Suspicion.CONFIRMED


def _list_runs(
    calls: Iterable[LostCall | AnsweredCall], at_ms: float
) -> Iterator[LostRun]:
    """Return the traits of calls that were running at a crash."""
    for call in calls:
        if call.sent_ms > at_ms:
            # It only found the replica's address unused.
            continue
        begun_ms = at_ms if call.begun_ms is None else call.begun_ms
        has_progressed = at_ms - begun_ms >= PROGRESS_MS
        for trait in call.traits:
            yield LostRun(trait, at_ms - call.sent_ms, has_progressed)
