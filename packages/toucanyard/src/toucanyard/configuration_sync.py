"""Synchronize a node's configuration with the log and its peers, and accept patches.

Connects `configuration_log` and `membership`: the log receives what the platform or a
peer reports about the configuration, membership receives what comes into force.
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

SyncAction = AppendToLog | SendMessage | PatchAnswered


class _PendingPatch(msgspec.Struct):
    """A patch whose result is awaited.

    `may_be_logged` is never reset: once the answer to an append was lost, a later
    refusal doesn't prove that the patch is not in the log.
    """

    deadline_ms: float
    text: str
    may_be_logged: bool = False


class ConfigurationSynchronizer:
    """One node's configuration and the patches whose results its operators await.

    Invariant: each PatchSubmitted gets exactly one PatchAnswered, no later than its
    deadline. A rejection is reported only if replay of the log proves it, or if the
    record provably never reached the log.
    """

    def __init__(self, log: ConfigurationLog, membership: Membership) -> None:
        self._log = log
        self._membership = membership
        self._pending_patches: dict[str, _PendingPatch] = {}
        self._reported_version = 0
        self.divergent: set[NodeName] = set()
        """Peers with another value under this node's version, due to other code."""

    def read_log(self, event: LogRead, now_ms: float) -> Iterator[SyncAction]:
        """Replay records and record the end of the log."""
        log = self._log
        for record in event.records:
            result = log.apply_record(record.offset, record.at_ms, record.text, now_ms)
            if result is not None:
                yield from self._answer(result)
        log.update_log_end(event.head, event.asked_ms)
        self._update_membership(now_ms)

    def read_message(
        self,
        sender: NodeName,
        message: ConfigurationRequest | ConfigurationDelta | ConfigurationOffer,
        now_ms: float,
    ) -> Iterator[SyncAction]:
        """Answer a peer's request, or adopt the state that a peer sent."""
        match message:
            case ConfigurationRequest(base=base):
                yield from self._send_configuration(sender, base)
            case ConfigurationDelta():
                self._log.adopt_delta(message)
            case ConfigurationOffer(checkpoint=checkpoint):
                self._log.adopt(checkpoint)
        yield from self._answer_known()
        self._update_membership(now_ms)

    def fetch(self, action: FetchConfiguration) -> Iterator[SyncAction]:
        """Request the newer version from a peer."""
        # The base is the replayed version, though it may not be in force yet: a delta
        # from the version in force could not be applied to it.
        base = self._log.configuration.version
        yield SendMessage(action.peer, ConfigurationRequest(base))

    def confirm(self, action: PeerConfirmed, now_ms: float) -> None:
        """Record that a peer's version was confirmed as the newest."""
        log = self._log
        if log.apply_peer_confirmation(
            action.version, action.digest, action.confirmed_ms
        ):
            self.divergent.discard(action.peer)
        else:
            self.divergent.add(action.peer)
        self._update_membership(now_ms)

    def submit(self, event: PatchSubmitted, now_ms: float) -> Iterator[SyncAction]:
        """Check a patch and append it, or reject it at once with the reason."""
        patch = event.patch
        known = self._log.find_result(patch.patch_id)
        if known is not None and known.base == patch.base:
            yield _build_answer(known)
            return
        if not self._log.compute_permissions(now_ms).may_patch:
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

    def handle_append_result(
        self, record_id: str, result: AppendResult, now_ms: float
    ) -> Iterator[SyncAction]:
        """Handle the result of an append of this node."""
        if record_id.startswith(_CHECKPOINT_PREFIX):
            if result is AppendResult.DONE:
                self._log.record_checkpoint_appended(now_ms)
            return
        patch_id = record_id.removeprefix(_PATCH_PREFIX)
        pending = self._pending_patches.get(patch_id)
        if pending is None or result is AppendResult.DONE:
            return
        if result is AppendResult.UNKNOWN:
            # The service drops an append whose client timed out, so it is sent again.
            # If the first one succeeded as well, replay recognizes the patch id.
            pending.may_be_logged = True
            yield AppendToLog(record_id, pending.text, is_urgent=True)
            return
        if pending.may_be_logged:
            return
        # The append certainly had no effect, so the patch can be rejected.
        del self._pending_patches[patch_id]
        yield PatchAnswered(
            patch_id,
            self._log.configuration.version,
            ErrorKind.LOG_UNAVAILABLE,
            "the log took no record",
        )

    def tick(self, now_ms: float) -> Iterator[SyncAction]:
        """Answer patches whose deadline has passed; append a checkpoint when due."""
        for patch_id, pending in list(self._pending_patches.items()):
            if pending.deadline_ms <= now_ms:
                del self._pending_patches[patch_id]
                yield PatchAnswered(
                    patch_id,
                    self._log.configuration.version,
                    ErrorKind.OUTCOME_UNKNOWN,
                    "the log did not tell in time; submit the same patch id again",
                )
        if self._log.is_checkpoint_due(now_ms):
            checkpoint = self._log.build_checkpoint()
            assert checkpoint is not None
            self._log.record_checkpoint_appended(now_ms)
            version = checkpoint.configuration.version
            yield AppendToLog(
                f"{_CHECKPOINT_PREFIX}{version}",
                encode_checkpoint(checkpoint),
                is_urgent=False,
            )

    def owns(self, record_id: str) -> bool:
        """Return whether a log record of this node concerns the configuration."""
        return record_id.startswith((_PATCH_PREFIX, _CHECKPOINT_PREFIX))

    def _append(self, event: PatchSubmitted) -> Iterator[SyncAction]:
        patch = event.patch
        try:
            text = encode_patch(patch)
        except PatchInvalidError as error:
            version = self._log.configuration.version
            yield PatchAnswered(
                patch.patch_id, version, ErrorKind.PATCH_INVALID, str(error)
            )
            return
        self._pending_patches[patch.patch_id] = _PendingPatch(event.deadline_ms, text)
        yield AppendToLog(f"{_PATCH_PREFIX}{patch.patch_id}", text, is_urgent=True)

    def _answer(self, result: PatchResult) -> Iterator[SyncAction]:
        if self._pending_patches.pop(result.patch_id, None) is not None:
            yield _build_answer(result)

    def _answer_known(self) -> Iterator[SyncAction]:
        for patch_id in list(self._pending_patches):
            result = self._log.find_result(patch_id)
            if result is not None:
                yield from self._answer(result)

    def _send_configuration(self, peer: NodeName, base: int) -> Iterator[SyncAction]:
        if self._log.in_force.version == 0:
            return
        delta = self._log.build_delta(base)
        if delta is not None:
            yield SendMessage(peer, delta)
            return
        checkpoint = self._log.build_checkpoint()
        if checkpoint is not None and checkpoint.configuration.version > base:
            yield SendMessage(peer, ConfigurationOffer(checkpoint))

    def _update_membership(self, now_ms: float) -> None:
        log = self._log
        in_force = log.in_force
        if in_force.version != self._reported_version:
            self._reported_version = in_force.version
            changed = ConfigurationChanged(in_force, log.digest)
            self._membership.handle(changed, now_ms)
        age_ms = log.find_confirmed_age_ms(now_ms)
        if age_ms is not None:
            confirmed = ConfigurationConfirmed(now_ms - age_ms)
            self._membership.handle(confirmed, now_ms)


def _build_answer(result: PatchResult) -> PatchAnswered:
    return PatchAnswered(result.patch_id, result.version, result.rejection, result.text)
