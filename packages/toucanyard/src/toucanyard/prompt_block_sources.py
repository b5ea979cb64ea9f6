"""Choose which holders of prompt blocks to follow: replicas, and stores beside them.

Each holder serves a bounded number of followers over all nodes. In a fleet with more
nodes than that, nobody follows replicas, and a store is followed by the nodes that rank
first by its hash; they report to the others that the store is alive.
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
"""Follower slots of a holder that are left for nodes that restart while their old call
is still open."""
STORE_FOLLOWERS: Final = 2
"""Number of nodes of a large fleet that follow a store; the others are sent its
status."""
MAX_STORE_SILENCE_MS: Final = 2_500.0
"""A store that has been silent for longer is not used: fetching from a dead one takes
longer than reading a block."""


class PromptBlockHolder(msgspec.Struct, frozen=True):
    """A holder of prompt blocks and its address."""

    name: EndpointName
    address: Address


def compute_store_name(store: PromptStore) -> EndpointName:
    """Return the name of a store in the index of prompt blocks."""
    return EndpointName(f"store {store.address}")


def choose_store(
    stores: Sequence[PromptStore], block: str, domain: DomainName
) -> PromptStore | None:
    """Return the store for what a replica in a domain reads of a prompt.

    A store in the same domain is preferred, since transfers between domains take twice
    as long: with remote ones, the saves of 70 replicas with cold memory saturated the
    stores' links, and calls queued for two seconds behind them. The hash of the last
    shared block selects among several, so that all nodes choose the same one without
    coordination.
    """
    near = [each for each in stores if each.domain == domain]
    key = compute_seed(EndpointName(block))
    return max(
        near or stores,
        key=lambda each: compute_weight(compute_seed(compute_store_name(each)), key),
        default=None,
    )


class _LastAnswer(msgspec.Struct):
    answered_ms: float
    epoch: int


class PromptBlockSources:
    """The holders that this node follows, and the stores that it may use."""

    __slots__ = ("_directory", "_last_answers", "_node_directory")

    def __init__(
        self, directory: ReplicaDirectory, node_directory: NodeDirectory
    ) -> None:
        self._directory = directory
        self._node_directory = node_directory
        self._last_answers: dict[EndpointName, _LastAnswer] = {}

    def record_answer(
        self, holder: EndpointName, answered_ms: float, epoch: int
    ) -> bool:
        """Record an answer of a holder; return whether the holder has restarted."""
        before = self._last_answers.get(holder)
        if before is not None and answered_ms <= before.answered_ms:
            return False
        self._last_answers[holder] = _LastAnswer(answered_ms, epoch)
        return before is not None and before.epoch != epoch

    def record_lost(self, holder: EndpointName) -> None:
        """Record that a holder did not answer."""
        self._last_answers.pop(holder, None)

    def list_stores(
        self, index: RouteIndex, now_ms: float
    ) -> Iterable[PromptStoreUpdate]:
        """Return the updates to send to other nodes about the reachable stores."""
        for store in self.find_stores(index, now_ms):
            name = compute_store_name(store)
            last_answer = self._last_answers[name]
            yield PromptStoreUpdate(
                name, now_ms - last_answer.answered_ms, last_answer.epoch
            )

    def find_followed(
        self, index: RouteIndex, now_ms: float
    ) -> list[PromptBlockHolder]:
        """Return the holders that this node should follow."""
        return [
            holder
            for holder, follower_limit, is_store in self._list_holders(index, now_ms)
            if self._is_follower(holder, follower_limit, is_store, now_ms)
        ]

    def find_stores(self, index: RouteIndex, now_ms: float) -> list[PromptStore]:
        """Return the stores that have answered recently."""
        return [
            store
            for store in index.table.stores
            if self._has_answered(compute_store_name(store), now_ms)
        ]

    def _has_answered(self, name: EndpointName, now_ms: float) -> bool:
        last_answer = self._last_answers.get(name)
        return (
            last_answer is not None
            and now_ms - last_answer.answered_ms <= MAX_STORE_SILENCE_MS
        )

    def _list_holders(
        self, index: RouteIndex, now_ms: float
    ) -> Iterator[tuple[PromptBlockHolder, int, bool]]:
        for store in index.table.stores:
            holder = PromptBlockHolder(compute_store_name(store), store.address)
            yield holder, store.max_followers, True
        for service in index.table.services:
            if service.engine is None:
                continue
            for known in self._directory.find_listed(service.name, now_ms):
                replica = known.replica
                holder = PromptBlockHolder(replica.name, replica.address)
                yield holder, service.engine.max_followers, False

    def _is_follower(
        self,
        holder: PromptBlockHolder,
        follower_limit: int,
        is_store: bool,
        now_ms: float,
    ) -> bool:
        capacity = max(follower_limit - SPARE_FOLLOWERS, 1)
        if self._node_directory.count_nodes(now_ms) <= capacity:
            return True
        # In a large fleet hashing and peers' reports have to suffice for replicas:
        # polling a tenth of 70 replicas takes 5% of a core.
        capacity = min(capacity, STORE_FOLLOWERS)
        return (
            is_store and self._node_directory.find_rank(holder.name, now_ms) < capacity
        )
