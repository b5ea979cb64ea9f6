"""Know which weights operators want of each model, and for how long they have."""

from __future__ import annotations

from typing import Final

import msgspec


class WantedWeights(msgspec.Struct, frozen=True):
    """Weights that operators have named for a model."""

    model: str
    version: int


RECENT_MS: Final = 15_000.0
"""How long peers are told when weights were named; by then all replicas have them."""
MAX_NAMED: Final = 64
"""Versions of one model that are remembered; older ones run nowhere any more."""


class TargetWeights:
    """The wanted versions of one model, each with when this node learned of it.

    Invariant: versions only grow.
    """

    __slots__ = ("_named", "version")

    def __init__(self) -> None:
        self.version = 0
        self._named: list[tuple[int, float]] = []

    def apply(self, version: int, now_ms: float) -> None:
        """Take in a version that is newer than the last."""
        self.version = version
        self._named.append((version, now_ms))
        del self._named[:-MAX_NAMED]

    def record_age(self, version: int, learned_ms: float) -> None:
        """Take in that a version has been wanted for longer than this node knew."""
        self._named = [
            (each, min(at_ms, learned_ms) if each == version else at_ms)
            for each, at_ms in self._named
        ]

    def list_recent(self, since_ms: float) -> list[tuple[int, float]]:
        """Return the versions that were learned of since a time."""
        return [each for each in self._named if each[1] >= since_ms]

    def compute_age(self, version: int, now_ms: float) -> float:
        """Return how long weights have been replaced by newer ones, 0 if they are not.

        It counts from the first newer version: while versions follow each other fast,
        weights two versions back would else never be too old.
        """
        for newer, learned_ms in self._named:
            if newer > version:
                return now_ms - learned_ms
        return 0.0


class TargetWeightsTable:
    """The wanted weights of every model. Invariant: a version never falls."""

    __slots__ = ("_weight_targets",)

    def __init__(self) -> None:
        self._weight_targets: dict[str, TargetWeights] = {}

    def apply(self, wanted: WantedWeights, now_ms: float) -> bool:
        """Take in a wanted version; return whether it is newer than the last."""
        target = self._weight_targets.setdefault(wanted.model, TargetWeights())
        if target.version >= wanted.version:
            return False
        target.apply(wanted.version, now_ms)
        return True

    def find(self, model: str) -> TargetWeights | None:
        """Return the goal of a model."""
        return self._weight_targets.get(model)

    def record_age(
        self, model: str, version: int, age_ms: float, now_ms: float
    ) -> None:
        """Take in for how long a peer has known of a version."""
        target = self._weight_targets.get(model)
        if target is not None:
            target.record_age(version, now_ms - age_ms)

    def list_recent(self, now_ms: float) -> list[tuple[str, int, float]]:
        """Return model, version and age of what was named lately."""
        return [
            (model, version, now_ms - learned_ms)
            for model, target in self._weight_targets.items()
            for version, learned_ms in target.list_recent(now_ms - RECENT_MS)
        ]
