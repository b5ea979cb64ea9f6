"""Deduplicate gossip updates that come back over other peers.

The age in an update does not include the latency of the links that it crossed. If an
update that returns to its sender counted as new, it would never expire: on slow links
a list would stay fresh, and a replica would stay paused, forever.
"""

from __future__ import annotations

import random
from typing import Final

ID_BITS: Final = 32


def new_update_id(rng: random.Random) -> int:
    """Return a random id for an update; 32 bits make a collision unlikely."""
    return rng.getrandbits(ID_BITS)


class SeenUpdates:
    """The ids added last; there are never more than `capacity`."""

    __slots__ = ("_capacity", "_ids")

    def __init__(self, capacity: int) -> None:
        self._ids: dict[int, None] = {}
        self._capacity = capacity

    def __contains__(self, number: int) -> bool:
        return number in self._ids

    def add(self, number: int) -> None:
        """Add an id; drop the oldest one if there are too many."""
        self._ids[number] = None
        if len(self._ids) > self._capacity:
            del self._ids[next(iter(self._ids))]
