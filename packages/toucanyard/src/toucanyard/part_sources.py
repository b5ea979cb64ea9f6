"""Know whom to ask what parts of prompts it keeps: replicas, and stores beside them.

Each of them answers a bounded number of such calls at once, over all nodes. Where there
are more nodes than that, nobody asks replicas, and stores are asked by those that go
first in the hash order of the store.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

import msgspec

from toucanyard.names import Address, EndpointName
from toucanyard.replicas import ReplicaDirectory
from toucanyard.roster import Roster
from toucanyard.routes import PromptStore, RouteIndex

SPARE_FOLLOWERS: Final = 2
"""Calls that a holder has free for nodes that restart while their old call lasts."""
HEARD_MS: Final = 2_500.0
"""After this silence a store is not used; fetching from a dead one takes longer than
reading a part."""


class PartHolder(msgspec.Struct, frozen=True):
    """Who keeps parts, and where."""

    name: EndpointName
    address: Address


def name_store(store: PromptStore) -> EndpointName:
    """Return the name under which the book keeps a store."""
    return EndpointName(f"store {store.address}")


class PartSources:
    """The holders that this node follows, and the stores that it may use."""

    __slots__ = ("_directory", "_heard_ms", "_roster")

    def __init__(self, directory: ReplicaDirectory, roster: Roster) -> None:
        self._directory = directory
        self._roster = roster
        self._heard_ms: dict[EndpointName, float] = {}

    def note_heard(self, holder: EndpointName, now_ms: float) -> None:
        """Take in that a holder answered."""
        self._heard_ms[holder] = now_ms

    def note_lost(self, holder: EndpointName) -> None:
        """Take in that a holder did not answer."""
        self._heard_ms.pop(holder, None)

    def find_followed(self, index: RouteIndex, now_ms: float) -> list[PartHolder]:
        """Return the holders that this node should ask."""
        return [
            holder
            for holder, most, is_store in self._list_holders(index, now_ms)
            if self._is_follower(holder, most, is_store, now_ms)
        ]

    def find_stores(self, index: RouteIndex, now_ms: float) -> list[PromptStore]:
        """Return the stores that answered a moment ago."""
        return [
            store
            for store in index.table.stores
            if now_ms - self._heard_ms.get(name_store(store), float("-inf")) <= HEARD_MS
        ]

    def _list_holders(
        self, index: RouteIndex, now_ms: float
    ) -> Iterator[tuple[PartHolder, int, bool]]:
        for store in index.table.stores:
            holder = PartHolder(name_store(store), store.address)
            yield holder, store.max_followers, True
        for service in index.table.services:
            if service.engine is None:
                continue
            for known in self._directory.find_listed(service.name, now_ms):
                replica = known.replica
                holder = PartHolder(replica.name, replica.address)
                yield holder, service.engine.max_followers, False

    def _is_follower(
        self, holder: PartHolder, most: int, is_store: bool, now_ms: float
    ) -> bool:
        room = max(most - SPARE_FOLLOWERS, 1)
        if self._roster.count_nodes(now_ms) <= room:
            return True
        # In a large fleet hashing and what peers send must do for replicas: the polls
        # of a tenth of 70 replicas take 5% of a core.
        return is_store and self._roster.find_fleet_rank(holder.name) < room
