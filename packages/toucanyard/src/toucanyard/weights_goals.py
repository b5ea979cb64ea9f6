"""Know which weights operators want of each model, and for how long they have."""

from __future__ import annotations

import msgspec


class WantedWeights(msgspec.Struct, frozen=True):
    """Weights that operators have named for a model."""

    model: str
    version: int


class Goal(msgspec.Struct, frozen=True):
    """The newest wanted weights of a model, and when this node learned of them."""

    version: int
    learned_ms: float


class WeightsGoals:
    """The wanted weights of every model. Invariant: a version never falls."""

    __slots__ = ("_goals",)

    def __init__(self) -> None:
        self._goals: dict[str, Goal] = {}

    def apply(self, wanted: WantedWeights, now_ms: float) -> bool:
        """Take in a wanted version; return whether it is newer than the last."""
        goal = self._goals.get(wanted.model)
        if goal is not None and goal.version >= wanted.version:
            return False
        self._goals[wanted.model] = Goal(wanted.version, now_ms)
        return True

    def find(self, model: str) -> Goal | None:
        """Return the goal of a model."""
        return self._goals.get(model)

    def list_models(self) -> list[str]:
        """Return the models that have a goal."""
        return list(self._goals)
