"""Deduplicate gossip updates that come back over other peers.

An update says how old it is without the latency of the links that it took. One that
comes back to its sender and counts as news never expires: on slow links a list stays
fresh and a replica's pause goes on for good.
"""

from __future__ import annotations

import random
from typing import Final

ID_BITS: Final = 32


def new_update_id(rng: random.Random) -> int:
    """Return a number that no other update has."""
    return rng.getrandbits(ID_BITS)


class SeenUpdates:
    """The ids added last; there are never more than `capacity`."""

    __slots__ = ("_ids", "_capacity")

    def __init__(self, capacity: int) -> None:
        self._ids: dict[int, None] = {}
        self._capacity = capacity

    def __contains__(self, number: int) -> bool:
        return number in self._ids

    def add(self, number: int) -> None:
        """Remember an id and forget the oldest one beyond the bound."""
        self._ids[number] = None
        if len(self._ids) > self._capacity:
            del self._ids[next(iter(self._ids))]
