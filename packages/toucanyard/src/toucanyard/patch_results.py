"""Store the results of recent patches, and which patch made which version.

This history only serves to answer queries. What is applied must not depend on it,
since a node that started later has less of it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from typing import Final

import msgspec

from toucanyard.configuration_records import HistoryEntry
from toucanyard.errorcodes import ErrorKind

_MAX_HISTORY: Final = 256
_MAX_RESULTS: Final = 1_024
_CHECKPOINT_HISTORY: Final = 64


class PatchResult(msgspec.Struct, frozen=True):
    """The result of a patch; `version` is its own or, if rejected, the winner's."""

    patch_id: str
    base: int
    version: int
    rejection: ErrorKind | None = None
    text: str = ""

    def is_accepted(self) -> bool:
        """Return whether the patch made a version."""
        return self.rejection is None


class PatchHistory:
    """The latest results, and the patches of the latest versions.

    Invariant: an accepted result is never replaced by another result for the same id
    and base.
    """

    __slots__ = ("_history", "_results")

    def __init__(self) -> None:
        self._history: deque[HistoryEntry] = deque(maxlen=_MAX_HISTORY)
        self._results: dict[str, PatchResult] = {}

    @property
    def history(self) -> tuple[HistoryEntry, ...]:
        """Return the latest versions with their patches, oldest first."""
        return tuple(self._history)

    def find_for_checkpoint(self) -> tuple[HistoryEntry, ...]:
        """Return the part of the history that a checkpoint includes."""
        return tuple(self._history)[-_CHECKPOINT_HISTORY:]

    def find(self, patch_id: str) -> PatchResult | None:
        """Return the result of a patch, if it is still stored."""
        return self._results.get(patch_id)

    def find_for_base(self, patch_id: str, base: int) -> PatchResult | None:
        """Return the result of a patch on the given base, if it is still stored."""
        known = self._results.get(patch_id)
        return known if known is not None and known.base == base else None

    def record_version(self, entry: HistoryEntry) -> None:
        """Record which patch made the newest version."""
        self._history.append(entry)

    def record_result(self, result: PatchResult) -> None:
        """Store a result, unless an accepted one is known for the same base."""
        known = self.find_for_base(result.patch_id, result.base)
        if known is not None and known.is_accepted():
            return
        self._results[result.patch_id] = result
        while len(self._results) > _MAX_RESULTS:
            del self._results[next(iter(self._results))]

    def merge(self, entries: Sequence[HistoryEntry]) -> None:
        """Merge the history of a checkpoint, from the log or from a peer."""
        known = {entry.version: entry for entry in self._history}
        for entry in entries:
            known.setdefault(entry.version, entry)
            self.record_result(
                PatchResult(entry.patch_id, entry.version - 1, entry.version)
            )
        self._history = deque(
            (known[version] for version in sorted(known)), maxlen=_MAX_HISTORY
        )
