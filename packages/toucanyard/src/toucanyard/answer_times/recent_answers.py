"""Keep how long the last answers of each kind of call took.

Calls are of one kind if they have the same route and ask for about as many tokens. A
stopping node uses them to tell which calls it can still answer.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import Final

from toucanyard.relay_requests import RelayRequest

MAX_KINDS: Final = 256
"""Kinds that are kept; beyond it those used longest ago are forgotten."""
MAX_RECENT: Final = 32
"""Answers that are kept of each kind."""
MIN_ANSWERS: Final = 5
"""Answers of a kind from which on its times are used."""

Kind = tuple[str, int]


class RecentAnswers:
    """Times from dispatch to end of the last answers, at one node."""

    __slots__ = ("_kinds",)

    def __init__(self) -> None:
        self._kinds: OrderedDict[Kind, deque[float]] = OrderedDict()

    def record(self, request: RelayRequest, took_ms: float) -> None:
        """Keep the time of a complete answer."""
        kind = _find_kind(request)
        if kind not in self._kinds:
            self._kinds[kind] = deque(maxlen=MAX_RECENT)
        self._kinds[kind].append(took_ms)
        self._kinds.move_to_end(kind)
        if len(self._kinds) > MAX_KINDS:
            self._kinds.popitem(last=False)

    def find_share_longer(self, request: RelayRequest, time_ms: float) -> float | None:
        """Return the share of answers to such calls that took longer than a time.

        None if too few are known.
        """
        times = self._kinds.get(_find_kind(request), ())
        if len(times) < MIN_ANSWERS:
            return None
        return sum(each > time_ms for each in times) / len(times)


def _find_kind(request: RelayRequest) -> Kind:
    prompt = request.prompt
    tokens = 0 if prompt is None else prompt.max_output_tokens
    return request.route, tokens.bit_length()
