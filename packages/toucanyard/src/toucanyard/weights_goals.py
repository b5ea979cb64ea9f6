"""Know which weights operators want of each model, and for how long they have."""

from __future__ import annotations

from typing import Final

import msgspec


class WantedWeights(msgspec.Struct, frozen=True):
    """Weights that operators have named for a model."""

    model: str
    version: int


MAX_NAMED: Final = 64
"""Versions of one model that are remembered; older ones run nowhere any more."""


class Goal:
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

    def compute_age(self, version: int, now_ms: float) -> float:
        """Return how long weights have been replaced by newer ones, 0 if they are not.

        It counts from the first newer version: while versions follow each other fast,
        weights two versions back would else never be too old.
        """
        for newer, learned_ms in self._named:
            if newer > version:
                return now_ms - learned_ms
        return 0.0


class WeightsGoals:
    """The wanted weights of every model. Invariant: a version never falls."""

    __slots__ = ("_goals",)

    def __init__(self) -> None:
        self._goals: dict[str, Goal] = {}

    def apply(self, wanted: WantedWeights, now_ms: float) -> bool:
        """Take in a wanted version; return whether it is newer than the last."""
        goal = self._goals.setdefault(wanted.model, Goal())
        if goal.version >= wanted.version:
            return False
        goal.apply(wanted.version, now_ms)
        return True

    def find(self, model: str) -> Goal | None:
        """Return the goal of a model."""
        return self._goals.get(model)

    def list_models(self) -> list[str]:
        """Return the models that have a goal."""
        return list(self._goals)
