"""Keep a node's configuration in step: the log, peers' digests, operators' patches.

Joins `configuration_log` and `membership`: what the log or a peer tells about the
configuration goes to the first, what comes into force goes to the second.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

import msgspec

from toucanyard.configuration_log import ConfigurationLog, PatchResult
from toucanyard.configuration_records import (
    ConfigurationDelta,
    encode_checkpoint,
    encode_patch,
)
from toucanyard.core_events import (
    AppendToLog,
    LogRead,
    PatchAnswered,
    PatchSubmitted,
    SendMessage,
)
from toucanyard.digests import ConfigurationOffer, ConfigurationRequest
from toucanyard.errorcodes import ErrorKind
from toucanyard.membership import Membership
from toucanyard.membership_events import (
    ConfigurationChanged,
    ConfigurationConfirmed,
    FetchConfiguration,
    PeerConfirmed,
)
from toucanyard.names import NodeName
from toucanyard.patches import PatchInvalidError
from toucanyard.platform_log import (
    AppendResult,
)

_PATCH_PREFIX: Final = "patch-"
_CHECKPOINT_PREFIX: Final = "checkpoint-"

SpreadAction = AppendToLog | SendMessage | PatchAnswered


class _Submitted(msgspec.Struct):
    """A patch whose result is awaited.

    `may_be_logged` never goes back to false: once an append's answer was lost, no later
    refusal proves that the patch is not in the log.
    """

    deadline_ms: float
    text: str
    may_be_logged: bool = False


class ConfigurationSpread:
    """One node's configuration and the patches that its operators wait for.

    Invariant: each PatchSubmitted gets one PatchAnswered, at its deadline at the
    latest; an answer of "not accepted" is given only where replay of the log proves
    it, or the record provably never reached the log.
    """

    def __init__(self, log: ConfigurationLog, membership: Membership) -> None:
        self._log = log
        self._membership = membership
        self._submitted: dict[str, _Submitted] = {}
        self._told_version = 0
        self.divergent: set[NodeName] = set()
        """Peers with another value under this node's version: they run other code."""

    def read_log(self, event: LogRead, now_ms: float) -> Iterator[SpreadAction]:
        """Replay records and take in how far the log goes."""
        log = self._log
        for record in event.records:
            result = log.apply_record(record.offset, record.at_ms, record.text, now_ms)
            if result is not None:
                yield from self._answer(result)
        log.note_head(event.head, event.asked_ms)
        self._tell_membership(now_ms)

    def read_message(
        self,
        sender: NodeName,
        message: ConfigurationRequest | ConfigurationDelta | ConfigurationOffer,
        now_ms: float,
    ) -> Iterator[SpreadAction]:
        """Answer a peer's request, or adopt what a peer sent."""
        match message:
            case ConfigurationRequest(base=base):
                yield from self._offer(sender, base)
            case ConfigurationDelta():
                self._log.adopt_delta(message)
            case ConfigurationOffer(checkpoint=checkpoint):
                self._log.adopt(checkpoint)
        yield from self._settle_known()
        self._tell_membership(now_ms)

    def fetch(self, action: FetchConfiguration) -> Iterator[SpreadAction]:
        """Ask a peer that has a higher version for it."""
        # What was replayed counts, though it may not be in force yet: a delta from
        # the version in force would not lead on from it.
        base = self._log.configuration.version
        yield SendMessage(action.peer, ConfigurationRequest(base))

    def confirm(self, action: PeerConfirmed, now_ms: float) -> None:
        """Take in that a peer knew its version to be the newest."""
        log = self._log
        if log.note_peer(action.version, action.digest, action.confirmed_ms):
            self.divergent.discard(action.peer)
        else:
            self.divergent.add(action.peer)
        self._tell_membership(now_ms)

    def submit(self, event: PatchSubmitted, now_ms: float) -> Iterator[SpreadAction]:
        """Check a patch and append it, or answer at once why not."""
        patch = event.patch
        known = self._log.result_of(patch.patch_id)
        if known is not None and known.base == patch.base:
            yield _build_answer(known)
            return
        if not self._log.compute_allowance(now_ms).may_patch:
            text = "this node can't tell which version is the newest"
            yield PatchAnswered(
                patch.patch_id,
                self._log.configuration.version,
                ErrorKind.STALE_CONFIGURATION,
                text,
            )
            return
        expected = self._log.check_patch(patch)
        if not expected.is_accepted():
            yield _build_answer(expected)
            return
        yield from self._append(event)

    def settle(
        self, record_id: str, result: AppendResult, now_ms: float
    ) -> Iterator[SpreadAction]:
        """Take in what became of an append of this node."""
        if record_id.startswith(_CHECKPOINT_PREFIX):
            if result is AppendResult.DONE:
                self._log.note_checkpoint_appended(now_ms)
            return
        patch_id = record_id.removeprefix(_PATCH_PREFIX)
        submitted = self._submitted.get(patch_id)
        if submitted is None or result is AppendResult.DONE:
            return
        if result is AppendResult.UNKNOWN:
            # The service drops an append whose sender gave up on a slow answer, so it
            # is sent again. If the first one counts as well, its patch id settles it.
            submitted.may_be_logged = True
            yield AppendToLog(record_id, submitted.text, is_urgent=True)
            return
        if submitted.may_be_logged:
            return
        # Without effect for certain, so "not accepted" is true.
        del self._submitted[patch_id]
        yield PatchAnswered(
            patch_id,
            self._log.configuration.version,
            ErrorKind.LOG_UNAVAILABLE,
            "the log took no record",
        )

    def tick(self, now_ms: float) -> Iterator[SpreadAction]:
        """Answer patches whose time is up, and append a checkpoint when due."""
        for patch_id, submitted in list(self._submitted.items()):
            if submitted.deadline_ms <= now_ms:
                del self._submitted[patch_id]
                yield PatchAnswered(
                    patch_id,
                    self._log.configuration.version,
                    ErrorKind.OUTCOME_UNKNOWN,
                    "the log did not tell in time; submit the same patch id again",
                )
        if self._log.is_checkpoint_due(now_ms):
            checkpoint = self._log.build_checkpoint()
            assert checkpoint is not None
            self._log.note_checkpoint_appended(now_ms)
            version = checkpoint.configuration.version
            yield AppendToLog(
                f"{_CHECKPOINT_PREFIX}{version}",
                encode_checkpoint(checkpoint),
                is_urgent=False,
            )

    def owns(self, record_id: str) -> bool:
        """Tell whether a log record of this node concerns the configuration."""
        return record_id.startswith((_PATCH_PREFIX, _CHECKPOINT_PREFIX))

    def _append(self, event: PatchSubmitted) -> Iterator[SpreadAction]:
        patch = event.patch
        try:
            text = encode_patch(patch)
        except PatchInvalidError as error:
            version = self._log.configuration.version
            yield PatchAnswered(
                patch.patch_id, version, ErrorKind.PATCH_INVALID, str(error)
            )
            return
        self._submitted[patch.patch_id] = _Submitted(event.deadline_ms, text)
        yield AppendToLog(f"{_PATCH_PREFIX}{patch.patch_id}", text, is_urgent=True)

    def _answer(self, result: PatchResult) -> Iterator[SpreadAction]:
        if self._submitted.pop(result.patch_id, None) is not None:
            yield _build_answer(result)

    def _settle_known(self) -> Iterator[SpreadAction]:
        for patch_id in list(self._submitted):
            result = self._log.result_of(patch_id)
            if result is not None:
                yield from self._answer(result)

    def _offer(self, peer: NodeName, base: int) -> Iterator[SpreadAction]:
        if self._log.in_force.version == 0:
            return
        delta = self._log.build_delta(base)
        if delta is not None:
            yield SendMessage(peer, delta)
            return
        checkpoint = self._log.build_checkpoint()
        if checkpoint is not None and checkpoint.configuration.version > base:
            yield SendMessage(peer, ConfigurationOffer(checkpoint))

    def _tell_membership(self, now_ms: float) -> None:
        log = self._log
        in_force = log.in_force
        if in_force.version != self._told_version:
            self._told_version = in_force.version
            changed = ConfigurationChanged(in_force, log.digest)
            self._membership.handle(changed, now_ms)
        age_ms = log.find_confirmed_age_ms(now_ms)
        if age_ms is not None:
            confirmed = ConfigurationConfirmed(now_ms - age_ms)
            self._membership.handle(confirmed, now_ms)


def _build_answer(result: PatchResult) -> PatchAnswered:
    return PatchAnswered(result.patch_id, result.version, result.rejection, result.text)
