"""Begin, test and end quarantines, and decide which prompt blocks are held.

A confirmed block is held on all nodes. After some time one call tests the verdict, so
that a wrong one ends at the price of at most one replica.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

import msgspec

from toucanyard.crash_causes import CrashCauses
from toucanyard.crash_ledger import CrashLedger, Suspicion
from toucanyard.log_entries import LogEntry
from toucanyard.names import Fingerprint
from toucanyard.quarantine import Entry, FindRank, Quarantine, QuarantinedRequest
from toucanyard.relay_requests import RelayRequest
from toucanyard.request_traits import is_block, list_block_traits

QUARANTINE_RETRY_MS: Final = 60_000
"""Retry-After for a request under quarantine; by then it may be released."""
SUSPECT_RETRY_MS: Final = 500
"""Retry-After for a suspect that is being run; by then its run may have ended."""
TRIAL_MS: Final = 10_000.0
"""Time after which one call tests whether the verdict on a block was wrong."""
MIN_TRIAL_RETRY_MS: Final = 2_000
"""Shortest Retry-After for a block whose verdict is tested next."""
MAX_LOGGED: Final = 8
"""Maximum number of fingerprints in a log line."""


class Rejection(msgspec.Struct, frozen=True):
    """Why a request may not be sent now."""

    text: str
    retry_after_ms: int


class QuarantineVerdicts:
    """The verdicts of one node on the causes of crashes.

    Invariant: what is under quarantine passes no check, but for one call that tests
    the verdict on a block.
    """

    __slots__ = ("_find_rank", "_ledger", "_log_entries", "_quarantine", "causes")

    def __init__(
        self, ledger: CrashLedger, quarantine: Quarantine, find_rank: FindRank
    ) -> None:
        self._ledger = ledger
        self._quarantine = quarantine
        self._find_rank = find_rank
        self.causes = CrashCauses(ledger, quarantine.list_held)
        self._log_entries: list[LogEntry] = []

    def check_blocks(
        self, request: RelayRequest, blocks: tuple[Fingerprint, ...], now_ms: float
    ) -> Rejection | None:
        """Return why a request may not be sent now, by its shared prompt blocks."""
        rejection = None
        for depth, block in enumerate(blocks):
            entry = self._quarantine.find(block)
            if entry is not None:
                if self._is_trial(entry, request, now_ms):
                    continue
                return self.reject(entry, now_ms)
            match self.causes.assess(block, blocks[:depth], now_ms):
                case Suspicion.CONFIRMED:
                    entry = self.begin(block, request, now_ms)
                    return self.reject(entry, now_ms)
                case Suspicion.UNSETTLED:
                    text = f"replicas have just ended under {block}"
                    rejection = Rejection(text, SUSPECT_RETRY_MS)
        return rejection

    def end_trials(self, request: RelayRequest) -> None:
        """Record that the call of a trial has been sent, and may not be sent again."""
        for trait in list_block_traits(request):
            entry = self._quarantine.find(trait)
            if entry is not None and entry.trial_id == request.request_id:
                entry.trial_id = None

    def end_refuted(self, now_ms: float) -> None:
        """End the quarantine of blocks whose crashes other ones explain."""
        for entry in list(self._quarantine.list_entries()):
            trait = entry.request.fingerprint
            if is_block(trait) and self.causes.is_refuted(trait, now_ms):
                self._quarantine.end(trait, now_ms)
                self.log(
                    "quarantine_ended",
                    entry.request,
                    reason="other causes explain its crashes",
                )

    def reject(self, entry: Entry, now_ms: float) -> Rejection:
        """Return the rejection of a request under quarantine, and count it."""
        self._quarantine.record_refusal(entry, now_ms)
        known = entry.request
        count = len(known.replicas)
        text = f"{known.fingerprint} is under quarantine: {count} replicas crashed"
        retry_ms = QUARANTINE_RETRY_MS
        is_tried = entry.is_tried or self._was_tried(entry)
        if is_block(known.fingerprint) and not is_tried:
            trial_ms = round(entry.begun_ms + TRIAL_MS - now_ms)
            retry_ms = max(trial_ms, MIN_TRIAL_RETRY_MS)
        return Rejection(f"{text} under it", retry_ms)

    def begin(self, trait: Fingerprint, request: RelayRequest, now_ms: float) -> Entry:
        """Quarantine a trait of a request."""
        entry = self._quarantine.begin(
            trait,
            request.customer,
            request.route,
            self._ledger.list_attributed_crashes(trait),
            now_ms,
        )
        self.log("request_quarantined", entry.request, source="own")
        return entry

    def _is_trial(self, entry: Entry, request: RelayRequest, now_ms: float) -> bool:
        """Return whether a call is the one that tests the verdict on a block.

        One node, which knows the crashes, lets one call through once.
        """
        if entry.trial_id is not None or entry.is_tried:
            return entry.trial_id == request.request_id
        trait = entry.request.fingerprint
        is_due = now_ms - entry.begun_ms >= TRIAL_MS
        if not is_due or self._find_rank(trait, now_ms) > 0 or self._was_tried(entry):
            return False
        entry.trial_id, entry.is_tried = request.request_id, True
        self.log("quarantine_tested", entry.request, call=request.request_id)
        return True

    def _was_tried(self, entry: Entry) -> bool:
        """Return whether another node has tested a verdict, or that is unknown.

        The crash of such a test comes long after those that the record names.
        """
        crashed = self._ledger.list_attributed_crashes(entry.request.fingerprint)
        named = [name for name in crashed if name in entry.request.replicas]
        if not named:
            return True
        last_ms = self._ledger.find_last_time(crashed)
        return last_ms - self._ledger.find_last_time(named) >= TRIAL_MS / 2

    def log(self, event: str, request: QuarantinedRequest, **fields: object) -> None:
        """Add a log entry about a quarantine."""
        known: dict[str, object] = {
            "fingerprint": request.fingerprint,
            "entry": request.entry_id,
            "customer": request.customer,
            "route": request.route,
            "replicas": ",".join(request.replicas[-MAX_LOGGED:]),
        }
        self._log_entries.append(LogEntry(event, known | fields))

    def has_log_entries(self) -> bool:
        """Return whether there is anything to log."""
        return bool(self._log_entries)

    def take_log_entries(self) -> Iterator[LogEntry]:
        """Return and remove the pending log entries."""
        entries, self._log_entries = self._log_entries, []
        yield from entries
