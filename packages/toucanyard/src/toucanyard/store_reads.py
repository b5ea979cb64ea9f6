"""Know when this node should read each topic of the platform's store.

Puts the schedule of reads together with what one node knows: its rank among the live
nodes, how old each topic is, and when it asked last.
"""

from __future__ import annotations

from toucanyard.keyed_view import Topic
from toucanyard.node_directory import NodeDirectory
from toucanyard.store_schedule import (
    LATE_MS,
    MAX_ASKING_RANK,
    RETRY_MS,
    SILENT_RETRY_MS,
    compute_due,
    compute_poll_wait,
    compute_wanted_age,
)
from toucanyard.view_exchange import ViewExchange


class StoreReads:
    """The reads of one node: when the next one is due, and when the last one began."""

    __slots__ = ("_asked_ms", "_exchange", "_outdated", "_roster")

    def __init__(self, node_directory: NodeDirectory, exchange: ViewExchange) -> None:
        self._roster = node_directory
        self._exchange = exchange
        self._asked_ms = dict.fromkeys(Topic, float("-inf"))
        self._outdated: set[Topic] = set()

    def is_due(self, topic: Topic, now_ms: float) -> bool:
        """Tell whether this node should read a topic now."""
        return now_ms >= self.find_due(topic, now_ms)

    def find_due(self, topic: Topic, now_ms: float) -> float:
        """Return when this node should read a topic, as far as it knows now."""
        if topic in self._outdated:
            return self._asked_ms[topic] + RETRY_MS
        due_ms = compute_due(
            topic,
            self._roster.find_rank(topic.value, now_ms),
            self._exchange.views[topic].confirmed_ms,
            self._asked_ms[topic],
            is_full_mesh=self._roster.is_full_mesh(),
        )
        if topic is not Topic.OPERATOR or not self._is_store_silent(now_ms):
            return due_ms
        # The store's return shows in an answer about replicas, which all nodes wait
        # for. These reads are for a store that answers about some topics only.
        if self.may_ask_again(topic, now_ms):
            return max(due_ms, self._asked_ms[topic] + SILENT_RETRY_MS)
        return float("inf")

    def may_ask_again(self, topic: Topic, now_ms: float) -> bool:
        """Tell whether to read a topic though a read of it has no answer yet."""
        return self._roster.find_rank(topic.value, now_ms) <= MAX_ASKING_RANK

    def _is_store_silent(self, now_ms: float) -> bool:
        """Tell whether no node has had an answer about replicas for too long."""
        topic = Topic.REPLICAS
        wanted_ms = compute_wanted_age(
            topic,
            self._roster.find_rank(topic.value, now_ms),
            is_full_mesh=self._roster.is_full_mesh(),
        )
        return now_ms - self._exchange.views[topic].confirmed_ms > wanted_ms + LATE_MS

    def mark_outdated(self, topic: Topic) -> None:
        """Read a topic soon, of which the store holds more than this node has read."""
        self._outdated.add(topic)

    def note_begun(self, topic: Topic, now_ms: float) -> None:
        """Note that this node asks the store for a topic."""
        self._asked_ms[topic] = now_ms
        self._outdated.discard(topic)

    def compute_poll_wait(self, draw: float, now_ms: float) -> float:
        """Return how long a long poll may wait, in ms, by a random number up to 1."""
        return compute_poll_wait(self._roster.count_nodes(now_ms), draw)
