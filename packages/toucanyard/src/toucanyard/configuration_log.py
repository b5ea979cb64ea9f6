"""Replay configuration records from the platform's log, identically on every node.

The log orders patches: the first valid patch on a base version makes the next version;
a later one on the same base is rejected with the number of the version that won. A
checkpoint holds a version and the offset up to which the log was replayed, so that a
node for which older records have expired continues from there like the others. The
same value, sent by a peer, is a snapshot.
"""

from __future__ import annotations

from typing import Final

import msgspec

from toucanyard.configuration import Configuration
from toucanyard.configuration_freshness import ConfigurationFreshness
from toucanyard.configuration_records import (
    CheckpointRecord,
    ConfigurationDelta,
    HistoryEntry,
    PatchRecord,
    Skipped,
    UnknownRecord,
    compute_digest,
    decode_record,
)
from toucanyard.configuration_versions import ConfigurationVersions
from toucanyard.errorcodes import ErrorKind
from toucanyard.missed_records import BufferedPatch, MissedRecords
from toucanyard.options import ConfigurationTimings
from toucanyard.patch_results import PatchHistory, PatchResult as PatchResult
from toucanyard.patches import (
    Patch,
    PatchInvalidError,
    apply_patch,
    check_configuration,
)
from toucanyard.skipped_record_counts import SkippedRecordCounts

_EMPTY: Final = Configuration()


class Permissions(msgspec.Struct, frozen=True):
    """What a node may do under the version that it knows.

    Serving continues under an outdated version, since its endpoints and customers
    were valid seconds ago. Orders could revert those of a newer version, and the
    result of a patch can't be determined.
    """

    is_current: bool
    may_order: bool
    may_patch: bool


