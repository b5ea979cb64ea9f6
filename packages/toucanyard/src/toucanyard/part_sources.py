"""Know whom to ask what parts of prompts it keeps: replicas, and stores beside them.

Each of them answers a bounded number of such calls at once, over all nodes. Where there
are more nodes than that, nobody asks replicas, and stores are asked by those that go
first in the hash order of the store; they tell the others that a store lives.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from typing import Final

import msgspec

from toucanyard.link_messages import PromptStoreUpdate
from toucanyard.names import Address, DomainName, EndpointName
from toucanyard.node_directory import NodeDirectory
from toucanyard.rendezvous import compute_seed, compute_weight
from toucanyard.replicas import ReplicaDirectory
from toucanyard.routes import PromptStore, RouteIndex

SPARE_FOLLOWERS: Final = 2
"""Calls that a holder has free for nodes that restart while their old call lasts."""
STORE_FOLLOWERS: Final = 2
"""Nodes of a large fleet that ask a store; the others are told that it lives."""
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


def choose_store(
    stores: Sequence[PromptStore], part: str, domain: DomainName
) -> PromptStore | None:
    """Return the store for what a replica in a domain reads of a prompt.

    A near one, since transfers between domains take twice as long: with far ones, what
    70 replicas with cold memory saved filled the stores' links, and calls waited for
    two seconds behind it. Among several the last shared part decides, so that all nodes
    choose the same one without asking.
    """
    near = [each for each in stores if each.domain == domain]
    key = compute_seed(EndpointName(part))
    return max(
        near or stores,
        key=lambda each: compute_weight(compute_seed(name_store(each)), key),
        default=None,
    )


class _Heard(msgspec.Struct):
    heard_ms: float
    epoch: int


class PartSources:
    """The holders that this node follows, and the stores that it may use."""

    __slots__ = ("_directory", "_heard", "_roster")

    def __init__(
        self, directory: ReplicaDirectory, node_directory: NodeDirectory
    ) -> None:
        self._directory = directory
        self._roster = node_directory
        self._heard: dict[EndpointName, _Heard] = {}

    def note_heard(self, holder: EndpointName, heard_ms: float, epoch: int) -> bool:
        """Take in that a holder answered; return whether it has started anew."""
        before = self._heard.get(holder)
        if before is not None and heard_ms <= before.heard_ms:
            return False
        self._heard[holder] = _Heard(heard_ms, epoch)
        return before is not None and before.epoch != epoch

    def note_lost(self, holder: EndpointName) -> None:
        """Take in that a holder did not answer."""
        self._heard.pop(holder, None)

    def list_stores(
        self, index: RouteIndex, now_ms: float
    ) -> Iterable[PromptStoreUpdate]:
        """Return what to tell other nodes of the stores that are heard from."""
        for store in self.find_stores(index, now_ms):
            name = name_store(store)
            heard = self._heard[name]
            yield PromptStoreUpdate(name, now_ms - heard.heard_ms, heard.epoch)

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
            if self._is_heard(name_store(store), now_ms)
        ]

    def _is_heard(self, name: EndpointName, now_ms: float) -> bool:
        heard = self._heard.get(name)
        return heard is not None and now_ms - heard.heard_ms <= HEARD_MS

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
        room = min(room, STORE_FOLLOWERS)
        return is_store and self._roster.find_rank(holder.name, now_ms) < room
