"""Order statements about one replica's weights by when they were made.

Answers overtake each other and peers repeat what they know, so a statement of older
weights is believed only if it was certainly made later than the newer one.
"""

from __future__ import annotations

import enum
from typing import Final

import msgspec

UNKNOWN_MS: Final = float("-inf")


class StatedSpan(msgspec.Struct, frozen=True):
    """The time within which a statement was made, by this node's clock."""

    begin_ms: float
    """When it was requested; `UNKNOWN_MS` if this node did not request it."""
    end_ms: float
    """When it was received."""


NEVER: Final = StatedSpan(UNKNOWN_MS, UNKNOWN_MS)


class WeightsChange(enum.Enum):
    """What a statement changes."""

    NONE = enum.auto()
    NEWER = enum.auto()
    OLDER = enum.auto()
    """The replica has older weights than this node knew."""


class StatedWeights:
    """The weights versions of one replica by model, each with its last statement."""

    __slots__ = ("_spans", "versions")

    def __init__(self, versions: dict[str, int]) -> None:
        self.versions = versions
        self._spans: dict[str, StatedSpan] = {}

    def find_span(self, model: str) -> StatedSpan:
        """Return within which time the known version was stated last."""
        return self._spans.get(model, NEVER)

    def find_end(self) -> float:
        """Return when the newest statement about any model was received."""
        return max((each.end_ms for each in self._spans.values()), default=UNKNOWN_MS)

    def record(self, model: str, version: int, span: StatedSpan) -> WeightsChange:
        """Record a statement; return what it changes."""
        before, known = self.versions.get(model), self.find_span(model)
        if before == version:
            self._spans[model] = StatedSpan(
                max(known.begin_ms, span.begin_ms), max(known.end_ms, span.end_ms)
            )
            return WeightsChange.NONE
        is_newer = before is None or version > before
        is_earlier = span.end_ms < known.begin_ms
        is_later = span.begin_ms > known.end_ms
        if is_earlier or not (is_newer or is_later):
            return WeightsChange.NONE
        self.versions[model] = version
        self._spans[model] = span
        return WeightsChange.NEWER if is_newer else WeightsChange.OLDER
