"""Determine when this node should read each topic of the platform's store.

Combines the schedule of reads with the state of one node: its rank among the live
nodes, the age of each topic, and when it last sent a read.
"""

from __future__ import annotations

from toucanyard.keyed_view import Topic
from toucanyard.node_directory import NodeDirectory
from toucanyard.store_era import StoreEra
from toucanyard.store_schedule import (
    MAX_READ_LATENESS_MS,
    MAX_RETRY_RANK,
    RETRY_MS,
    SILENT_RETRY_MS,
    compute_due,
    compute_poll_wait,
    compute_read_age,
    compute_restore_delay,
)
from toucanyard.view_exchange import ViewExchange


class StoreReads:
    """When the next read of each topic is due on one node, and when the last began."""

    __slots__ = ("_era", "_exchange", "_node_directory", "_outdated", "_requested_ms")

    def __init__(
        self, node_directory: NodeDirectory, exchange: ViewExchange, era: StoreEra
    ) -> None:
        self._era = era
        self._node_directory = node_directory
        self._exchange = exchange
        self._requested_ms = dict.fromkeys(Topic, float("-inf"))
        self._outdated: set[Topic] = set()

    def is_due(self, topic: Topic, now_ms: float) -> bool:
        """Return whether this node should read a topic now."""
        return now_ms >= self.find_due(topic, now_ms)

    def find_due(self, topic: Topic, now_ms: float) -> float:
        """Return when this node should read a topic, by its current state."""
        if topic in self._outdated:
            return self._requested_ms[topic] + RETRY_MS
        if self._exchange.views[topic].end.era < self._era.era:
            return self._find_restore_due(topic, now_ms)
        due_ms = compute_due(
            topic,
            self._node_directory.find_rank(topic.value, now_ms),
            self._exchange.views[topic].confirmed_ms,
            self._requested_ms[topic],
            is_full_mesh=self._node_directory.is_full_mesh(),
        )
        if topic is not Topic.OPERATOR or not self._is_store_silent(now_ms):
            return due_ms
        # All nodes retry reads of the replicas, whose success shows that the store is
        # available again. These reads are for a store that answers for some topics
        # only.
        if self.may_retry_read(topic, now_ms):
            return max(due_ms, self._requested_ms[topic] + SILENT_RETRY_MS)
        return float("inf")

    def _find_restore_due(self, topic: Topic, now_ms: float) -> float:
        """Return when this node should read a topic of a restored store."""
        delay_ms = compute_restore_delay(
            self._node_directory.find_rank(topic.value, now_ms),
            self._node_directory.count_nodes(now_ms),
            is_full_mesh=self._node_directory.is_full_mesh(),
        )
        return max(self._era.since_ms + delay_ms, self._requested_ms[topic] + RETRY_MS)

    def may_retry_read(self, topic: Topic, now_ms: float) -> bool:
        """Return whether to read a topic while an earlier read of it is pending."""
        return self._node_directory.find_rank(topic.value, now_ms) <= MAX_RETRY_RANK

    def _is_store_silent(self, now_ms: float) -> bool:
        """Return whether the last answered read of replicas by any node is overdue."""
        topic = Topic.REPLICAS
        wanted_ms = compute_read_age(
            topic,
            self._node_directory.find_rank(topic.value, now_ms),
            is_full_mesh=self._node_directory.is_full_mesh(),
        )
        return (
            now_ms - self._exchange.views[topic].confirmed_ms
            > wanted_ms + MAX_READ_LATENESS_MS
        )

    def mark_outdated(self, topic: Topic) -> None:
        """Schedule a read of a topic for which the store has newer records."""
        self._outdated.add(topic)

    def record_read_started(self, topic: Topic, now_ms: float) -> None:
        """Record that this node sends a read of a topic to the store."""
        self._requested_ms[topic] = now_ms
        self._outdated.discard(topic)

    def compute_poll_wait(self, draw: float, now_ms: float) -> float:
        """Return the wait of a long poll in ms, given a random number up to 1."""
        return compute_poll_wait(self._node_directory.count_nodes(now_ms), draw)
