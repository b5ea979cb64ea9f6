"""Count the skipped records of the log, for operators."""

from __future__ import annotations

from typing import Final

import msgspec

from toucanyard.configuration_records import SkipReason

_MAX_UNKNOWN_KINDS: Final = 16


class SkippedRecordCounts(msgspec.Struct):
    """Numbers of skipped records by reason."""

    foreign: int = 0
    malformed: int = 0
    oversized: int = 0
    unknown_kinds: int = 0
    refused_checkpoints: int = 0
    by_unknown_kind: dict[str, int] = msgspec.field(default_factory=dict)

    def record_skip(self, reason: SkipReason) -> None:
        """Count one skipped record."""
        match reason:
            case SkipReason.FOREIGN:
                self.foreign += 1
            case SkipReason.MALFORMED:
                self.malformed += 1
            case SkipReason.OVERSIZED:
                self.oversized += 1

    def record_unknown_kind(self, kind: str) -> None:
        """Count one record of an unknown kind, which newer nodes may understand."""
        self.unknown_kinds += 1
        known = self.by_unknown_kind
        if kind in known or len(known) < _MAX_UNKNOWN_KINDS:
            known[kind] = known.get(kind, 0) + 1