class ConfigurationLog:
    """Hold the configuration in force on one node.

    Invariants: the version never decreases; while `has_gap` is false, the
    configuration is the replay of every record before `next_offset`; while it is
    true, no patch is applied, since an unread record may have made a version that
    conflicts with the patch.
    """

    def __init__(self, timings: ConfigurationTimings, jitter: float = 0.0) -> None:
        """Start empty; `jitter` in 0..1 staggers the checkpoints of nodes."""
        self._freshness = ConfigurationFreshness(timings, jitter)
        self._versions = ConfigurationVersions()
        self._patch_history = PatchHistory()
        self._missed = MissedRecords()
        self._is_caught_up = False
        self.next_offset = 0
        self.counts = SkippedRecordCounts()

    @property
    def configuration(self) -> Configuration:
        """Return the newest configuration that was replayed."""
        return self._versions.newest

    @property
    def history(self) -> tuple[HistoryEntry, ...]:
        """Return the latest versions with their patches, oldest first."""
        return self._patch_history.history

    @property
    def in_force(self) -> Configuration:
        """Return the configuration in force; the empty one until the node catches up.

        A node that has just started replays versions that were replaced long ago. They
        must neither come into force again nor be sent to peers, so no version is in
        force until the node has reached the end of the log, or received a peer's state.
        """
        return self.configuration if self._is_caught_up else _EMPTY

    @property
    def digest(self) -> int:
        """Return the hash of the newest configuration that was replayed."""
        return self._versions.digest

    @property
    def has_gap(self) -> bool:
        """Return whether records were missed that no checkpoint has covered yet."""
        return self._missed.has_missed_records()

    @property
    def unknown_kinds(self) -> dict[str, int]:
        """Return how often each unknown kind of configuration record was read."""
        return dict(self.counts.by_unknown_kind)

    def find_version(self, version: int) -> Configuration | None:
        """Return a version if it is among the latest ones on this node."""
        return self._versions.find(version)

    def find_result(self, patch_id: str) -> PatchResult | None:
        """Return the result of a patch, if this node knows it."""
        return self._patch_history.find(patch_id)

    def find_confirmed_age_ms(self, now_ms: float) -> float | None:
        """Return the time since the version was last confirmed to be the newest."""
        return self._freshness.find_age_ms(now_ms)

    def is_current(self, now_ms: float) -> bool:
        """Return whether the log or a peer confirmed the version recently enough."""
        return self._freshness.is_fresh(now_ms) and not self.has_gap

    def compute_permissions(self, now_ms: float) -> Permissions:
        """Return what this node may do under the version in force."""
        is_current = self.is_current(now_ms)
        return Permissions(is_current, may_order=is_current, may_patch=is_current)

    def check_patch(self, patch: Patch) -> PatchResult:
        """Return the result of a patch if it were the next record of the log."""
        return self._evaluate(patch)[0]

    def build_checkpoint(self) -> CheckpointRecord | None:
        """Return the state as a checkpoint; None if records were missed."""
        if self.has_gap or self.configuration.version == 0:
            return None
        return CheckpointRecord(
            configuration=self.configuration,
            next_offset=self.next_offset,
            history=self._patch_history.find_for_checkpoint(),
        )

    def is_checkpoint_due(self, now_ms: float) -> bool:
        """Return whether this node should append a checkpoint now."""
        return (
            self.is_current(now_ms)
            and self.configuration.version > 0
            and self._freshness.is_checkpoint_due(now_ms)
        )

    def record_checkpoint_appended(self, now_ms: float) -> None:
        """Record that this node appended a checkpoint, which restarts its timer."""
        self._freshness.record_checkpoint(now_ms)

    def handle_expired(self, oldest: int) -> None:
        """Skip records that have expired; `oldest` is the first one still kept."""
        if oldest <= self.next_offset:
            return
        self.next_offset = oldest
        self._missed.start(oldest)

    def needs_older(self) -> bool:
        """Return whether the log was read from a late start and gave no version."""
        has_no_version = self.has_gap and self.configuration.version == 0
        return self._is_caught_up and has_no_version

    def restart_reading(self) -> None:
        """Start reading again at the first record, if older records are needed."""
        if not self.needs_older():
            return
        self._is_caught_up = False
        self._missed.end()
        self.next_offset = 0

    def update_log_end(self, log_next: int, asked_ms: float) -> None:
        """Record the end of the log, as returned by a read that began at `asked_ms`.

        The confirmation dates from the request, not from the response: a delayed
        response says nothing about the time since the request.
        """
        if self.next_offset < log_next:
            return
        self._is_caught_up = True
        if not self.has_gap:
            self._freshness.confirm(asked_ms)

    def apply_peer_confirmation(
        self, version: int, digest: int, confirmed_ms: float
    ) -> bool:
        """Record that a peer's version was confirmed as the newest at `confirmed_ms`.

        `confirmed_ms` is on this node's clock. Return False if the peer holds another
        value under the same version, which is possible only with other code.
        """
        own = self.configuration
        if version != own.version:
            return True
        if digest != self.digest:
            return False
        self._is_caught_up = True
        if not self.has_gap:
            self._freshness.confirm(confirmed_ms)
        return True

    def apply_record(
        self, offset: int, at_ms: float, text: str, now_ms: float
    ) -> PatchResult | None:
        """Replay the record at one offset; return the result if it is a patch.

        The caller passes every record, of any kind, in the order of the log. Records
        that a snapshot already covers change nothing. No text raises an exception.
        """
        if offset < self.next_offset:
            return self._find_covered_result(text)
        self.handle_expired(offset)
        self.next_offset = offset + 1
        record = decode_record(text)
        match record:
            case PatchRecord() if self.has_gap:
                self._missed.buffer_patch(BufferedPatch(offset, at_ms, record))
                return None
            case PatchRecord():
                return self._apply(offset, at_ms, record)
            case CheckpointRecord():
                self._handle_checkpoint(record, now_ms)
                return None
            case UnknownRecord():
                self._handle_unknown(offset, record)
                return None
            case Skipped():
                self.counts.record_skip(record.reason)
                return None

    def build_delta(self, base: int) -> ConfigurationDelta | None:
        """Return the patches from a version to this node's newest one.

        Return None if there are none, or if some are no longer kept.
        """
        if self.has_gap or base >= self.configuration.version:
            return None
        patches = self._versions.find_patches(base)
        if patches is None:
            return None
        return ConfigurationDelta(
            base=base,
            patches=patches,
            history=tuple(each for each in self.history if each.version > base),
            next_offset=self.next_offset,
            digest=self.digest,
        )

    def adopt_delta(self, delta: ConfigurationDelta) -> bool:
        """Apply a peer's patches if they start at this version; return success."""
        if delta.base != self.configuration.version:
            return False
        configuration = self.configuration
        try:
            for record in delta.patches:
                configuration = apply_patch(configuration, record.to_patch())
        except PatchInvalidError:
            return False
        if compute_digest(configuration) != delta.digest:
            return False
        checkpoint = CheckpointRecord(
            configuration=configuration,
            next_offset=delta.next_offset,
            history=delta.history,
        )
        if not self.adopt(checkpoint):
            return False
        self._versions.keep_patches(configuration.version, delta.patches)
        return True

    def adopt(self, checkpoint: CheckpointRecord) -> bool:
        """Adopt a newer state that is in force at a peer; return whether it changed.

        A state with a lower version, or one that covers less of the log than this node
        has replayed, is never adopted: a node must not revert to an earlier state.
        """
        if not self._is_usable(checkpoint):
            return False
        self._is_caught_up = True
        return self._adopt(checkpoint)

    def _adopt(self, checkpoint: CheckpointRecord) -> bool:
        version = checkpoint.configuration.version
        is_new = version > self.configuration.version or self.has_gap
        self._versions.keep(checkpoint.configuration)
        self._patch_history.merge(checkpoint.history)
        self.next_offset = max(self.next_offset, checkpoint.next_offset)
        for each in self._missed.take_buffered_from(checkpoint.next_offset):
            self._apply(each.offset, each.at_ms, each.record)
        return is_new

    def _find_covered_result(self, text: str) -> PatchResult | None:
        # A snapshot lists accepted patches only. An operator who waits here for a
        # patch that the peer rejected would get no answer if its record were skipped.
        record = decode_record(text)
        if not isinstance(record, PatchRecord) or self.has_gap:
            return None
        known = self._patch_history.find_for_base(record.patch_id, record.base)
        if known is not None:
            return known
        result = PatchResult(
            record.patch_id,
            record.base,
            min(record.base + 1, self.configuration.version),
            ErrorKind.PATCH_CONFLICT,
            f"version {self.configuration.version} is in force without it",
        )
        self._patch_history.record_result(result)
        return result

    def _is_usable(self, checkpoint: CheckpointRecord) -> bool:
        if checkpoint.configuration.version < self.configuration.version:
            return False
        if not self.has_gap:
            return checkpoint.next_offset > self.next_offset
        return self._missed.is_covered_by(checkpoint.next_offset)

    def _handle_unknown(self, offset: int, record: UnknownRecord) -> None:
        self.counts.record_unknown_kind(record.kind)
        # Nodes with newer code may have made a version from it. Applying the next
        # patch on the old base here would give one version number two values, so the
        # last good version stays until a checkpoint or a peer provides a higher one.
        # A record that doesn't name the next version can't have made it and is only
        # counted.
        if record.version == self.configuration.version + 1:
            self._missed.start(offset + 1)

    def _handle_checkpoint(self, checkpoint: CheckpointRecord, now_ms: float) -> None:
        configuration = checkpoint.configuration
        if self.has_gap:
            try:
                check_configuration(configuration)
            except PatchInvalidError:
                self.counts.refused_checkpoints += 1
                return
            if self._is_usable(checkpoint):
                self._adopt(checkpoint)
        elif configuration != self._versions.find(configuration.version):
            # A replay without a gap has seen every version, so this one is invalid.
            self.counts.refused_checkpoints += 1
        elif self.is_current(now_ms):
            self._freshness.record_checkpoint(now_ms)

    def _evaluate(self, patch: Patch) -> tuple[PatchResult, Configuration | None]:
        current = self.configuration
        if patch.base != current.version:
            text = f"version {patch.base} is not the newest, {current.version} is"
            winner = min(patch.base + 1, current.version)
            conflict = ErrorKind.PATCH_CONFLICT
            return PatchResult(patch.patch_id, patch.base, winner, conflict, text), None
        try:
            result = apply_patch(current, patch)
        except PatchInvalidError as error:
            invalid = ErrorKind.PATCH_INVALID
            rejected = PatchResult(
                patch.patch_id, patch.base, current.version, invalid, str(error)
            )
            return rejected, None
        return PatchResult(patch.patch_id, patch.base, result.version), result

    def _apply(self, offset: int, at_ms: float, record: PatchRecord) -> PatchResult:
        known = self._patch_history.find_for_base(record.patch_id, record.base)
        is_older = record.base < self.configuration.version
        if is_older and known is not None:
            # The author got no answer and appended the patch again. The history may
            # only be used to answer: what is applied must not depend on it, since a
            # node that started later has less of it.
            return known
        result, configuration = self._evaluate(record.to_patch())
        if configuration is not None:
            self._versions.keep(configuration)
            self._versions.keep_patches(configuration.version, (record,))
            entry = HistoryEntry(
                result.version, record.patch_id, record.author, offset, at_ms
            )
            self._patch_history.record_version(entry)
        self._patch_history.record_result(result)
        return result
