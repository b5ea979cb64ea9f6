"""Track the weights that operators want for each model, and since when."""

from __future__ import annotations

from typing import Final

import msgspec


class WantedWeights(msgspec.Struct, frozen=True):
    """Weights that operators have requested for a model."""

    model: str
    version: int


RECENT_MS: Final = 15_000.0
"""How long the age of target weights is sent to peers; by then all replicas have the
weights."""
MAX_TARGET_VERSIONS: Final = 64
"""Maximum number of versions kept per model; no replica runs older ones any more."""


class TargetWeights:
    """The target versions of one model, each with when this node learned of it.

    Invariant: versions only increase.
    """

    __slots__ = ("_learned", "version")

    def __init__(self) -> None:
        self.version = 0
        self._learned: list[tuple[int, float]] = []

    def apply(self, version: int, now_ms: float) -> None:
        """Set a new target version, which is newer than the current one."""
        self.version = version
        self._learned.append((version, now_ms))
        del self._learned[:-MAX_TARGET_VERSIONS]

    def record_age(self, version: int, learned_ms: float) -> None:
        """Record that a version has been a target for longer than known so far."""
        self._learned = [
            (each, min(at_ms, learned_ms) if each == version else at_ms)
            for each, at_ms in self._learned
        ]

    def list_recent(self, since_ms: float) -> list[tuple[int, float]]:
        """Return the versions that this node learned of since a time."""
        return [each for each in self._learned if each[1] >= since_ms]

    def compute_age(self, version: int, now_ms: float) -> float:
        """Return how long ago a version was superseded, or 0 if it was not.

        The age counts from the first newer version. Otherwise, with versions in quick
        succession, even weights that are two versions behind would never be too old.
        """
        for newer, learned_ms in self._learned:
            if newer > version:
                return now_ms - learned_ms
        return 0.0


class TargetWeightsTable:
    """The target weights of every model. Invariant: a version never decreases."""

    __slots__ = ("_weight_targets",)

    def __init__(self) -> None:
        self._weight_targets: dict[str, TargetWeights] = {}

    def apply(self, wanted: WantedWeights, now_ms: float) -> bool:
        """Apply a wanted version; return whether it is newer than the current one."""
        target = self._weight_targets.setdefault(wanted.model, TargetWeights())
        if target.version >= wanted.version:
            return False
        target.apply(wanted.version, now_ms)
        return True

    def find(self, model: str) -> TargetWeights | None:
        """Return the target weights of a model."""
        return self._weight_targets.get(model)

    def record_age(
        self, model: str, version: int, age_ms: float, now_ms: float
    ) -> None:
        """Record for how long a peer has known of a version."""
        target = self._weight_targets.get(model)
        if target is not None:
            target.record_age(version, now_ms - age_ms)

    def list_recent(self, now_ms: float) -> list[tuple[str, int, float]]:
        """Return model, version and age of recent target versions."""
        return [
            (model, version, now_ms - learned_ms)
            for model, target in self._weight_targets.items()
            for version, learned_ms in target.list_recent(now_ms - RECENT_MS)
        ]
