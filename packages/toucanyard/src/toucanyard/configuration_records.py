"""Define the configuration records in the log and in messages between nodes.

Records are JSON texts with a `kind` tag. Decoding never raises: a node must be able to
skip any record of the log.
"""

from __future__ import annotations

import enum
from typing import Final

import msgspec
import xxhash

from toucanyard.configuration import Configuration
from toucanyard.patches import (
    MAX_CONFIGURATION_BYTES,
    MAX_PATCH_BYTES,
    Patch,
    PatchInvalidError,
    Put,
    Remove,
)

MAX_CHECKPOINT_BYTES: Final = MAX_CONFIGURATION_BYTES + 100_000
_CONFIGURATION_PREFIX: Final = "configuration"
_KINDS: Final = ("patch", "checkpoint")
FORMAT: Final = 1
"""Incremented when nodes with older code would misread a record. A higher number is
written only to records that contain the change."""


class PatchRecord(
    msgspec.Struct, frozen=True, tag="patch", tag_field="kind", kw_only=True
):
    """A patch as stored in the log."""

    patch_id: str
    base: int
    author: str = ""
    put: Put = Put()
    remove: Remove = Remove()
    format: int = FORMAT

    def to_patch(self) -> Patch:
        """Return the patch without its envelope."""
        return Patch(self.patch_id, self.base, self.author, self.put, self.remove)


class HistoryEntry(msgspec.Struct, frozen=True):
    """The patch that made a version, its author and its place in the log."""

    version: int
    patch_id: str
    author: str
    offset: int
    at_ms: float


class CheckpointRecord(
    msgspec.Struct, frozen=True, tag="checkpoint", tag_field="kind", kw_only=True
):
    """A version, and the offset of the first record that it doesn't cover.

    `next_offset` is needed because a patch may reach the log between the read that
    led to this version and the checkpoint itself; a node that started at the
    checkpoint would never see that patch.
    """

    configuration: Configuration
    next_offset: int
    history: tuple[HistoryEntry, ...] = ()
    format: int = FORMAT


class ConfigurationDelta(msgspec.Struct, frozen=True, tag="configuration_delta"):
    """The accepted patches after one version, and the resulting state."""

    base: int
    patches: tuple[PatchRecord, ...]
    history: tuple[HistoryEntry, ...]
    next_offset: int
    digest: int


class _Envelope(msgspec.Struct):
    kind: str = ""
    format: int = FORMAT
    version: int = 0
    base: int = -1


def encode_patch(patch: Patch) -> str:
    """Return the log record of a patch; raise PatchInvalidError if it is too large."""
    record = PatchRecord(
        patch_id=patch.patch_id,
        base=patch.base,
        author=patch.author,
        put=patch.put,
        remove=patch.remove,
    )
    text = msgspec.json.encode(record)
    if len(text) > MAX_PATCH_BYTES:
        raise PatchInvalidError(f"found a patch of more than {MAX_PATCH_BYTES} bytes")
    return text.decode()


def encode_checkpoint(checkpoint: CheckpointRecord) -> str:
    """Return the log record of a checkpoint."""
    return msgspec.json.encode(checkpoint).decode()


def compute_digest(configuration: Configuration) -> int:
    """Return a hash for comparing the values of one version on two nodes."""
    return xxhash.xxh3_64_intdigest(msgspec.json.encode(configuration))


class SkipReason(enum.StrEnum):
    """Why a record is skipped."""

    FOREIGN = "foreign"
    """The record is of a kind that doesn't concern the configuration."""
    MALFORMED = "malformed"
    OVERSIZED = "oversized"


class Skipped(msgspec.Struct, frozen=True):
    """A record that has no effect on the configuration."""

    reason: SkipReason


class UnknownRecord(msgspec.Struct, frozen=True):
    """A configuration record of a kind that newer code may understand.

    `version` is the version that the record says it makes; 0 if it names none.
    """

    kind: str
    version: int


Record = PatchRecord | CheckpointRecord | UnknownRecord | Skipped


def decode_record(text: str) -> Record:
    """Decode one record of the log; no text raises an exception."""
    if len(text) > MAX_CHECKPOINT_BYTES:
        return Skipped(SkipReason.OVERSIZED)
    try:
        return _decode(text.encode())
    except (msgspec.DecodeError, UnicodeEncodeError, RecursionError):
        return Skipped(SkipReason.MALFORMED)


def _decode(data: bytes) -> Record:
    envelope = msgspec.json.decode(data, type=_Envelope)
    if envelope.kind.startswith(_CONFIGURATION_PREFIX):
        return UnknownRecord(envelope.kind[:64], envelope.version)
    if envelope.kind not in _KINDS:
        return Skipped(SkipReason.FOREIGN)
    if envelope.format > FORMAT:
        return UnknownRecord(f"{envelope.kind}/{envelope.format}", envelope.base + 1)
    if envelope.kind == "patch" and len(data) > MAX_PATCH_BYTES:
        return Skipped(SkipReason.OVERSIZED)
    return msgspec.json.decode(data, type=PatchRecord | CheckpointRecord)
