"""Estimate how long the answer to a call takes, by its route.

Answers the load in which calls queue for longer than they can afford: they begin late,
are cut by their deadline, and the room they took is missing for calls that had time.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

import msgspec

from toucanyard.relay_requests import RelayRequest

MAX_ROUTES: Final = 256
"""Routes with estimates; beyond it those used longest ago are forgotten."""
MIN_ANSWERS: Final = 5
"""Answers of a route from which on its mean is used."""
STEP: Final = 0.1
"""Weight of one answer in the moving mean."""
MARGIN: Final = 1.1
"""Time kept for an answer relative to the mean, as answers vary."""
MAX_SHARE: Final = 0.5
"""Share of a call's time that is kept for its answer; the rest it may wait."""


class _RouteTimes(msgspec.Struct):
    """Answers of one route."""

    answers: int = 0
    mean_ms: float = 0.0


class AnswerTimes:
    """Times from the dispatch of a call to the end of its answer, at one node."""

    __slots__ = ("_routes",)

    def __init__(self) -> None:
        self._routes: OrderedDict[str, _RouteTimes] = OrderedDict()

    def record(self, request: RelayRequest, took_ms: float) -> None:
        """Count a complete answer."""
        times = self._routes.setdefault(request.route, _RouteTimes())
        self._routes.move_to_end(request.route)
        times.answers += 1
        step = max(STEP, 1.0 / times.answers)
        times.mean_ms += step * (max(took_ms, 0.0) - times.mean_ms)
        if len(self._routes) > MAX_ROUTES:
            self._routes.popitem(last=False)

    def estimate(self, request: RelayRequest) -> float:
        """Return the time to keep for a call's answer, in ms; 0 if none is known."""
        times = self._routes.get(request.route)
        if times is None or times.answers < MIN_ANSWERS:
            return 0.0
        most_ms = (request.deadline_ms - request.arrived_ms) * MAX_SHARE
        return min(times.mean_ms * MARGIN, max(most_ms, 0.0))
