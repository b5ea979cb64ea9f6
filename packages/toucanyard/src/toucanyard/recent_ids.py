"""Remember which tellings have been heard, so that none counts twice.

What nodes pass on comes back to who told it, and says how old it is without the ways
that it took. Taken for news it would never grow old: a list would stay young and a
pause go on for as long as links are slow.
"""

from __future__ import annotations

import random
from typing import Final

ID_BITS: Final = 32


def draw_id(rng: random.Random) -> int:
    """Return a number that no other telling has."""
    return rng.getrandbits(ID_BITS)


class RecentIds:
    """The newest ids that were added. Invariant: there are never more than `most`."""

    __slots__ = ("_ids", "_most")

    def __init__(self, most: int) -> None:
        self._ids: dict[int, None] = {}
        self._most = most

    def __contains__(self, number: int) -> bool:
        return number in self._ids

    def add(self, number: int) -> None:
        """Remember an id and forget the oldest one beyond the bound."""
        self._ids[number] = None
        if len(self._ids) > self._most:
            del self._ids[next(iter(self._ids))]
